/// \file Backend servers as the platform lists them.
#pragma once

#include "core/address_type.h"
#include "core/clock_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace acacianotch {

/// One listed backend server.
struct backend_record {
  std::string Id; ///< New with most starts.
  std::string Service;
  address Address;     ///< May belong to another server after this one ended.
  std::string Zone;    ///< Availability zone.
  std::string Version; ///< Of its software.
  std::uint32_t Slots = 1;
  bool Leaving = false;        ///< No new work.
  duration Warmup{};           ///< How much longer it is slow after its start.
  std::uint64_t StartedMs = 0; ///< Wall clock; tells two lives of an id apart.

  auto operator==(const backend_record &) const -> bool = default;
};

/// Load that a backend server states with an answer.
struct backend_load {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;
  double Pace = 1; ///< Time that work takes now, 1 as usual.
};

/// A request that a backend server says it runs.
struct running_request {
  std::string Id;
  std::uint32_t Events = 0; ///< Made so far.
};

/// What a backend server says of its own work; some hundred milliseconds old.
struct backend_report {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  bool ListsRuns = false; ///< Runs are stated.
  std::vector<running_request> Runs;
};

} // namespace acacianotch
