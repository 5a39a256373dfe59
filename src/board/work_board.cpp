/// \file Blackboard of the work that waits at backend servers.
#include "board/work_board.h"

#include <xxhash.h>

#include <cmath>

namespace acacianotch {

namespace {

/// Age at which the work of others is no longer used: most of it has ended.
constexpr duration LongestAge = std::chrono::seconds(1);
constexpr double Thousand = 1000;
/// Sums of many small numbers do not return to zero exactly.
constexpr double LeastUnits = 0.0005;

} // namespace

auto serverKey(std::string_view Id) -> server_key {
  return static_cast<server_key>(XXH3_64bits(Id.data(), Id.size()));
}

auto work_board::add(server_key Server, double Units) -> void {
  auto &Sum = Own[Server];
  Sum += Units;
  if (Sum < LeastUnits)
    Own.erase(Server);
}

auto work_board::setOthers(std::span<const server_work> Rows, time_point Now)
    -> void {
  Others.clear();
  for (const auto &Row : Rows)
    Others[Row.Server] = Row.Work / Thousand;
  OthersAt = Now;
}

auto work_board::fresh(time_point Now) const -> bool {
  return OthersAt != time_point{} && Now - OthersAt <= LongestAge;
}

auto work_board::units(server_key Server, time_point Now) const -> double {
  double Sum = 0;
  if (const auto Place = Own.find(Server); Place != Own.end())
    Sum += Place->second;
  if (!fresh(Now))
    return Sum;
  if (const auto Place = Others.find(Server); Place != Others.end())
    Sum += Place->second;
  return Sum;
}

auto work_board::total(time_point Now) const -> double {
  double Sum = 0;
  for (const auto &[Server, Units] : Own)
    Sum += Units;
  if (fresh(Now))
    for (const auto &[Server, Units] : Others)
      Sum += Units;
  return Sum;
}

auto work_board::ownWork(server_key Server) const -> std::uint32_t {
  const auto Place = Own.find(Server);
  if (Place == Own.end())
    return 0;
  return static_cast<std::uint32_t>(std::lround(Place->second * Thousand));
}

} // namespace acacianotch
