/// \file Blackboard of the outstanding work at backend servers.
#include "board/work_board.h"

#include <xxhash.h>

#include <cmath>

namespace acacianotch {

namespace {

/// Age above which the work of other processes is ignored, since most of it has
/// completed.
constexpr duration MaxAge = std::chrono::seconds(1);
constexpr double MilliunitsPerUnit = 1000;
/// Sums below this are treated as zero: rounding errors keep a sum of many
/// small numbers from returning to zero exactly.
constexpr double MinUnits = 0.0005;

} // namespace

auto serverKey(std::string_view Id) -> server_key {
  return static_cast<server_key>(XXH3_64bits(Id.data(), Id.size()));
}

auto work_board::add(server_key Server, double Units) -> void {
  auto &Sum = Own[Server];
  Sum += Units;
  if (Sum < MinUnits)
    Own.erase(Server);
}

auto work_board::setOthers(std::span<const server_work> Rows, time_point Now)
    -> void {
  Others.clear();
  for (const auto &Row : Rows)
    Others[Row.Server] = Row.Work / MilliunitsPerUnit;
  OthersAt = Now;
}

auto work_board::fresh(time_point Now) const -> bool {
  return OthersAt != time_point{} && Now - OthersAt <= MaxAge;
}

auto work_board::units(server_key Server, time_point Now) const -> double {
  double Sum = 0;
  if (const auto Found = Own.find(Server); Found != Own.end())
    Sum += Found->second;
  if (!fresh(Now))
    return Sum;
  if (const auto Found = Others.find(Server); Found != Others.end())
    Sum += Found->second;
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
  const auto Found = Own.find(Server);
  if (Found == Own.end())
    return 0;
  return static_cast<std::uint32_t>(
      std::lround(Found->second * MilliunitsPerUnit));
}

} // namespace acacianotch
