/// \file Return of a replica that its group has removed.
#pragma once

#include "control/control_service.h"
#include "control/group_join.h"
#include "table/settings_type.h"

#include <memory>
#include <optional>

namespace acacianotch {

/// While no leader contacts this replica, asks the group whether it is still a
/// member. A replica that was removed while it was silent, and whose silence
/// has ended, joins again under a new id. Its records stay usable.
class group_rejoiner {
public:
  /// \p Settings must outlive the object.
  group_rejoiner(event_loop &Loop, control_service &Service,
                 const settings &Settings);

private:
  auto tick() -> void;
  /// Requests membership for \p Replica, or for a new id if 0.
  auto request(std::uint64_t Replica) -> void;
  auto handleGrant(const join_grant &Grant) -> void;

  event_loop &Loop;
  control_service &Service;
  const settings &Settings;
  std::uint64_t Requested = 0; ///< Replica id in the request of Joiner.
  std::unique_ptr<group_joiner> Joiner;
  std::unique_ptr<loop_timer> Timer;
};

} // namespace acacianotch
