/// \file Lookups in a node's copy of the catalogue.
#include "catalogue/catalogue_view.h"

#include <algorithm>

namespace acacianotch {

namespace {

template <typename body> auto bodyOf(const model_entry *Entry) -> const body * {
  return Entry == nullptr ? nullptr : std::get_if<body>(&Entry->Body);
}

template <typename map>
auto listOf(const map &Map, std::string_view Key)
    -> catalogue_view::entry_list {
  const auto Place = Map.find(Key);
  if (Place == Map.end())
    return {};
  return Place->second;
}

} // namespace

auto catalogue_view::fresh(time_point Now) const -> bool {
  return Confirmation && Now - *Confirmation <= CatalogueLease;
}

auto catalogue_view::fresh(time_point Now, const version_ref &Version) const
    -> bool {
  if (fresh(Now))
    return true;
  const auto *Body = version(Version);
  if (Body == nullptr || !Confirmation)
    return false;
  const auto Grace = std::chrono::milliseconds(Body->GraceMs);
  return Now - *Confirmation <= CatalogueLease + Grace;
}

auto catalogue_view::entries(entry_kind Kind) const -> const entry_map & {
  static const entry_map None;
  const auto Index = static_cast<std::size_t>(Kind);
  return Index < EntryKinds ? Entries[Index] : None;
}

auto catalogue_view::find(entry_kind Kind, std::string_view Name) const
    -> const model_entry * {
  const auto &Map = entries(Kind);
  const auto Place = Map.find(Name);
  return Place == Map.end() ? nullptr : &Place->second;
}

auto catalogue_view::accountByKey(std::string_view KeySha256) const
    -> const model_entry * {
  const auto Place = Accounts.find(KeySha256);
  return Place == Accounts.end() ? nullptr : Place->second;
}

auto catalogue_view::account(std::string_view Name) const
    -> const account_body * {
  return bodyOf<account_body>(find(entry_kind::account, Name));
}

auto catalogue_view::route(std::string_view Model) const -> const route_body * {
  return bodyOf<route_body>(find(entry_kind::route, Model));
}

auto catalogue_view::version(const version_ref &Version) const
    -> const version_body * {
  return bodyOf<version_body>(find(entry_kind::version, Version.text()));
}

auto catalogue_view::requestClass(std::string_view Name) const
    -> const class_body * {
  return bodyOf<class_body>(find(entry_kind::request_class, Name));
}

auto catalogue_view::service(std::string_view Name) const
    -> const service_body * {
  return bodyOf<service_body>(find(entry_kind::service, Name));
}

auto catalogue_view::active(const version_ref &Version) const -> bool {
  const auto *Body = version(Version);
  return Body != nullptr && Body->State == version_state::active;
}

auto catalogue_view::versions(std::string_view Model) const -> entry_list {
  return listOf(VersionsOfModel, Model);
}

auto catalogue_view::backends(const version_ref &Version) const -> entry_list {
  return listOf(BackendsOfVersion, Version.text());
}

auto catalogue_view::backends(std::string_view Service) const -> entry_list {
  return listOf(BackendsOfService, Service);
}

auto catalogue_view::rolloutOf(std::string_view Model) const
    -> const rollout * {
  const auto Place = Rollouts.find(Model);
  return Place == Rollouts.end() ? nullptr : &Place->second;
}

auto catalogue_view::suspicionOf(fingerprint Fingerprint) const -> suspicion {
  const auto Place = Suspicions.find(static_cast<std::uint64_t>(Fingerprint));
  return Place == Suspicions.end() ? suspicion::invalid : Place->second;
}

auto catalogue_view::oldestActive(std::string_view Model,
                                  std::string_view Except) const
    -> const model_entry * {
  const model_entry *Oldest = nullptr;
  for (const auto *Entry : versions(Model)) {
    const auto &Body = std::get<version_body>(Entry->Body);
    if (Body.State != version_state::active || Body.Version == Except)
      continue;
    if (Oldest == nullptr || Entry->Created < Oldest->Created)
      Oldest = Entry;
  }
  return Oldest;
}

/// Without a rollout the oldest active version serves, so that adding a
/// version does not send it traffic. A withdrawn predecessor's share falls to
/// the new version of an open rollout, but an aborted version gets nothing.
auto catalogue_view::shares(std::string_view Model) const
    -> std::vector<version_share> {
  const auto *Rollout = rolloutOf(Model);
  const auto *Oldest = oldestActive(Model, Rollout ? Rollout->To : "");
  auto Old =
      Oldest ? std::get<version_body>(Oldest->Body).ref() : version_ref();
  if (Rollout == nullptr)
    return Oldest ? std::vector{version_share{std::move(Old), 1}}
                  : std::vector<version_share>();
  const version_ref From{Rollout->Model, Rollout->From};
  const version_ref To{Rollout->Model, Rollout->To};
  if (active(From))
    Old = From;
  const auto HasOld = !Old.Model.empty();
  auto Share = active(To) ? Rollout->share() : 0;
  const auto ToIsLast = Rollout->State != rollout_state::aborted && active(To);
  if (!HasOld && ToIsLast)
    Share = 1;
  std::vector<version_share> Shares;
  if (Share > 0)
    Shares.push_back({To, Share});
  if (HasOld && Share < 1)
    Shares.push_back({std::move(Old), 1 - Share});
  std::stable_sort(Shares.begin(), Shares.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.Share > Right.Share;
                   });
  return Shares;
}

auto catalogue_view::content() const -> std::vector<shared_change> {
  std::vector<shared_change> All;
  for (const auto &Map : Entries)
    for (const auto &[Name, Entry] : Map)
      All.push_back({sharedKey(Entry.key()), Entry});
  for (const auto &[Model, Rollout] : Rollouts)
    All.push_back({rolloutKey(Model), Rollout});
  for (const auto &[Service, Rollout] : ServiceRollouts)
    All.push_back({std::string(ServiceRolloutPrefix) + Service, Rollout});
  for (const auto &[Zone, Evacuation] : Evacuations)
    All.push_back({std::string(EvacuationPrefix) + Zone, Evacuation});
  if (Routing)
    All.push_back({std::string(RoutingKey), *Routing});
  for (const auto &[Number, State] : Suspicions)
    All.push_back({quarantineKey(fingerprint{Number}), State});
  std::sort(All.begin(), All.end(), [](const auto &Left, const auto &Right) {
    return Left.Key < Right.Key;
  });
  return All;
}

auto allowed(const account_body &Account, const version_ref &Version) -> bool {
  return std::any_of(Account.Allowed.begin(), Account.Allowed.end(),
                     [&](const version_ref &Item) {
                       return Item.Model == Version.Model &&
                              (Item.Version.empty() ||
                               Item.Version == Version.Version);
                     });
}

} // namespace acacianotch
