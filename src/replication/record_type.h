/// \file Log records, membership and the durable state of a replica.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace acacianotch {

/// Replica of the control log. Ids are assigned once and never used again.
enum class replica_id : std::uint64_t { none = 0 };

/// Position in the log; the first record has index 1.
using log_index = std::uint64_t;

/// Consensus term; the value of the fencing epoch.
using log_term = std::uint64_t;

/// What a log record means.
enum class record_kind : std::uint8_t {
  invalid,    ///< Not set; never in a log.
  no_op,      ///< First record of a leader's term.
  command,    ///< Payload for the state machine.
  membership, ///< Payload is an encoded membership.
};

/// One record of the replicated log.
struct log_record {
  log_index Index = 0; ///< Position.
  log_term Term = 0;   ///< Term of the leader that wrote it.
  record_kind Kind = record_kind::invalid; ///< Meaning of the payload.
  std::string Payload;                     ///< Bytes; empty for a no-op.

  auto operator==(const log_record &) const -> bool = default;
};

/// Names one record: no other record ever has the same index and term.
struct log_position {
  log_index Index = 0; ///< Position.
  log_term Term = 0;   ///< Term.

  auto operator==(const log_position &) const -> bool = default;
};

/// One replica of the group.
struct member {
  replica_id Id = replica_id::none; ///< Identity.
  bool Voter = false;               ///< Voter, or learner.
  std::string Address;              ///< Address for messages.

  auto operator==(const member &) const -> bool = default;
};

/// The replicas of the group.
struct membership {
  std::vector<member> Members; ///< Voters and learners, ordered by id.
  std::uint64_t NextId = 1;    ///< Lowest id that was never used.

  /// \return the member called \p Id, or nullptr.
  [[nodiscard]] auto find(replica_id Id) const -> const member * {
    for (const auto &Member : Members)
      if (Member.Id == Id)
        return &Member;
    return nullptr;
  }

  /// \return whether \p Id is a voter.
  [[nodiscard]] auto isVoter(replica_id Id) const -> bool {
    const auto *Member = find(Id);
    return Member != nullptr && Member->Voter;
  }

  /// \return the number of voters.
  [[nodiscard]] auto voterCount() const -> std::size_t {
    std::size_t Count = 0;
    for (const auto &Member : Members)
      Count += Member.Voter ? 1 : 0;
    return Count;
  }

  auto operator==(const membership &) const -> bool = default;
};

/// Term and vote, durable before any message that depends on them.
struct term_state {
  log_term Term = 0;                  ///< Highest term seen.
  replica_id Vote = replica_id::none; ///< Vote given in that term.

  auto operator==(const term_state &) const -> bool = default;
};

/// State of the state machine after one log position.
struct snapshot {
  log_index Index = 0; ///< Last record that the snapshot covers.
  log_term Term = 0;   ///< Term of that record.
  membership Members;  ///< Membership at that record.
  std::shared_ptr<const std::string> Data =
      std::make_shared<const std::string>(); ///< State; never null.
};

/// Everything a replica reads back from its disk.
struct durable_state {
  term_state State;                ///< Term and vote.
  snapshot Base;                   ///< Latest snapshot; index 0 if none.
  std::vector<log_record> Records; ///< Records after the snapshot.
  bool Outdated = false; ///< The log file is older than the snapshot and must
                         ///< be replaced before anything is appended.
};

} // namespace acacianotch
