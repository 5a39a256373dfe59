/// \file Commands that change entries.
#include "catalogue/command_func.h"
#include "catalogue/update_type.h"

#include <algorithm>

namespace acacianotch {

namespace {

auto entryJson(const model_entry *Entry) -> json {
  return Entry == nullptr ? json() : writeValue(*Entry);
}

auto findEntry(const catalogue_data &Data, const entry_key &Key)
    -> const model_entry * {
  const auto Place = Data.Entries.find(Key);
  return Place == Data.Entries.end() ? nullptr : &Place->second;
}

auto conflict(const model_entry *Current) -> command_result {
  const auto Text =
      Current == nullptr
          ? std::string("the entry does not exist")
          : "the entry has revision " +
                std::to_string(static_cast<std::uint64_t>(Current->Revision));
  return command_result::of(errc::revision_conflict, Text, entryJson(Current));
}

auto sameContent(const model_entry &Left, const model_entry &Right) -> bool {
  return Left.Owner == Right.Owner && Left.Body == Right.Body;
}

auto addHistory(catalogue_data &Data, const command_context &Context,
                const entry_key &Key, const model_entry *Entry) -> void {
  auto &Rows = Data.History[Key];
  if (Rows.size() == HistoryRows)
    Rows.erase(Rows.begin());
  Rows.push_back({Context.revisionHere(), Context.NowMs, Context.Command.Issuer,
                  Context.Command.ChangeId,
                  std::string(commandName(Context.Command)),
                  Entry == nullptr ? std::nullopt : std::optional(*Entry)});
}

/// Marks a version as withdrawn or active, apart from its entry, so that a
/// removed entry cannot come back as active unnoticed.
auto noteState(catalogue_data &Data, command_context &Context,
               const version_ref &Version, version_state State) -> void {
  if (State == version_state::active) {
    Data.Withdrawn.erase(Version.text());
    return;
  }
  Data.Withdrawn.try_emplace(Version.text(), Context.revisionHere());
  stopRolloutsOf(Data, Context, Version);
}

auto forgetKey(catalogue_data &Data, const model_entry *Entry) -> void {
  if (Entry == nullptr)
    return;
  if (const auto *Account = std::get_if<account_body>(&Entry->Body))
    Data.AccountKeys.erase(Account->KeySha256);
}

/// Stores an entry with its revision and history.
auto store(catalogue_data &Data, command_context &Context, model_entry Entry)
    -> const model_entry & {
  const auto Key = Entry.key();
  const auto *Current = findEntry(Data, Key);
  Entry.Revision = Context.revisionHere();
  Entry.Created = Current ? Current->Created : Context.revisionHere();
  if (const auto *Version = std::get_if<version_body>(&Entry.Body))
    noteState(Data, Context, Version->ref(), Version->State);
  forgetKey(Data, Current);
  if (const auto *Account = std::get_if<account_body>(&Entry.Body))
    Data.AccountKeys[Account->KeySha256] = Entry.Name;
  addHistory(Data, Context, Key, &Entry);
  Context.Changed.push_back(sharedKey(Key));
  return Data.Entries.insert_or_assign(Key, std::move(Entry)).first->second;
}

auto checkKeyIsUnique(const catalogue_data &Data, const model_entry &Entry)
    -> result<void> {
  const auto *Body = std::get_if<account_body>(&Entry.Body);
  if (Body == nullptr)
    return {};
  const auto Place = Data.AccountKeys.find(Body->KeySha256);
  if (Place == Data.AccountKeys.end() || Place->second == Entry.Name)
    return {};
  return failure::of(errc::bad_request,
                     "account '" + Place->second + "' has the same bearer key");
}

auto reinstates(const catalogue_data &Data, const model_entry &Entry) -> bool {
  const auto *Body = std::get_if<version_body>(&Entry.Body);
  return Body != nullptr && Body->State == version_state::active &&
         Data.Withdrawn.contains(Entry.Name);
}

/// The largest grace that a node may still hold for the version: a node that
/// lost its connection keeps the value from before a change.
auto largestGrace(const catalogue_data &Data, const model_entry &Entry)
    -> std::uint32_t {
  auto Grace = std::get<version_body>(Entry.Body).GraceMs;
  const auto Rows = Data.History.find(Entry.key());
  if (Rows == Data.History.end())
    return Grace;
  for (const auto &Row : Rows->second)
    if (Row.Entry)
      Grace = std::max(Grace, std::get<version_body>(Row.Entry->Body).GraceMs);
  return Grace;
}

auto withdrawPayload(const catalogue_data &Data, const model_entry &Entry)
    -> json {
  return {{"entry", entryJson(&Entry)},
          {"grace_ms", largestGrace(Data, Entry)}};
}

auto checkPut(const catalogue_data &Data, const put_entry &Body,
              const model_entry *Current) -> command_result {
  if (auto Done = validateEntry(Body.Entry); !Done)
    return command_result::of(Done.error().Code, Done.error().Detail);
  const auto Held = Current ? Current->Revision : revision::none;
  if (Body.Expected != Held)
    return conflict(Current);
  if (auto Done = checkKeyIsUnique(Data, Body.Entry); !Done)
    return command_result::of(Done.error().Code, Done.error().Detail);
  if (reinstates(Data, Body.Entry) && !Body.Reinstate)
    return command_result::of(errc::version_withdrawn,
                              "set reinstate to make the version active again",
                              entryJson(Current));
  return {};
}

} // namespace

/// Content that is already in place is a success whatever revision the sender
/// held, since nothing of another operator is overwritten.
auto execute(catalogue_data &Data, command_context &Context,
             const put_entry &Body) -> command_result {
  const auto *Current = findEntry(Data, Body.Entry.key());
  if (Current != nullptr && sameContent(*Current, Body.Entry))
    return command_result::of(errc::ok, "unchanged", entryJson(Current));
  auto Checked = checkPut(Data, Body, Current);
  if (!Checked.ok() || Context.DryRun)
    return Checked;
  const auto &Stored = store(Data, Context, Body.Entry);
  return command_result::of(errc::ok, "stored", entryJson(&Stored));
}

auto execute(catalogue_data &Data, command_context &Context,
             const remove_entry &Body) -> command_result {
  const entry_key Key{Body.Kind, Body.Name};
  const auto *Current = findEntry(Data, Key);
  if (Current == nullptr)
    return command_result::of(errc::unknown_entry, Key.text());
  if (Current->Revision != Body.Expected)
    return conflict(Current);
  if (Context.DryRun)
    return {};
  auto Payload = json();
  if (const auto *Version = std::get_if<version_body>(&Current->Body)) {
    Payload = withdrawPayload(Data, *Current);
    noteState(Data, Context, Version->ref(), version_state::withdrawn);
  }
  forgetKey(Data, Current);
  addHistory(Data, Context, Key, nullptr);
  Context.Changed.push_back(sharedKey(Key));
  Data.Entries.erase(Key);
  return command_result::of(errc::ok, "removed", std::move(Payload));
}

auto execute(catalogue_data &Data, command_context &Context,
             const withdraw_version &Body) -> command_result {
  const auto Name = Body.Version.text();
  const auto *Current = findEntry(Data, {entry_kind::version, Name});
  if (Current == nullptr)
    return command_result::of(errc::unknown_model, Name);
  const auto &Version = std::get<version_body>(Current->Body);
  if (Version.State == version_state::withdrawn)
    return command_result::of(errc::ok, "unchanged",
                              withdrawPayload(Data, *Current));
  if (Context.DryRun)
    return {};
  auto Entry = *Current;
  std::get<version_body>(Entry.Body).State = version_state::withdrawn;
  const auto &Stored = store(Data, Context, std::move(Entry));
  return command_result::of(errc::ok, "withdrawn",
                            withdrawPayload(Data, Stored));
}

auto execute(catalogue_data &Data, command_context &Context,
             const drain_backend &Body) -> command_result {
  const auto *Current = findEntry(Data, {entry_kind::backend, Body.Name});
  if (Current == nullptr)
    return command_result::of(errc::unknown_entry, "backend/" + Body.Name);
  if (std::get<backend_body>(Current->Body).Leaving == Body.Leaving)
    return command_result::of(errc::ok, "unchanged", entryJson(Current));
  if (Context.DryRun)
    return {};
  auto Entry = *Current;
  std::get<backend_body>(Entry.Body).Leaving = Body.Leaving;
  const auto &Stored = store(Data, Context, std::move(Entry));
  return command_result::of(errc::ok, "stored", entryJson(&Stored));
}

auto servingVersion(const catalogue_data &Data, const std::string &Model)
    -> std::string {
  const auto IsActive = [&](const std::string &Version) {
    const auto *Entry = findEntry(
        Data, {entry_kind::version, version_ref{Model, Version}.text()});
    return Entry != nullptr &&
           std::get<version_body>(Entry->Body).State == version_state::active;
  };
  const auto Rollout = Data.Rollouts.find(Model);
  std::string Except;
  if (Rollout != Data.Rollouts.end()) {
    const auto &Last = Rollout->second;
    if (Last.State == rollout_state::done && IsActive(Last.To))
      return Last.To;
    if (IsActive(Last.From))
      return Last.From;
    Except = Last.To;
  }
  const model_entry *Oldest = nullptr;
  auto Place = Data.Entries.lower_bound({entry_kind::version, Model + "@"});
  for (; Place != Data.Entries.end(); ++Place) {
    const auto *Body = std::get_if<version_body>(&Place->second.Body);
    if (Body == nullptr || Body->Model != Model)
      break;
    if (Body->State != version_state::active || Body->Version == Except)
      continue;
    if (Oldest == nullptr || Place->second.Created < Oldest->Created)
      Oldest = &Place->second;
  }
  return Oldest ? std::get<version_body>(Oldest->Body).Version : std::string();
}

} // namespace acacianotch
