/// \file Replication progress of a follower, tracked by the leader.
#pragma once

#include "core/clock_type.h"
#include "replication/record_type.h"

#include <optional>

namespace acacianotch {

/// Replication progress of another replica.
struct peer_progress {
  log_index Match = 0; ///< Last record known to be synced by the replica.
  log_index Next = 1;  ///< Next record to send.
  bool Probing = true; ///< Match is unknown; only one message is in flight.
  bool AwaitingReply = false; ///< No reply to the probe or snapshot chunk yet.
  /// Send time of the latest message that the replica has replied to.
  time_point AckedSendTime = time_point::min();
  /// A copy, so that compaction does not restart the transfer.
  std::optional<snapshot> SnapshotInTransfer;
  /// Bytes of SnapshotInTransfer that the replica has received.
  std::uint64_t Offset = 0;
};

} // namespace acacianotch
