/// \file Departure of a replica from its group when its process ends.
#pragma once

#include "control/control_service.h"
#include "control/group_join.h"
#include "control/membership_manager.h"
#include "table/settings_type.h"

#include <memory>
#include <string_view>

namespace acacianotch {

/// Gives up the vote of a replica whose process ends, if the group has more
/// voters than it needs. A replica that starts again with its data joins anew
/// (see group_rejoiner).
class group_leaver {
public:
  /// The references must outlive the object.
  group_leaver(event_loop &Loop, control_service &Service,
               membership_manager &Manager, const settings &Settings);

  /// Starts the departure, if there is one to make.
  auto start() -> void;

  /// \return whether the process may end: the replica has left, need not leave
  /// or cannot.
  [[nodiscard]] auto done() const -> bool { return !InProgress; }

private:
  auto tick() -> void;
  /// \return whether this replica knows that it is no member any more.
  [[nodiscard]] auto removed() const -> bool;
  [[nodiscard]] auto request() const -> membership_request;
  auto askLeader() -> void;
  auto finish(std::string_view Outcome) -> void;

  event_loop &Loop;
  control_service &Service;
  membership_manager &Manager;
  const settings &Settings;
  std::unique_ptr<group_joiner> Requester;
  std::unique_ptr<loop_timer> Timer;
  time_point StartedAt{};
  bool InProgress = false;
};

} // namespace acacianotch
