/// \file Snapshot of the replicated state.
#include "catalogue/catalogue_state.h"
#include "catalogue/cbor.h"
#include "catalogue/state_fields.h"

#include <algorithm>
#include <utility>

namespace acacianotch {

namespace {

auto corrupt(std::string Detail) -> failure {
  return failure::of(errc::corrupt_data, std::move(Detail));
}

auto checkFormat(const json &Value) -> result<void> {
  if (!Value.is_object())
    return corrupt("the snapshot is not an object");
  const auto Format = Value.find("format");
  if (Format == Value.end() || !Format->is_number_unsigned())
    return corrupt("the snapshot has no format version");
  if (*Format != StateFormat)
    return corrupt("the snapshot has format " + Format->dump() +
                   ", this program reads format " +
                   std::to_string(StateFormat));
  return {};
}

auto checkEntries(const catalogue_data &Data) -> result<void> {
  for (const auto &[Key, Entry] : Data.Entries)
    if (Entry.key() != Key || Entry.Revision > Data.Revision)
      return corrupt("entry '" + printable(Key.text()) + "' is inconsistent");
  for (const auto &[Key, Rows] : Data.History)
    for (const auto &Row : Rows)
      if (Row.Entry && Row.Entry->key() != Key)
        return corrupt("the history of '" + printable(Key.text()) +
                       "' holds another entry");
  return {};
}

/// Derives the index of bearer keys; two accounts must not share one.
auto indexKeys(catalogue_data &Data) -> result<void> {
  for (const auto &[Key, Entry] : Data.Entries) {
    const auto *Account = std::get_if<account_body>(&Entry.Body);
    if (Account == nullptr)
      continue;
    if (!Data.AccountKeys.try_emplace(Account->KeySha256, Key.Name).second)
      return corrupt("two accounts have the same bearer key");
  }
  return {};
}

auto checkRollouts(const catalogue_data &Data) -> result<void> {
  for (const auto &[Model, Rollout] : Data.Rollouts) {
    if (auto Done = validateRollout(Rollout); !Done)
      return corrupt("rollout '" + printable(Model) +
                     "': " + Done.error().Detail);
    const auto Evidence = Data.Evidence.find(Model);
    if (Rollout.Model != Model || Evidence == Data.Evidence.end() ||
        Evidence->second.Rollout != Rollout.Id)
      return corrupt("rollout '" + printable(Model) + "' is inconsistent");
  }
  return {};
}

auto check(const catalogue_data &Data) -> result<void> {
  const auto TimesFit = Data.SweptMs <= Data.LogTimeMs &&
                        static_cast<std::uint64_t>(Data.Revision) <= Data.Index;
  if (!TimesFit)
    return corrupt("times or indexes are inconsistent");
  if (auto Done = checkEntries(Data); !Done)
    return Done;
  return checkRollouts(Data);
}

} // namespace

auto value_codec<entry_key>::read(const json &Value, entry_key &Out,
                                  const limits &) -> result<void> {
  auto Text = detail::readText(Value, {});
  if (!Text)
    return Text.error();
  const auto Slash = Text->find('/');
  const auto Kind = EntryKindNames.find(Text->substr(0, Slash));
  if (!Kind || Slash == std::string::npos)
    return detail::expected("kind/name");
  Out = {*Kind, Text->substr(Slash + 1)};
  return {};
}

auto catalogue_state::encodeSnapshot() const -> std::string {
  return encodeCbor(writeFields(Data));
}

auto catalogue_state::decodeSnapshot(std::string_view Bytes)
    -> result<catalogue_state> {
  auto Value = decodeCbor(Bytes);
  if (!Value)
    return Value.error();
  if (auto Done = checkFormat(*Value); !Done)
    return Done.error();
  catalogue_state State;
  if (auto Done = readFields(*Value, State.Data); !Done)
    return corrupt(Done.error().Detail);
  if (auto Done = check(State.Data); !Done)
    return Done.error();
  if (auto Done = indexKeys(State.Data); !Done)
    return Done.error();
  State.Deltas.restart(State.Data.Revision);
  return State;
}

} // namespace acacianotch
