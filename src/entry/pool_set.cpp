/// \file Pools of an entry.
#include "entry/pool_set.h"

#include "core/log_func.h"

namespace acacianotch {

namespace {

auto serviceKey(const std::string &Service) -> std::string {
  return "service/" + Service;
}

} // namespace

pool_set::pool_set(node_id TheEntry, zone_id TheZone, std::uint64_t Seed,
                   pool_settings TheSettings)
    : Entry(std::move(TheEntry)), Zone(std::move(TheZone)),
      Settings(TheSettings), Random(Seed) {}

auto pool_set::find(const version_ref &Version) -> pool * {
  const auto Found = Pools.find(Version.text());
  return Found == Pools.end() ? nullptr : Found->second.get();
}

auto pool_set::find(const std::string &Service) -> pool * {
  const auto Found = Pools.find(serviceKey(Service));
  return Found == Pools.end() ? nullptr : Found->second.get();
}

auto pool_set::tick() -> void {
  for (auto &[Name, Pool] : Pools)
    Pool->Outlier.tick();
}

auto pool_set::agentAddress(backend_handle Handle) const -> const address * {
  const auto Found = Addresses.find(Handle);
  return Found == Addresses.end() ? nullptr : &Found->second;
}

auto pool_set::applyCatalogue(const catalogue_view &View) -> void {
  updateAccounts(View);
  updatePools(updateBackends(View));
}

auto pool_set::updateAccounts(const catalogue_view &View) -> void {
  std::map<std::string, account_id> Present;
  for (const auto &[Name, CatalogueEntry] : View.entries(entry_kind::account)) {
    const auto &Body = std::get<account_body>(CatalogueEntry.Body);
    Accounts.put(account_id(Name), {Body.Weight, Body.MaxInFlight});
    Present.emplace(Name, Name);
  }
  for (const auto &[Name, Id] : KnownAccounts)
    if (Present.count(Name) == 0)
      Accounts.remove(Id);
  KnownAccounts = std::move(Present);
}

auto pool_set::updateBackends(const catalogue_view &View) -> member_lists {
  member_lists Lists;
  std::map<backend_id, backend_handle> Present;
  Addresses.clear();
  for (const auto &[Name, CatalogueEntry] : View.entries(entry_kind::backend)) {
    const auto &Body = std::get<backend_body>(CatalogueEntry.Body);
    const auto Address = parseAddress(Body.Address);
    if (!Address) {
      logWarning(log_category::placement,
                 "ignored a backend server with an invalid address",
                 {{"backend", Name}, {"error", Address.error().text()}});
      continue;
    }
    const backend_id Id(Name);
    const auto Handle =
        Backends.put({Id, zone_id(Body.Zone), Body.Slots,
                      Body.Leaving || View.evacuated(Body.Zone)});
    Present.emplace(Id, Handle);
    Addresses.emplace(Handle, *Address);
    for (const auto &Version : Body.Versions)
      Lists[Version.text()].push_back(Handle);
    if (!Body.Service.empty())
      Lists[serviceKey(Body.Service)].push_back(Handle);
  }
  for (const auto &[Id, Handle] : KnownBackends)
    if (Present.count(Id) == 0)
      Backends.remove(Id);
  KnownBackends = std::move(Present);
  return Lists;
}

// A pool without members is kept, because requests in flight refer to it.
auto pool_set::updatePools(member_lists Lists) -> void {
  for (auto &[Name, Pool] : Pools)
    Lists.try_emplace(Name);
  for (auto &[Name, Members] : Lists) {
    auto &Pool = Pools[Name];
    if (Pool == nullptr)
      Pool = std::make_unique<pool>(Clock, Random, Backends, Accounts, Entry,
                                    Zone, Settings);
    if (Pool->Members == Members)
      continue;
    Pool->Members = Members;
    Pool->Outlier.setPeers(Members);
    Pool->Placement.update(std::move(Members));
  }
}

} // namespace acacianotch
