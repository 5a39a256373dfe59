/// \file Log records, group membership and the durable state of a replica.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace acacianotch {

/// Id of a replica of the control log. Ids are never reused.
enum class replica_id : std::uint64_t { none = 0 };

/// Index of a record in the log; the first record has index 1.
using log_index = std::uint64_t;

/// Raft term; also the value of the fencing epoch.
using log_term = std::uint64_t;

/// Type of a log record.
enum class record_kind : std::uint8_t {
  invalid,    ///< Default value; never stored in a log.
  no_op,      ///< First record of a leader's term.
  command,    ///< Payload is a command to the state machine.
  membership, ///< Payload is an encoded membership.
};

/// One record of the replicated log.
struct log_record {
  log_index Index = 0; ///< Index in the log.
  log_term Term = 0;   ///< Term of the leader that created it.
  record_kind Kind = record_kind::invalid; ///< Type of the payload.
  std::string Payload;                     ///< Empty for a no-op.

  auto operator==(const log_record &) const -> bool = default;
};

/// Identifies a record: no two records have the same index and term.
struct log_position {
  log_index Index = 0; ///< Index of the record.
  log_term Term = 0;   ///< Term of the record.

  auto operator==(const log_position &) const -> bool = default;
};

/// One replica of the group.
struct member {
  replica_id Id = replica_id::none; ///< Identity.
  bool Voter = false;               ///< A non-voting member is a learner.
  std::string Address;              ///< Network address for messages.

  auto operator==(const member &) const -> bool = default;
};

/// Members of the replication group.
struct membership {
  std::vector<member> Members; ///< Voters and learners, ordered by id.
  std::uint64_t NextId = 1;    ///< Lowest id that has never been assigned.

  /// \return the member with the id \p Id, or nullptr.
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

/// Current term and vote. They must be durable before a message that depends on
/// them is sent.
struct term_state {
  log_term Term = 0;                  ///< Highest known term.
  replica_id Vote = replica_id::none; ///< Candidate voted for in that term.

  auto operator==(const term_state &) const -> bool = default;
};

/// State of the state machine after applying the records up to an index.
struct snapshot {
  log_index Index = 0; ///< Last record that the snapshot covers.
  log_term Term = 0;   ///< Term of that record.
  membership Members;  ///< Membership at that record.
  std::shared_ptr<const std::string> Data =
      std::make_shared<const std::string>(); ///< Serialized state; never null.
};

/// State that a replica recovers from its disk.
struct durable_state {
  term_state State;                ///< Current term and vote.
  snapshot BaseSnapshot;           ///< Latest snapshot; index 0 if none.
  std::vector<log_record> Records; ///< Records after the snapshot.
  bool LogOutdated = false; ///< The log file has records that the snapshot
                            ///< covers; replace it before the next append.
};

} // namespace acacianotch
