/// \file Division of the request rate of cold backend servers among gateways.
#include "controller/cold_shares.h"

#include <algorithm>
#include <cmath>

namespace acacianotch {

namespace {

/// A gateway that has not asked for this long has no traffic to divide.
constexpr duration GatewayTimeout = std::chrono::seconds(1);
/// A server counts as cold for this long after a gateway has stated it. One
/// exchange that times out takes half of it.
constexpr duration KnownTimeout = std::chrono::seconds(1);
/// Targets follow the traffic this often. A request that moves to another
/// gateway cannot be used for ColdShareLifetime and ColdWindow, so moves are
/// rare.
constexpr duration TargetInterval = std::chrono::seconds(3);

/// \return the weight of a gateway with \p Rate requests per second. Weights
/// grow faster than the traffic, because a gateway with little of it seldom
/// uses the one request a second that rounding gives it.
auto weightOf(std::uint32_t Rate) -> double {
  constexpr double Exponent = 1.5;
  return std::pow(static_cast<double>(Rate), Exponent);
}

/// \return a number from 0 to 1 that differs between servers, so that rounding
/// favours other gateways at each.
auto offsetOf(server_key Key) -> double {
  constexpr std::uint32_t Multiplier = 2654435761U; // Multiplicative hash
  constexpr double Range = 4294967296.0;            // 2^32
  return static_cast<double>(Key * Multiplier) / Range;
}

} // namespace

auto cold_shares::restart(time_point Now) -> void {
  Gateways.clear();
  Servers.clear();
  ReadyAt = Now + ColdShareLifetime + ColdWindow;
}

auto cold_shares::forget(time_point Now) -> void {
  const auto Gone = std::erase_if(Gateways, [&](const auto &Row) {
    return Now - Row.second.HeardAt > GatewayTimeout;
  });
  if (Gone > 0)
    ++Members;
  for (auto &[Key, Server] : Servers) {
    for (auto &[Holder, Grants] : Server.Grants)
      std::erase_if(Grants, [&](const grant &Grant) {
        return Grant.CountedUntil <= Now;
      });
    std::erase_if(Server.Grants,
                  [](const auto &Row) { return Row.second.empty(); });
  }
  std::erase_if(Servers, [&](const auto &Row) {
    return Now - Row.second.KnownAt > KnownTimeout && Row.second.Grants.empty();
  });
}

// Gateways may hold different routing documents for a while; the lowest limit
// that was stated lately is safe under each of them.
auto cold_shares::recordKnown(std::span<const cold_server> Known,
                              time_point Now) -> void {
  for (const auto &[Key, Limit] : Known) {
    auto &Server = Servers[Key];
    Server.KnownAt = Now;
    const auto Outdated = Now - Server.LimitAt > KnownTimeout;
    if (Limit > Server.Limit && !Outdated)
      continue;
    if (Limit != Server.Limit)
      Server.TargetAt = {};
    Server.Limit = Limit;
    Server.LimitAt = Now;
  }
}

// Systematic sampling: the targets add up to the limit, and each one differs
// from the exact share of its gateway by less than one request.
auto cold_shares::updateTargets(server_key Key, server &Server,
                                time_point Now) const -> void {
  const auto Current = Server.Members == Members &&
                       Server.TargetAt != time_point{} &&
                       Now - Server.TargetAt < TargetInterval;
  if (Current)
    return;
  Server.Members = Members;
  Server.TargetAt = Now;
  Server.Targets.clear();
  double Total = 0;
  for (const auto &[Node, Gateway] : Gateways)
    Total += weightOf(Gateway.Rate);
  const auto Even = Total == 0;
  if (Even)
    Total = static_cast<double>(Gateways.size());
  auto Sum = offsetOf(Key);
  for (const auto &[Node, Gateway] : Gateways) {
    const auto Before = std::floor(Sum);
    Sum += Server.Limit * (Even ? 1.0 : weightOf(Gateway.Rate)) / Total;
    Server.Targets[Node] = static_cast<std::uint32_t>(std::floor(Sum) - Before);
  }
}

auto cold_shares::share(server &Server, const std::string &Node, time_point Now)
    -> std::uint32_t {
  std::uint32_t Others = 0;
  for (const auto &[Holder, Grants] : Server.Grants) {
    if (Holder == Node)
      continue;
    std::uint32_t Largest = 0;
    for (const auto &Grant : Grants)
      Largest = std::max(Largest, Grant.Requests);
    Others += Largest;
  }
  const auto Free = Server.Limit - std::min(Others, Server.Limit);
  const auto Requests = std::min(Server.Targets[Node], Free);
  if (Requests == 0)
    return 0;
  // An earlier grant that is neither larger nor counted longer adds nothing.
  auto &Own = Server.Grants[Node];
  std::erase_if(Own,
                [&](const grant &Grant) { return Grant.Requests <= Requests; });
  Own.push_back({Requests, Now + ColdShareLifetime + ColdWindow});
  return Requests;
}

auto cold_shares::exchange(const std::string &Node, std::uint32_t Rate,
                           std::span<const cold_server> Known, time_point Now)
    -> std::vector<cold_share> {
  const auto [Place, Added] = Gateways.try_emplace(Node);
  Place->second = {Rate, Now};
  if (Added)
    ++Members;
  forget(Now);
  recordKnown(Known, Now);
  std::vector<cold_share> Shares;
  for (auto &[Key, Server] : Servers) {
    if (Now - Server.KnownAt > KnownTimeout)
      continue;
    if (Now < ReadyAt) {
      Shares.push_back({Key, 0});
      continue;
    }
    updateTargets(Key, Server, Now);
    Shares.push_back({Key, share(Server, Node, Now)});
  }
  return Shares;
}

} // namespace acacianotch
