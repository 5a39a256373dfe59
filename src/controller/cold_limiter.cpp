/// \file Which backend servers are cold, and what may be sent to them.
#include "controller/cold_limiter.h"

#include <algorithm>

namespace acacianotch {

namespace {

/// Time between the check of a limit and the arrival of the request at the
/// socket, by which two requests may be closer than their checks.
constexpr duration SendTolerance = std::chrono::milliseconds(20);
/// Without a leader a server counts as cold for this long after other gateways
/// said so: by then the list of backend servers shows it.
constexpr duration ToldLifetime = std::chrono::milliseconds(2500);

} // namespace

auto cold_limiter::setLimit(server_key Server, std::uint32_t Limit) -> void {
  if (Limit == 0) {
    Entries.erase(Server);
    return;
  }
  auto &Entry = Entries[Server];
  Entry.Limit = Limit;
  Entry.Released = false;
}

auto cold_limiter::markCold(server_key Server, time_point From,
                            time_point Until) -> void {
  const auto Found = Entries.find(Server);
  if (Found == Entries.end())
    return;
  Found->second.MarkedFrom = std::max(Found->second.MarkedFrom, From);
  Found->second.ColdUntil = std::max(Found->second.ColdUntil, Until);
}

auto cold_limiter::confirmListed(time_point Before) -> void {
  for (auto &[Server, Entry] : Entries)
    if (!Entry.Listed && Entry.MarkedFrom < Before)
      Entry.ColdUntil = {};
}

auto cold_limiter::setListed(server_key Server, bool Cold) -> void {
  if (const auto Found = Entries.find(Server); Found != Entries.end())
    Found->second.Listed = Cold;
}

auto cold_limiter::release(server_key Server) -> void {
  if (const auto Found = Entries.find(Server); Found != Entries.end())
    Found->second.Released = true;
}

auto cold_limiter::forgetReleased(time_point Now) -> void {
  std::erase_if(Entries, [&](const auto &Row) {
    const auto &Entry = Row.second;
    return Entry.Released && !cold(Entry, Now) && recentlySent(Entry, Now) == 0;
  });
}

auto cold_limiter::recordSent(server_key Server, time_point Now) -> void {
  const auto Found = Entries.find(Server);
  if (Found == Entries.end())
    return;
  auto &Sent = Found->second.Sent;
  std::erase_if(Sent, [&](time_point At) {
    return Now - At > ColdWindow + SendTolerance;
  });
  Sent.push_back(Now);
}

auto cold_limiter::recordConnected(server_key Server, time_point SentAt,
                                   time_point Now) -> void {
  const auto Found = Entries.find(Server);
  if (Found == Entries.end())
    return;
  auto &Sent = Found->second.Sent;
  const auto Place = std::find_if(Sent.begin(), Sent.end(),
                                  [&](time_point At) { return At >= SentAt; });
  if (Place != Sent.end())
    *Place = Now;
}

// An answer names all cold servers, so the others that it named before are
// warm again.
auto cold_limiter::setShares(std::span<const cold_share> Shares,
                             time_point AskedAt) -> void {
  for (auto &[Server, Entry] : Entries)
    Entry.ToldColdUntil = {};
  for (const auto &[Server, Requests] : Shares) {
    const auto Found = Entries.find(Server);
    if (Found == Entries.end())
      continue;
    auto &Entry = Found->second;
    Entry.Share = Requests;
    Entry.ShareUntil = AskedAt + ColdShareLifetime;
    Entry.ToldColdUntil = AskedAt + ToldLifetime;
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
  return recentlySent(Found->second, Now) < shareOf(Server, Now);
}

auto cold_limiter::recentlySent(const entry &Entry, time_point Now)
    -> std::uint32_t {
  return static_cast<std::uint32_t>(
      std::count_if(Entry.Sent.begin(), Entry.Sent.end(), [&](time_point At) {
        return Now - At <= ColdWindow + SendTolerance;
      }));
}

auto cold_limiter::knownCold(time_point Now) const -> std::vector<cold_server> {
  std::vector<cold_server> Known;
  for (const auto &[Server, Entry] : Entries)
    if (Entry.Listed || Now < Entry.ColdUntil)
      Known.push_back({Server, Entry.Limit});
  return Known;
}

} // namespace acacianotch
