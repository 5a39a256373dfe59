/// \file Reading and writing of updates to nodes.
#include "catalogue/cbor.h"
#include "catalogue/update_type.h"

#include <array>
#include <charconv>

namespace acacianotch {

namespace {

constexpr std::string_view RolloutPrefix = "rollout/";
constexpr std::string_view QuarantinePrefix = "quarantine/";
constexpr std::size_t HexDigits = 16;

auto mismatch(std::string_view Key) -> failure {
  return failure::of(errc::bad_request,
                     "the value of '" + printable(Key) + "' has another key");
}

auto readEntry(std::string_view Key, const json &Value)
    -> result<shared_value> {
  auto Entry = readValue<model_entry>(Value);
  if (!Entry)
    return Entry.error();
  if (sharedKey(Entry->key()) != Key)
    return mismatch(Key);
  return shared_value(std::move(*Entry));
}

auto readRollout(std::string_view Key, const json &Value)
    -> result<shared_value> {
  auto Rollout = readValue<rollout>(Value);
  if (!Rollout)
    return Rollout.error();
  if (auto Done = validateRollout(*Rollout); !Done)
    return Done.error();
  if (rolloutKey(Rollout->Model) != Key)
    return mismatch(Key);
  return shared_value(std::move(*Rollout));
}

auto readSuspicion(std::string_view Key, const json &Value)
    -> result<shared_value> {
  if (!fingerprintOfKey(Key))
    return mismatch(Key);
  auto State = readValue<suspicion>(Value);
  if (!State)
    return State.error();
  return shared_value(*State);
}

template <typename type>
auto readPlain(const json &Value) -> result<shared_value> {
  auto Read = readValue<type>(Value);
  if (!Read)
    return Read.error();
  return shared_value(std::move(*Read));
}

auto readShared(std::string_view Key, const json &Value)
    -> result<shared_value> {
  if (Key == RoutingKey)
    return readPlain<routing_document>(Value);
  if (Key.starts_with(ServiceRolloutPrefix))
    return readPlain<service_rollout>(Value);
  if (Key.starts_with(EvacuationPrefix))
    return readPlain<zone_evacuation>(Value);
  if (Key.starts_with(RolloutPrefix))
    return readRollout(Key, Value);
  if (Key.starts_with(QuarantinePrefix))
    return readSuspicion(Key, Value);
  return readEntry(Key, Value);
}

auto readChange(const json &Pair) -> result<shared_change> {
  if (!Pair.is_array() || Pair.size() != 2)
    return failure::of(errc::bad_request, "a pair is expected");
  auto Key = readValue<std::string>(Pair[0]);
  if (!Key)
    return Key.error();
  if (Pair[1].is_null())
    return shared_change{std::move(*Key), std::nullopt};
  auto Value = readShared(*Key, Pair[1]);
  if (!Value)
    return Value.error();
  return shared_change{std::move(*Key), std::move(*Value)};
}

} // namespace

auto sharedKey(const entry_key &Key) -> std::string { return Key.text(); }

auto rolloutKey(std::string_view Model) -> std::string {
  return std::string(RolloutPrefix) + std::string(Model);
}

auto quarantineKey(fingerprint Fingerprint) -> std::string {
  std::array<char, HexDigits> Digits{};
  auto Number = static_cast<std::uint64_t>(Fingerprint);
  for (auto Place = Digits.rbegin(); Place != Digits.rend(); ++Place) {
    *Place = "0123456789abcdef"[Number & 15U];
    Number >>= 4U;
  }
  return std::string(QuarantinePrefix) +
         std::string(Digits.data(), Digits.size());
}

auto fingerprintOfKey(std::string_view Key) -> std::optional<fingerprint> {
  if (!Key.starts_with(QuarantinePrefix))
    return std::nullopt;
  const auto Text = Key.substr(QuarantinePrefix.size());
  std::uint64_t Number = 0;
  const auto *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Number, 16);
  const auto Whole = Read.ec == std::errc() && Read.ptr == End;
  if (!Whole || quarantineKey(fingerprint{Number}) != Key)
    return std::nullopt;
  return fingerprint{Number};
}

auto encodeChanges(const std::vector<shared_change> &Changes) -> std::string {
  auto List = json::array();
  for (const auto &Change : Changes) {
    auto Value = json();
    if (Change.Value)
      Value = std::visit([](const auto &Item) { return writeValue(Item); },
                         *Change.Value);
    List.push_back(json::array({Change.Key, std::move(Value)}));
  }
  return encodeCbor(List);
}

auto decodeChanges(std::string_view Bytes)
    -> result<std::vector<shared_change>> {
  auto List = decodeCbor(Bytes);
  if (!List)
    return List.error();
  if (!List->is_array())
    return failure::of(errc::bad_request, "a list is expected");
  std::vector<shared_change> Changes;
  Changes.reserve(List->size());
  for (const auto &Pair : *List) {
    auto Change = readChange(Pair);
    if (!Change)
      return Change.error();
    Changes.push_back(std::move(*Change));
  }
  return Changes;
}

} // namespace acacianotch
