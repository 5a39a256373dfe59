/// \file Backend servers as listed by the platform, and their load reports.
#pragma once

#include "core/address_type.h"
#include "core/clock_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace acacianotch {

/// One entry of the platform's list of backend servers.
struct backend_record {
  std::string Id; ///< Most restarts assign a new one.
  std::string Service;
  address Address;     ///< May pass to another server after this one ended.
  std::string Zone;    ///< Availability zone.
  std::string Version; ///< Software version.
  std::uint32_t Slots = 1;
  bool Leaving = false; ///< Accepts no new work.
  /// It has just started and takes few requests. Each read states another
  /// remaining time, so only the fact is kept.
  bool Cold = false;
  /// Start time, wall clock; distinguishes servers that started under one id.
  std::uint64_t StartedMs = 0;

  auto operator==(const backend_record &) const -> bool = default;
};

/// Load that a backend server reports in the headers of an answer.
struct backend_load {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;
  double Slowdown = 1; ///< Current service time, 1 is normal.
};

/// A request that a backend server reports as running.
struct running_request {
  std::string Id;
  std::uint32_t Events = 0; ///< Stream events produced so far.
};

/// A backend server's report of its own work, a few hundred milliseconds old.
struct backend_report {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  bool ListsRuns = false; ///< The report includes Runs.
  bool Leaving = false;   ///< The server takes no new work any more.
  std::vector<running_request> Runs;
};

} // namespace acacianotch
