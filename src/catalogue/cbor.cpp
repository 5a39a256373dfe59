/// \file CBOR and JSON text, without exceptions.
#include "catalogue/cbor.h"

#include <array>
#include <set>
#include <vector>

namespace acacianotch {

namespace {

constexpr std::size_t MaximumDepth = 32;

/// Walks over CBOR items without recursion. The library's reader recurses on
/// nested items and on nested indefinite byte strings, so that a few hundred
/// kilobytes of garbage would overflow the stack.
class cbor_scan {
public:
  explicit cbor_scan(std::string_view Input) : Bytes(Input) {}

  /// \return whether the input is exactly one item of the accepted subset.
  auto run() -> bool {
    std::array<std::uint64_t, MaximumDepth> Left{};
    std::size_t Depth = 0;
    Left[0] = 1;
    while (true) {
      while (Left[Depth] == 0) {
        if (Depth == 0)
          return At == Bytes.size();
        --Depth;
      }
      --Left[Depth];
      std::uint64_t Children = 0;
      if (!item(Children))
        return false;
      if (Children == 0)
        continue;
      if (++Depth == MaximumDepth)
        return false;
      Left[Depth] = Children;
    }
  }

private:
  auto item(std::uint64_t &Children) -> bool {
    if (At >= Bytes.size())
      return false;
    const auto Lead = static_cast<unsigned char>(Bytes[At++]);
    const auto Major = Lead >> 5U;
    const auto Minor = Lead & 31U;
    std::uint64_t Number = Minor;
    if (Minor > 27 || !argument(Minor, Number))
      return false;
    switch (Major) {
    case 0:
    case 1:
      return true;
    case 2:
    case 3:
      return skip(Number);
    case 4:
      Children = Number;
      return Number <= Bytes.size() - At;
    case 5:
      Children = 2 * Number;
      return Number <= (Bytes.size() - At) / 2;
    case 7:
      return Minor >= 20;
    default:
      return false;
    }
  }

  auto argument(unsigned Minor, std::uint64_t &Number) -> bool {
    if (Minor < 24)
      return true;
    const auto Size = std::size_t{1} << (Minor - 24U);
    if (Bytes.size() - At < Size)
      return false;
    Number = 0;
    for (std::size_t Step = 0; Step < Size; ++Step)
      Number = Number << 8U | static_cast<unsigned char>(Bytes[At++]);
    return true;
  }

  auto skip(std::uint64_t Size) -> bool {
    if (Bytes.size() - At < Size)
      return false;
    At += Size;
    return true;
  }

  std::string_view Bytes;
  std::size_t At = 0;
};

} // namespace

auto encodeCbor(const json &Value) -> std::string {
  std::string Bytes;
  json::to_cbor(Value, Bytes);
  return Bytes;
}

auto decodeCbor(std::string_view Bytes) -> result<json> {
  const auto Corrupt = failure::of(errc::corrupt_data, "not valid CBOR");
  if (!cbor_scan(Bytes).run())
    return Corrupt;
  try {
    auto Value = json::from_cbor(Bytes.begin(), Bytes.end(), true, false);
    if (Value.is_discarded())
      return Corrupt;
    return Value;
  } catch (const std::exception &) {
    return Corrupt;
  }
}

namespace {

/// \return the last key in \p Text that occurs twice in its object.
auto repeatedKey(std::string_view Text) -> std::string {
  std::vector<std::set<std::string>> Keys;
  std::string Repeated;
  const auto Check = [&](int, json::parse_event_t Event, const json &Value) {
    if (Event == json::parse_event_t::object_start)
      Keys.emplace_back();
    if (Event == json::parse_event_t::object_end)
      Keys.pop_back();
    if (Event == json::parse_event_t::key &&
        !Keys.back().insert(Value.get<std::string>()).second)
      Repeated = Value.get<std::string>();
    return true;
  };
  [[maybe_unused]] const auto Value = json::parse(Text, Check);
  return Repeated;
}

} // namespace

auto parseJson(std::string_view Text) -> result<json> {
  // A repeated key replaces its first value, so an object with one has fewer
  // members than keys. Collecting the keys in sets doubles the time.
  std::vector<std::size_t> KeyCounts;
  bool Repeated = false;
  bool TooDeep = false;
  const auto Check = [&](int Depth, json::parse_event_t Event,
                         const json &Value) {
    // Copies of a value recurse. A list or object that is not kept costs no
    // memory.
    if (Depth >= static_cast<int>(MaximumDepth)) {
      TooDeep = true;
      return false;
    }
    if (Event == json::parse_event_t::object_start)
      KeyCounts.push_back(0);
    if (Event == json::parse_event_t::key)
      ++KeyCounts.back();
    if (Event == json::parse_event_t::object_end) {
      Repeated = Repeated || Value.size() != KeyCounts.back();
      KeyCounts.pop_back();
    }
    return true;
  };
  try {
    auto Value = json::parse(Text, Check);
    if (TooDeep)
      return failure::of(errc::bad_request, "too many levels");
    if (Repeated)
      return failure::of(errc::bad_request, "key '" +
                                                printable(repeatedKey(Text)) +
                                                "' occurs twice");
    return Value;
  } catch (const std::exception &Error) {
    return failure::of(errc::bad_request, printable(Error.what()));
  }
}

auto countAt(const json &Object, const char *Key) -> std::uint64_t {
  const auto Found = Object.find(Key);
  return Found != Object.end() && Found->is_number_unsigned()
             ? Found->get<std::uint64_t>()
             : 0;
}

auto printJson(const json &Value, int Indent) -> std::string {
  return Value.dump(Indent, ' ', false, json::error_handler_t::replace);
}

} // namespace acacianotch
