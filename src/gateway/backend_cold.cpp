/// \file Cold backend servers: what the gateway knows and sends to them.
#include "gateway/backend_directory.h"

#include "core/log_func.h"

#include <algorithm>
#include <cmath>

namespace acacianotch {

namespace {

/// The list shows a start this much later: its own lag and the time between two
/// reads.
constexpr duration ListDelay = std::chrono::seconds(2);

} // namespace

auto backend_directory::setColdLimits(const routing_table &Table,
                                      double Overage, double Slack) -> void {
  ColdRules.clear();
  for (const auto &[Name, Service] : Table.Services)
    if (Service.ColdPerSecond > 0)
      ColdRules[Name] = {static_cast<std::uint32_t>(std::floor(
                             Service.ColdPerSecond * Overage + Slack)),
                         Service.ColdStart};
  for (const auto &[Id, Backend] : Backends)
    applyColdRule(*Backend);
}

// A limit below one request would keep a server from being used until the list
// shows it as warm.
auto backend_directory::applyColdRule(const known_backend &Backend) -> void {
  const auto Rule = ColdRules.find(Backend.Record.Service);
  if (Rule == ColdRules.end())
    return Cold.setLimit(Backend.Key, 0);
  Cold.setLimit(Backend.Key, std::max(Rule->second.Limit, 1U));
  Cold.setListed(Backend.Key, Backend.Record.Cold);
}

auto backend_directory::recordPossibleStart(const known_backend &Backend,
                                            time_point From) -> void {
  const auto Rule = ColdRules.find(Backend.Record.Service);
  if (Rule != ColdRules.end())
    Cold.markCold(Backend.Key, From, From + Rule->second.Start + ListDelay);
}

auto backend_directory::recordListRead(time_point ReadAt) -> void {
  Cold.confirmListed(ReadAt - ListDelay);
}

auto backend_directory::recordDemand(const std::string &Service) -> void {
  if (ColdRules.contains(Service))
    Cold.recordDemand();
}

auto backend_directory::membersAtColdLimit(const backend_pool &Pool) const
    -> std::vector<backend_handle> {
  std::vector<backend_handle> Limited;
  if (ColdRules.empty())
    return Limited;
  const auto Now = steady_clock::now();
  for (const auto Handle : Pool.Members)
    if (!Cold.admits(ByHandle.at(Handle)->Key, Now))
      Limited.push_back(Handle);
  return Limited;
}

auto backend_directory::coldCount() const -> std::size_t {
  const auto Now = steady_clock::now();
  return static_cast<std::size_t>(
      std::count_if(Backends.begin(), Backends.end(), [&](const auto &Row) {
        return Cold.cold(Row.second->Key, Now);
      }));
}

auto backend_directory::logCold(known_backend &Backend, time_point Now)
    -> void {
  if (ColdRules.empty())
    return;
  const auto IsCold = Cold.cold(Backend.Key, Now);
  if (std::exchange(Backend.Cold, IsCold) == IsCold)
    return;
  logInfo(log_category::placement,
          IsCold ? "backend server is cold" : "backend server is warm",
          {{"backend", Backend.Record.Id},
           {"service", Backend.Record.Service},
           {"listed_as_cold", Backend.Record.Cold},
           {"share", Cold.shareOf(Backend.Key, Now)}});
}

} // namespace acacianotch
