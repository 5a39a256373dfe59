/// \file Messages between the replicas of the control log.
#pragma once

#include "replication/record_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace acacianotch {

/// Asks for a vote, or with PreVote whether a vote would be given.
struct vote_request {
  log_term Term = 0;    ///< Term of the election.
  bool PreVote = false; ///< Binds neither side.
  log_position Last;    ///< Last record of the candidate.

  auto operator==(const vote_request &) const -> bool = default;
};

/// Answers a vote_request.
struct vote_reply {
  log_term Term = 0;    ///< Election term if granted, else the replica's term.
  bool PreVote = false; ///< Answers a pre-vote.
  bool Granted = false; ///< Vote given.

  auto operator==(const vote_reply &) const -> bool = default;
};

/// Replicates records; without records it is a heartbeat.
struct append_request {
  log_term Term = 0;               ///< Term of the leader.
  log_position Previous;           ///< Record before the first one sent.
  log_index Commit = 0;            ///< Commit index of the leader.
  std::uint64_t SentAt = 0;        ///< Leader's clock in microseconds.
  std::vector<log_record> Records; ///< Consecutive records.

  auto operator==(const append_request &) const -> bool = default;
};

/// Answers an append_request, and reports records synced later.
struct append_reply {
  log_term Term = 0;        ///< Term of the replica.
  bool Accepted = false;    ///< The previous record matched.
  log_index Match = 0;      ///< Accepted: last synced record that matches.
                            ///< Otherwise: where to try next.
  log_index Rejected = 0;   ///< Not accepted: the previous index that failed.
  std::uint64_t SentAt = 0; ///< Copied from the request; 0 in a late report.

  auto operator==(const append_reply &) const -> bool = default;
};

/// One piece of a snapshot.
struct snapshot_chunk {
  log_term Term = 0;        ///< Term of the leader.
  log_position Last;        ///< Last record that the snapshot covers.
  membership Members;       ///< Membership at that record.
  std::uint64_t Size = 0;   ///< Bytes of the whole snapshot.
  std::uint64_t Offset = 0; ///< Position of this piece.
  std::string Data;         ///< The piece.
  std::uint64_t SentAt = 0; ///< Leader's clock in microseconds.

  auto operator==(const snapshot_chunk &) const -> bool = default;
};

/// Answers a snapshot_chunk that does not complete the snapshot.
struct snapshot_reply {
  log_term Term = 0;        ///< Term of the replica.
  log_index Index = 0;      ///< Snapshot that the answer refers to.
  std::uint64_t Offset = 0; ///< Bytes received so far.
  std::uint64_t SentAt = 0; ///< Copied from the chunk.

  auto operator==(const snapshot_reply &) const -> bool = default;
};

/// Any message.
using message = std::variant<vote_request, vote_reply, append_request,
                             append_reply, snapshot_chunk, snapshot_reply>;

/// A message with its sender and recipient.
struct envelope {
  replica_id From = replica_id::none; ///< Sender.
  replica_id To = replica_id::none;   ///< Recipient.
  message Body;                       ///< Content.

  auto operator==(const envelope &) const -> bool = default;
};

} // namespace acacianotch
