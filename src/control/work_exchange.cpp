/// \file Merges the work that gateways have waiting at backend servers.
#include "control/work_exchange.h"

#include <algorithm>
#include <limits>

namespace acacianotch {

namespace {

/// A gateway that is silent for ten of its intervals has ended or is cut off,
/// and its work with it.
constexpr duration LongestAge = std::chrono::seconds(1);

constexpr std::uint64_t MostWork = std::numeric_limits<std::uint32_t>::max();

auto bounded(std::uint64_t Work) -> std::uint32_t {
  return static_cast<std::uint32_t>(std::min(Work, MostWork));
}

/// \return one row for each server, so that what is taken can be given back.
auto mergedRows(const std::vector<server_work> &Rows)
    -> std::vector<server_work> {
  std::map<server_key, std::uint64_t> Sums;
  for (const auto &Row : Rows)
    Sums[Row.Server] += Row.Work;
  std::vector<server_work> Merged;
  Merged.reserve(Sums.size());
  for (const auto &[Server, Work] : Sums)
    Merged.push_back({Server, bounded(Work)});
  return Merged;
}

} // namespace

auto work_exchange::take(const std::vector<server_work> &Rows) -> void {
  for (const auto &Row : Rows)
    if (Row.Work > 0)
      Sums[Row.Server] += Row.Work;
}

auto work_exchange::giveBack(const std::vector<server_work> &Rows) -> void {
  for (const auto &Row : Rows) {
    const auto Place = Sums.find(Row.Server);
    if (Place == Sums.end())
      continue;
    Place->second -= Row.Work;
    if (Place->second == 0)
      Sums.erase(Place);
  }
}

auto work_exchange::dropOld(time_point Now) -> void {
  std::erase_if(Statements, [&](const auto &Row) {
    const auto Old = Now - Row.second.At > LongestAge;
    if (Old)
      giveBack(Row.second.Rows);
    return Old;
  });
}

auto work_exchange::exchange(const std::string &Node,
                             std::vector<server_work> Rows, time_point Now)
    -> std::vector<server_work> {
  Rows = mergedRows(Rows);
  dropOld(Now);
  auto &Statement = Statements[Node];
  giveBack(Statement.Rows);
  std::vector<server_work> Others;
  for (const auto &Row : Rows)
    if (const auto Place = Sums.find(Row.Server); Place != Sums.end())
      Others.push_back({Row.Server, bounded(Place->second)});
  Statement = {std::move(Rows), Now};
  take(Statement.Rows);
  return Others;
}

} // namespace acacianotch
