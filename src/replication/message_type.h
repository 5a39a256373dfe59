/// \file Messages between the replicas of the control log.
#pragma once

#include "replication/record_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace acacianotch {

/// Requests a vote. With PreVote, queries whether the vote would be granted.
struct vote_request {
  log_term Term = 0;    ///< Term of the election.
  bool PreVote = false; ///< Affects neither term nor vote.
  log_position Last;    ///< Last record of the candidate.

  auto operator==(const vote_request &) const -> bool = default;
};

/// Reply to a vote_request.
struct vote_reply {
  log_term Term = 0;    ///< Term voted for if granted, else the sender's term.
  bool PreVote = false; ///< Reply to a pre-vote.
  bool Granted = false; ///< Whether the vote is granted.

  auto operator==(const vote_reply &) const -> bool = default;
};

/// Replicates records to a follower. Without records it is a heartbeat.
struct append_request {
  log_term Term = 0;         ///< Term of the leader.
  log_position Previous;     ///< Record that precedes Records.
  log_index CommitIndex = 0; ///< Commit index of the leader.
  std::uint64_t SentAt = 0;  ///< Leader's clock at sending, in microseconds.
  std::vector<log_record> Records; ///< Records with consecutive indexes.

  auto operator==(const append_request &) const -> bool = default;
};

/// Reply to an append_request. Also reports records synced after the reply.
struct append_reply {
  log_term Term = 0;      ///< Term of the sender.
  bool Accepted = false;  ///< The previous record matches.
  log_index Match = 0;    ///< If accepted, the last synced record that matches,
                          ///< else the index at which to retry.
  log_index Rejected = 0; ///< If not accepted, the previous index that failed.
  std::uint64_t SentAt = 0; ///< Copied from the request; 0 if the reply reports
                            ///< records synced later.

  auto operator==(const append_reply &) const -> bool = default;
};

/// Part of a snapshot.
struct snapshot_chunk {
  log_term Term = 0;        ///< Term of the leader.
  log_position Last;        ///< Last record that the snapshot covers.
  membership Members;       ///< Membership at that record.
  std::uint64_t Size = 0;   ///< Size of the snapshot in bytes.
  std::uint64_t Offset = 0; ///< Offset of Data in the snapshot.
  std::string Data;         ///< Bytes of this chunk.
  std::uint64_t SentAt = 0; ///< Leader's clock at sending, in microseconds.

  auto operator==(const snapshot_chunk &) const -> bool = default;
};

/// Reply to a snapshot_chunk that does not complete the snapshot.
struct snapshot_reply {
  log_term Term = 0;        ///< Term of the sender.
  log_index Index = 0;      ///< Index of the snapshot.
  std::uint64_t Offset = 0; ///< Bytes received so far.
  std::uint64_t SentAt = 0; ///< Copied from the chunk.

  auto operator==(const snapshot_reply &) const -> bool = default;
};

/// Body of any message.
using message = std::variant<vote_request, vote_reply, append_request,
                             append_reply, snapshot_chunk, snapshot_reply>;

/// Message with its sender and recipient.
struct envelope {
  replica_id From = replica_id::none;
  replica_id To = replica_id::none;
  message Body;

  auto operator==(const envelope &) const -> bool = default;
};

} // namespace acacianotch
