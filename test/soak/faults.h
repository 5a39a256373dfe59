/// \file Faults of a soak run, from outside the processes.
#pragma once

#include "process/support/platform_deployment.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

namespace acacianotch::soak {

using fault_clock = std::chrono::steady_clock;

/// Injects faults that overlap, and takes them back.
class fault_injector {
public:
  fault_injector(platform_deployment &System, std::uint64_t Seed);

  /// Injects one fault, and takes back those whose time is over.
  auto step() -> void;

  /// Takes back all faults, so that every process runs and every connection
  /// passes.
  auto heal() -> void;

  /// \return how often each kind was injected.
  [[nodiscard]] auto counts() const -> const std::map<std::string, int> & {
    return Counts;
  }

private:
  auto disturbControl() -> std::string;
  auto disturbGateway() -> std::string;
  auto disturbConnections() -> std::string;
  auto disturbServers() -> std::string;

  auto killControl(control_row &Each) -> void;
  auto killAllControl() -> void;
  auto tearLog(control_row &Each) -> void;
  auto wipeDisk(control_row &Each) -> bool;
  auto freeze(child_process &Process) -> void;
  auto takeBackDue(fault_clock::time_point Now) -> void;

  /// Runs \p TakeBack after a random time.
  auto later(std::function<void()> TakeBack) -> void;
  [[nodiscard]] auto below(std::size_t Count) -> std::size_t;

  platform_deployment &System;
  std::mt19937_64 Random;
  std::multimap<fault_clock::time_point, std::function<void()>> Due;
  std::map<std::string, int> Counts;
};

} // namespace acacianotch::soak
