/// \file What a leader knows about another replica.
#pragma once

#include "core/clock_type.h"
#include "replication/record_type.h"

#include <optional>

namespace acacianotch {

/// Replication progress of one replica.
struct peer {
  log_index Match = 0;  ///< Last record that is synced there.
  log_index Next = 1;   ///< First record to send.
  bool Probing = true;  ///< Match is unknown: one message at a time.
  bool Waiting = false; ///< The probe or snapshot piece is unanswered.
  time_point AnsweredAt = time_point::min(); ///< Send time of the latest
                                             ///< message that was answered.
  std::optional<snapshot> Sending; ///< Kept so that compaction does not
                                   ///< restart a transfer.
  std::uint64_t Offset = 0;        ///< Bytes of Sending received there.
};

} // namespace acacianotch
