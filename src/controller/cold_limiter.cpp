/// \file Which backend servers are cold, and what may be sent to them.
#include "controller/cold_limiter.h"

#include <algorithm>

namespace acacianotch {

namespace {

/// Time between the check of a limit and the arrival of the request at the
/// socket, by which two requests may be closer than their checks.
constexpr duration SendTolerance = std::chrono::milliseconds(20);

} // namespace

auto cold_limiter::setLimit(server_key Server, std::uint32_t Limit) -> void {
  if (Limit == 0)
    Entries.erase(Server);
  else
    Entries[Server].Limit = Limit;
}

auto cold_limiter::markCold(server_key Server, time_point Until) -> void {
  if (const auto Found = Entries.find(Server); Found != Entries.end())
    Found->second.ColdUntil = std::max(Found->second.ColdUntil, Until);
}

auto cold_limiter::setListed(server_key Server, bool Cold) -> void {
  if (const auto Found = Entries.find(Server); Found != Entries.end())
    Found->second.Listed = Cold;
}

auto cold_limiter::remove(server_key Server) -> void { Entries.erase(Server); }

auto cold_limiter::recordSent(server_key Server, time_point Now) -> void {
  const auto Found = Entries.find(Server);
  if (Found == Entries.end())
    return;
  ++SentCount;
  auto &Sent = Found->second.Sent;
  while (!Sent.empty() && Now - Sent.front() > ColdWindow + SendTolerance)
    Sent.pop_front();
  Sent.push_back(Now);
}

auto cold_limiter::setShares(std::span<const cold_share> Shares,
                             time_point AskedAt) -> void {
  for (const auto &[Server, Requests] : Shares) {
    const auto Found = Entries.find(Server);
    if (Found == Entries.end())
      continue;
    auto &Entry = Found->second;
    Entry.Share = Requests;
    Entry.ShareUntil = AskedAt + ColdShareLifetime;
    Entry.ToldColdUntil = Entry.ShareUntil;
  }
}

auto cold_limiter::cold(const entry &Entry, time_point Now) -> bool {
  return Entry.Listed || Now < Entry.ColdUntil || Now < Entry.ToldColdUntil;
}

auto cold_limiter::cold(server_key Server, time_point Now) const -> bool {
  const auto Found = Entries.find(Server);
  return Found != Entries.end() && cold(Found->second, Now);
}

auto cold_limiter::shareOf(server_key Server, time_point Now) const
    -> std::uint32_t {
  const auto Found = Entries.find(Server);
  const auto Valid = Found != Entries.end() && Now < Found->second.ShareUntil;
  return Valid ? Found->second.Share : 0;
}

// Requests that were sent before the server was known to be cold count too.
auto cold_limiter::admits(server_key Server, time_point Now) const -> bool {
  const auto Found = Entries.find(Server);
  if (Found == Entries.end() || !cold(Found->second, Now))
    return true;
  const auto &Sent = Found->second.Sent;
  const auto Recent =
      std::count_if(Sent.begin(), Sent.end(), [&](time_point At) {
        return Now - At <= ColdWindow + SendTolerance;
      });
  return static_cast<std::uint32_t>(Recent) < shareOf(Server, Now);
}

auto cold_limiter::knownCold(time_point Now) const -> std::vector<cold_server> {
  std::vector<cold_server> Known;
  for (const auto &[Server, Entry] : Entries)
    if (Entry.Listed || Now < Entry.ColdUntil)
      Known.push_back({Server, Entry.Limit});
  return Known;
}

} // namespace acacianotch
