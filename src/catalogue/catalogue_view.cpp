/// \file Applying updates to a node's copy of the catalogue.
#include "catalogue/catalogue_view.h"

#include <algorithm>
#include <utility>

namespace acacianotch {

auto catalogue_view::apply(const node_update &Update, time_point SentAt)
    -> result<update_outcome> {
  if (Update.Epoch < Epoch || Update.Epoch == epoch::none)
    return update_outcome::stale_epoch;
  if (Update.Epoch > Epoch)
    restart();
  Epoch = Update.Epoch;
  auto Done = Update.Chunks == 0 ? applyDelta(Update) : applyChunk(Update);
  if (Done && *Done != update_outcome::missing)
    confirm(Update, SentAt);
  return Done;
}

auto catalogue_view::applyDelta(const node_update &Update)
    -> result<update_outcome> {
  if (!Complete || Update.Base > Revision)
    return update_outcome::missing;
  if (Update.Revision <= Revision)
    return update_outcome::unchanged;
  auto Changes = std::vector<shared_change>();
  if (!Update.Payload.empty()) {
    auto Read = decodeChanges(Update.Payload);
    if (!Read)
      return Read.error();
    Changes = std::move(*Read);
  }
  for (auto &Change : Changes)
    set(std::move(Change));
  Revision = Update.Revision;
  return update_outcome::applied;
}

auto catalogue_view::applyChunk(const node_update &Update)
    -> result<update_outcome> {
  if (Complete && Update.Revision <= Revision)
    return update_outcome::unchanged;
  if (Update.Chunk == 0)
    restart();
  const auto SameSnapshot =
      PartsOf.Chunks == Update.Chunks && PartsOf.Revision == Update.Revision;
  if (Update.Chunk > 0 && SameSnapshot && Update.Chunk <= PartsOf.Chunk)
    return update_outcome::unchanged;
  const auto IsNext =
      Update.Chunk == 0 || (SameSnapshot && Update.Chunk == PartsOf.Chunk + 1);
  const auto Fits = Update.Base == revision{Parts.size()};
  if (!IsNext || !Fits || Update.Chunk >= Update.Chunks) {
    restart();
    return update_outcome::missing;
  }
  auto Changes = decodeChanges(Update.Payload);
  if (!Changes) {
    restart();
    return Changes.error();
  }
  std::move(Changes->begin(), Changes->end(), std::back_inserter(Parts));
  PartsOf = Update;
  PartsOf.Payload.clear();
  if (Update.Chunk + 1 < Update.Chunks)
    return update_outcome::unchanged;
  clear();
  for (auto &Part : Parts)
    set(std::move(Part));
  restart();
  Revision = Update.Revision;
  Complete = true;
  return update_outcome::applied;
}

/// A confirmation counts only if the view holds at least the confirmed
/// revision; otherwise a withdrawal could be missing from it.
auto catalogue_view::confirm(const node_update &Update, time_point SentAt)
    -> void {
  if (!Update.Confirmed || !Complete || Revision < Update.Revision)
    return;
  Confirmation = Confirmation ? std::max(*Confirmation, SentAt) : SentAt;
}

auto catalogue_view::restart() -> void {
  Parts.clear();
  PartsOf = {};
}

auto catalogue_view::clear() -> void {
  Entries = {};
  Rollouts.clear();
  ServiceRollouts.clear();
  Evacuations.clear();
  Routing.reset();
  Suspicions.clear();
  Accounts.clear();
  VersionsOfModel.clear();
  BackendsOfVersion.clear();
  BackendsOfService.clear();
}

auto catalogue_view::set(shared_change &&Change) -> void {
  if (!Change.Value)
    return remove(Change.Key);
  if (auto *Entry = std::get_if<model_entry>(&*Change.Value))
    return setEntry(std::move(*Entry));
  if (auto *Rollout = std::get_if<rollout>(&*Change.Value)) {
    auto Model = Rollout->Model;
    Rollouts.insert_or_assign(std::move(Model), std::move(*Rollout));
    return;
  }
  if (auto *Rollout = std::get_if<service_rollout>(&*Change.Value)) {
    auto Service = Rollout->Service;
    ServiceRollouts.insert_or_assign(std::move(Service), std::move(*Rollout));
    return;
  }
  if (auto *Evacuation = std::get_if<zone_evacuation>(&*Change.Value)) {
    auto Zone = Evacuation->Zone;
    Evacuations.insert_or_assign(std::move(Zone), std::move(*Evacuation));
    return;
  }
  if (auto *Document = std::get_if<routing_document>(&*Change.Value)) {
    Routing = std::move(*Document);
    return;
  }
  const auto Key = fingerprintOfKey(Change.Key);
  if (Key)
    Suspicions[static_cast<std::uint64_t>(*Key)] =
        std::get<suspicion>(*Change.Value);
}

auto catalogue_view::setEntry(model_entry &&Entry) -> void {
  auto &Map = Entries[static_cast<std::size_t>(Entry.kind())];
  auto Place = Map.find(Entry.Name);
  if (Place == Map.end()) {
    auto Name = Entry.Name;
    Place = Map.emplace(std::move(Name), std::move(Entry)).first;
  } else {
    removeFromIndexes(Place->second);
    Place->second = std::move(Entry);
  }
  addToIndexes(Place->second);
}

auto catalogue_view::remove(std::string_view Key) -> void {
  constexpr std::string_view RolloutPrefix = "rollout/";
  if (Key.starts_with(RolloutPrefix)) {
    const auto Place = Rollouts.find(Key.substr(RolloutPrefix.size()));
    if (Place != Rollouts.end())
      Rollouts.erase(Place);
    return;
  }
  if (const auto Fingerprint = fingerprintOfKey(Key)) {
    Suspicions.erase(static_cast<std::uint64_t>(*Fingerprint));
    return;
  }
  removeEntry(Key);
}

auto catalogue_view::removeEntry(std::string_view Key) -> void {
  const auto Slash = Key.find('/');
  const auto Kind = EntryKindNames.find(Key.substr(0, Slash));
  if (!Kind || Slash == std::string_view::npos)
    return;
  auto &Map = Entries[static_cast<std::size_t>(*Kind)];
  const auto Place = Map.find(Key.substr(Slash + 1));
  if (Place == Map.end())
    return;
  removeFromIndexes(Place->second);
  Map.erase(Place);
}

namespace {

auto insertByName(std::vector<const model_entry *> &List,
                  const model_entry &Entry) -> void {
  const auto Place = std::lower_bound(
      List.begin(), List.end(), Entry.Name,
      [](const auto *Item, const auto &Name) { return Item->Name < Name; });
  List.insert(Place, &Entry);
}

template <typename map>
auto eraseFrom(map &Map, const std::string &Key, const model_entry &Entry)
    -> void {
  const auto Place = Map.find(Key);
  if (Place == Map.end())
    return;
  std::erase(Place->second, &Entry);
  if (Place->second.empty())
    Map.erase(Place);
}

} // namespace

auto catalogue_view::addToIndexes(const model_entry &Entry) -> void {
  if (const auto *Account = std::get_if<account_body>(&Entry.Body))
    Accounts[Account->KeySha256] = &Entry;
  if (const auto *Version = std::get_if<version_body>(&Entry.Body))
    insertByName(VersionsOfModel[Version->Model], Entry);
  const auto *Backend = std::get_if<backend_body>(&Entry.Body);
  if (Backend == nullptr)
    return;
  for (const auto &Version : Backend->Versions)
    insertByName(BackendsOfVersion[Version.text()], Entry);
  if (!Backend->Service.empty())
    insertByName(BackendsOfService[Backend->Service], Entry);
}

auto catalogue_view::removeFromIndexes(const model_entry &Entry) -> void {
  if (const auto *Account = std::get_if<account_body>(&Entry.Body)) {
    const auto Place = Accounts.find(Account->KeySha256);
    if (Place != Accounts.end() && Place->second == &Entry)
      Accounts.erase(Place);
  }
  if (const auto *Version = std::get_if<version_body>(&Entry.Body))
    eraseFrom(VersionsOfModel, Version->Model, Entry);
  const auto *Backend = std::get_if<backend_body>(&Entry.Body);
  if (Backend == nullptr)
    return;
  for (const auto &Version : Backend->Versions)
    eraseFrom(BackendsOfVersion, Version.text(), Entry);
  if (!Backend->Service.empty())
    eraseFrom(BackendsOfService, Backend->Service, Entry);
}

} // namespace acacianotch
