/// \file Members of a group that do not answer their leader.
#pragma once

#include "core/clock_type.h"
#include "replication/peer_type.h"
#include "replication/record_type.h"

#include <cstddef>
#include <map>
#include <optional>

namespace acacianotch {

/// Silence after which a leader removes a member.
struct silence_limits {
  duration Voter;
  duration Learner;

  /// \return the limits in a group whose elections start after a silence of
  /// the leader of up to \p ElectionMax.
  [[nodiscard]] static auto create(duration ElectionMax) -> silence_limits;
};

/// Measures how long the members of a group have not answered their leader, and
/// decides which one the leader removes.
class member_silence {
public:
  /// \p Interval is the time between two calls of observe().
  member_silence(const silence_limits &Limits, duration Interval);

  /// Reads the replication progress of the other members. \p LeaseHeld tells
  /// whether a majority answers the leader now.
  auto observe(const std::map<replica_id, peer_progress> &Peers, bool LeaseHeld)
      -> void;

  /// Forgets all members, because this replica does not lead any more.
  auto clear() -> void { Rows.clear(); }

  [[nodiscard]] auto silence(replica_id Id) const -> duration;

  /// \return the member that has been silent for longest, if it is to be
  /// removed. Voters are removed only while there are more than
  /// \p TargetVoters.
  [[nodiscard]] auto removable(const membership &Members,
                               std::size_t TargetVoters) const
      -> std::optional<replica_id>;

private:
  struct row {
    time_point LastAnswered; ///< Send time of the last message answered.
    duration Silence{};
  };

  silence_limits Limits;
  duration Interval;
  std::map<replica_id, row> Rows;
};

} // namespace acacianotch
