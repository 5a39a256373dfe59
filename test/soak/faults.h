/// \file Fault injection for a soak run, from outside the processes.
#pragma once

#include "process/support/platform_deployment.h"
#include "process/support/unwritable_disk.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace acacianotch::soak {

using fault_clock = std::chrono::steady_clock;

/// Injects overlapping faults and reverts them.
class fault_injector {
public:
  fault_injector(platform_deployment &System, std::uint64_t Seed);

  /// Injects one fault and reverts those whose duration has elapsed.
  auto injectFault() -> void;

  /// Reverts all faults: every process runs and every relay forwards.
  auto revertAll() -> void;

  /// \return the number of injected faults by kind.
  [[nodiscard]] auto counts() const -> const std::map<std::string, int> & {
    return Counts;
  }

private:
  auto injectControlFault() -> std::string;
  auto injectGatewayFault() -> std::string;
  auto injectConnectionFault() -> std::string;
  auto injectServerFault() -> std::string;
  /// Sometimes injects a fault of all processes at once.
  auto injectCommonFault() -> void;
  auto restartAll() -> void;
  auto holdUpAll() -> void;

  auto killControl(control_instance &Replica) -> void;
  auto killAllControl() -> void;
  auto appendTornRecord(control_instance &Replica) -> void;
  auto wipeDataFolder(control_instance &Replica) -> bool;
  auto blockDisk(const control_instance &Replica) -> void;
  auto freeze(std::unique_ptr<child_process> &Process) -> void;
  auto suspendVm(std::unique_ptr<child_process> &Process) -> void;
  auto revertDue(fault_clock::time_point Now) -> void;

  /// Schedules \p Revert after a random time.
  auto scheduleRevert(std::function<void()> Revert) -> void;
  [[nodiscard]] auto randomBelow(std::size_t Count) -> std::size_t;

  platform_deployment &System;
  std::mt19937_64 Random;
  std::mt19937_64 CommonRandom;
  std::multimap<fault_clock::time_point, std::function<void()>> PendingReverts;
  std::vector<std::unique_ptr<unwritable_disk>> BlockedDisks;
  std::map<std::string, int> Counts;
};

} // namespace acacianotch::soak
