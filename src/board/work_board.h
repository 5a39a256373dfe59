/// \file Blackboard of the work that waits at backend servers.
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace acacianotch {

/// Names a backend server between processes: a hash of its id.
using server_key = std::uint32_t;

/// \return the key of a backend server.
[[nodiscard]] auto serverKey(std::string_view Id) -> server_key;

/// Work at one backend server, in thousandths of a work unit. One unit is
/// the reading of 1,000 prompt tokens by the largest model of a service.
struct server_work {
  server_key Server = 0;
  std::uint32_t Work = 0;

  auto operator==(const server_work &) const -> bool = default;
};

/// Work of this process, which is exact, and that of all others as control
/// merged it a moment ago.
class work_board {
public:
  /// Adds \p Units of this process, or takes them back if negative.
  auto add(server_key Server, double Units) -> void;

  /// Replaces the work of the others, as known at \p Now.
  auto setOthers(std::span<const server_work> Rows, time_point Now) -> void;

  /// \return the units that wait at a server. The part of the others is left
  /// out once it is too old.
  [[nodiscard]] auto units(server_key Server, time_point Now) const -> double;

  /// \return the units that wait at all servers.
  [[nodiscard]] auto total(time_point Now) const -> double;

  /// \return whether the work of the others is known.
  [[nodiscard]] auto fresh(time_point Now) const -> bool;

  /// \return the work of this process at a server.
  [[nodiscard]] auto ownWork(server_key Server) const -> std::uint32_t;

private:
  std::unordered_map<server_key, double> Own;
  std::unordered_map<server_key, double> Others;
  time_point OthersAt{};
};

} // namespace acacianotch
