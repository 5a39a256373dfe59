/// \file Blackboard of the outstanding work at backend servers.
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace acacianotch {

/// Identifies a backend server across processes by a hash of its id.
using server_key = std::uint32_t;

/// \return the key of a backend server.
[[nodiscard]] auto serverKey(std::string_view Id) -> server_key;

/// Outstanding work at one backend server, in thousandths of a work unit. One
/// unit is the prefill of 1,000 prompt tokens by the largest model of a
/// service.
struct server_work {
  server_key Server = 0;
  std::uint32_t Work = 0;

  auto operator==(const server_work &) const -> bool = default;
};

/// Outstanding work of this process, which is exact, and of all other
/// processes, as last merged and distributed by control.
class work_board {
public:
  /// Adds \p Units to the work of this process; subtracts them if negative.
  auto add(server_key Server, double Units) -> void;

  /// Replaces the work of the other processes by \p Rows, received at \p Now.
  auto setOthers(std::span<const server_work> Rows, time_point Now) -> void;

  /// \return the outstanding units at a server. The work of other processes is
  /// ignored once it is too old.
  [[nodiscard]] auto units(server_key Server, time_point Now) const -> double;

  /// \return the outstanding units at all servers.
  [[nodiscard]] auto total(time_point Now) const -> double;

  /// \return whether the work of the other processes is recent enough to use.
  [[nodiscard]] auto fresh(time_point Now) const -> bool;

  /// \return the work of this process at a server, in thousandths of a unit.
  [[nodiscard]] auto ownWork(server_key Server) const -> std::uint32_t;

private:
  std::unordered_map<server_key, double> Own;
  std::unordered_map<server_key, double> Others;
  time_point OthersAt{};
};

} // namespace acacianotch
