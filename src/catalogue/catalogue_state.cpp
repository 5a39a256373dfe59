/// \file Driving commands through the replicated state.
#include "catalogue/catalogue_state.h"

#include <algorithm>
#include <utility>

namespace acacianotch {

auto catalogue_state::run(command_context &Context) -> command_result {
  if (auto Earlier = earlierResult(Data, Context))
    return std::move(*Earlier);
  auto Result =
      std::visit([&](const auto &Body) { return execute(Data, Context, Body); },
                 Context.Command.Body);
  Result.Revision =
      Context.Changed.empty() ? Data.Revision : Context.revisionHere();
  if (!Context.DryRun)
    rememberResult(Data, Context, Result);
  return Result;
}

auto catalogue_state::apply(const command &Command, std::uint64_t Index)
    -> command_result {
  if (Index <= Data.Index)
    return command_result::of(errc::internal, "the log index went back");
  Data.Index = Index;
  Data.LogTimeMs = std::max(Data.LogTimeMs, Command.TimeMs);
  command_context Context{Command, Index, Data.LogTimeMs, false, {}};
  auto Result = run(Context);
  sweep(Data, Context);
  if (Context.Changed.empty())
    return Result;
  Data.Revision = revision{Index};
  Deltas.add(Data.Revision, std::move(Context.Changed));
  return Result;
}

auto catalogue_state::test(const command &Command) -> command_result {
  const auto NowMs = std::max(Data.LogTimeMs, Command.TimeMs);
  command_context Context{Command, Data.Index + 1, NowMs, true, {}};
  return run(Context);
}

auto catalogue_state::skip(std::uint64_t Index) -> void {
  Data.Index = std::max(Data.Index, Index);
}

auto catalogue_state::sharedValue(std::string_view Key) const
    -> std::optional<shared_value> {
  const auto Slash = std::min(Key.find('/'), Key.size());
  const auto Name = std::string(Key.substr(std::min(Slash + 1, Key.size())));
  if (const auto Fingerprint = fingerprintOfKey(Key)) {
    const auto Place = Data.Crashes.find(*Fingerprint);
    if (Place == Data.Crashes.end())
      return std::nullopt;
    const auto State = Place->second.State;
    if (State != suspicion::suspect && State != suspicion::quarantined)
      return std::nullopt;
    return State;
  }
  if (Key == RoutingKey)
    return Data.Routing ? std::optional<shared_value>(*Data.Routing)
                        : std::nullopt;
  if (Key.starts_with(ServiceRolloutPrefix)) {
    const auto Place = Data.ServiceRollouts.find(Name);
    if (Place == Data.ServiceRollouts.end())
      return std::nullopt;
    return Place->second;
  }
  if (Key.starts_with(EvacuationPrefix)) {
    const auto Place = Data.Evacuations.find(Name);
    if (Place == Data.Evacuations.end())
      return std::nullopt;
    return Place->second;
  }
  if (Key == rolloutKey(Name)) {
    const auto Place = Data.Rollouts.find(Name);
    if (Place == Data.Rollouts.end())
      return std::nullopt;
    return Place->second;
  }
  const auto Kind = EntryKindNames.find(Key.substr(0, Slash));
  const auto Place =
      Data.Entries.find({Kind.value_or(entry_kind::invalid), Name});
  if (Place == Data.Entries.end())
    return std::nullopt;
  return Place->second;
}

auto catalogue_state::sharedContent() const -> std::vector<shared_change> {
  std::vector<shared_change> All;
  for (const auto &[Key, Entry] : Data.Entries)
    All.push_back({sharedKey(Key), Entry});
  for (const auto &[Model, Rollout] : Data.Rollouts)
    All.push_back({rolloutKey(Model), Rollout});
  for (const auto &[Service, Rollout] : Data.ServiceRollouts)
    All.push_back({std::string(ServiceRolloutPrefix) + Service, Rollout});
  for (const auto &[Zone, Evacuation] : Data.Evacuations)
    All.push_back({std::string(EvacuationPrefix) + Zone, Evacuation});
  if (Data.Routing)
    All.push_back({std::string(RoutingKey), *Data.Routing});
  for (const auto &[Fingerprint, Record] : Data.Crashes)
    if (Record.State == suspicion::suspect ||
        Record.State == suspicion::quarantined)
      All.push_back({quarantineKey(Fingerprint), Record.State});
  std::sort(All.begin(), All.end(), [](const auto &Left, const auto &Right) {
    return Left.Key < Right.Key;
  });
  return All;
}

auto catalogue_state::updatesSince(revision Base, std::size_t Bytes) const
    -> std::vector<node_update> {
  if (Base > Data.Revision)
    return {};
  if (Base == revision::none)
    return snapshotUpdates(Bytes);
  const auto Keys = Deltas.keysSince(Base);
  if (!Keys)
    return snapshotUpdates(Bytes);
  node_update Update;
  Update.Base = Base;
  Update.Revision = Data.Revision;
  std::vector<shared_change> Changes;
  for (const auto &Key : *Keys)
    Changes.push_back({Key, sharedValue(Key)});
  if (!Changes.empty())
    Update.Payload = encodeChanges(Changes);
  return {std::move(Update)};
}

auto catalogue_state::snapshotUpdates(std::size_t Limit) const
    -> std::vector<node_update> {
  std::vector<node_update> Updates;
  std::vector<shared_change> Part;
  std::size_t Sent = 0;
  const auto Close = [&] {
    node_update Update;
    Update.Base = revision{Sent};
    Sent += Part.size();
    Update.Revision = Data.Revision;
    Update.Chunk = static_cast<std::uint32_t>(Updates.size());
    Update.Payload = encodeChanges(Part);
    Updates.push_back(std::move(Update));
    Part.clear();
  };
  std::size_t Bytes = 0;
  for (auto &Change : sharedContent()) {
    Bytes += encodeChanges({Change}).size();
    Part.push_back(std::move(Change));
    if (Bytes < Limit)
      continue;
    Close();
    Bytes = 0;
  }
  if (!Part.empty() || Updates.empty())
    Close();
  for (auto &Update : Updates)
    Update.Chunks = static_cast<std::uint32_t>(Updates.size());
  return Updates;
}

} // namespace acacianotch
