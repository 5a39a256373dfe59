/// \file Exchange of outstanding work at backend servers between gateways.
#include "control/work_exchange.h"

#include <algorithm>
#include <limits>

namespace acacianotch {

namespace {

/// A gateway that has not reported for ten report intervals has stopped or is
/// unreachable; its work is no longer counted.
constexpr duration ReportTimeout = std::chrono::seconds(1);

constexpr std::uint64_t MaxWork = std::numeric_limits<std::uint32_t>::max();

auto bounded(std::uint64_t Work) -> std::uint32_t {
  return static_cast<std::uint32_t>(std::min(Work, MaxWork));
}

/// \return one row for each server, so that the sums can be reverted exactly.
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

auto work_exchange::add(const std::vector<server_work> &Rows) -> void {
  for (const auto &Row : Rows)
    if (Row.Work > 0)
      Sums[Row.Server] += Row.Work;
}

auto work_exchange::subtract(const std::vector<server_work> &Rows) -> void {
  for (const auto &Row : Rows) {
    const auto Found = Sums.find(Row.Server);
    if (Found == Sums.end())
      continue;
    Found->second -= Row.Work;
    if (Found->second == 0)
      Sums.erase(Found);
  }
}

auto work_exchange::removeStale(time_point Now) -> void {
  std::erase_if(Reports, [&](const auto &Row) {
    const auto Stale = Now - Row.second.At > ReportTimeout;
    if (Stale)
      subtract(Row.second.Rows);
    return Stale;
  });
}

auto work_exchange::exchange(const std::string &Node,
                             std::vector<server_work> Rows, time_point Now)
    -> std::vector<server_work> {
  Rows = mergedRows(Rows);
  removeStale(Now);
  auto &Report = Reports[Node];
  subtract(Report.Rows);
  std::vector<server_work> Others;
  for (const auto &Row : Rows)
    if (const auto Found = Sums.find(Row.Server); Found != Sums.end())
      Others.push_back({Row.Server, bounded(Found->second)});
  Report = {std::move(Rows), Now};
  add(Report.Rows);
  return Others;
}

} // namespace acacianotch
