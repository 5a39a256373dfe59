/// \file Reading of files with catalogue entries.
#include "ctl/entry_file.h"

#include "core/file_func.h"
#include "core/text_func.h"
#include "table/toml_type.h"

#include <algorithm>
#include <set>
#include <utility>

namespace acacianotch {

namespace {

constexpr std::size_t MaxMessageLength = 160;
constexpr std::size_t MaxNesting = 64;

auto toJson(const toml::node &Node) -> json;

auto tableJson(const toml::table &Table) -> json {
  auto Object = json::object();
  for (const auto &[Key, Value] : Table)
    Object[std::string(Key.str())] = toJson(Value);
  return Object;
}

auto arrayJson(const toml::array &Array) -> json {
  auto List = json::array();
  for (const auto &Value : Array)
    List.push_back(toJson(Value));
  return List;
}

/// Converts a TOML value. Dates become null, which entry_reader rejects.
auto toJson(const toml::node &Node) -> json {
  if (const auto *Table = Node.as_table())
    return tableJson(*Table);
  if (const auto *Array = Node.as_array())
    return arrayJson(*Array);
  if (const auto *Text = Node.as_string())
    return Text->get();
  if (const auto *Number = Node.as_integer())
    return Number->get();
  if (const auto *Number = Node.as_floating_point())
    return Number->get();
  if (const auto *Flag = Node.as_boolean())
    return Flag->get();
  return {};
}

/// Checks the keys and types of entries and collects all faults. Control
/// validates the body against the kind.
class entry_reader {
public:
  explicit entry_reader(const std::filesystem::path &TheFile)
      : File(TheFile.string()) {}

  auto read(const json &Root) -> result<std::vector<file_entry>> {
    const auto *List = entryList(Root);
    if (List == nullptr)
      return failure::of(errc::bad_settings,
                         File + ": found no list 'entries'; allowed: a list "
                                "of entries");
    for (std::size_t Index = 0; Index < List->size(); ++Index)
      readEntry(Index, (*List)[Index]);
    if (!Faults.empty())
      return failure::of(errc::bad_settings, Faults);
    return std::move(Entries);
  }

private:
  static auto entryList(const json &Root) -> const json * {
    const auto *List = &Root;
    if (Root.is_object() && Root.contains("entries"))
      List = &Root["entries"];
    return List->is_array() ? List : nullptr;
  }

  auto readEntry(std::size_t Index, const json &Item) -> void {
    const auto Location = "entries[" + std::to_string(Index) + "]";
    if (!Item.is_object())
      return addFault(Location, Item, "a table");
    file_entry Entry;
    const auto FaultsBefore = Faults.size();
    for (const auto &[Key, Value] : Item.items())
      readKey(Location, Key, Value, Entry);
    for (const auto *Key : {"kind", "name", "owner", "body"})
      if (!Item.contains(Key))
        addFault(Location + "." + Key, "nothing", "a value");
    if (Faults.size() != FaultsBefore)
      return;
    if (!Keys.insert(Entry.key()).second)
      return addFault(Location, Entry.key() + " twice", "each entry once");
    Entries.push_back(std::move(Entry));
  }

  auto readKey(const std::string &Location, const std::string &Key,
               const json &Value, file_entry &Entry) -> void {
    const auto Path = Location + "." + oneLine(Key, MaxMessageLength);
    if (Key == "kind" || Key == "name" || Key == "owner")
      return storeMember(Path, Key, Value, Value.is_string(), "a text", Entry);
    if (Key == "body")
      return storeMember(Path, Key, Value, Value.is_object() && !hasNull(Value),
                         "a table without dates", Entry);
    if (Key == "created")
      return;
    if (Key == "revision" && Value.is_number_integer() && Value >= 0)
      Entry.Revision = Value.get<std::uint64_t>();
    else if (Key == "reinstate" && Value.is_boolean())
      Entry.Reinstate = Value.get<bool>();
    else if (Key == "revision")
      addFault(Path, Value, "an integer from 0");
    else if (Key == "reinstate")
      addFault(Path, Value, "true or false");
    else
      addFault(Path, "an unknown key",
               "kind, name, owner, body, revision, reinstate");
  }

  auto storeMember(const std::string &Path, const std::string &Key,
                   const json &Value, bool IsValid, const std::string &Allowed,
                   file_entry &Entry) -> void {
    if (!IsValid)
      return addFault(Path, Value, Allowed);
    Entry.Entry[Key] = Value;
  }

  [[nodiscard]] static auto hasNull(const json &Value) -> bool {
    if (Value.is_null())
      return true;
    if (!Value.is_structured())
      return false;
    for (const auto &Item : Value)
      if (hasNull(Item))
        return true;
    return false;
  }

  auto addFault(const std::string &Path, const json &Found,
                const std::string &Allowed) -> void {
    const auto Text =
        Found.is_string()
            ? Found.get<std::string>()
            : Found.dump(-1, ' ', false, json::error_handler_t::replace);
    Faults += (Faults.empty() ? "" : "\n") + File + ": " + Path + ": found " +
              oneLine(Text, MaxMessageLength) + "; allowed: " + Allowed;
  }

  std::string File;
  std::string Faults;
  std::vector<file_entry> Entries;
  std::set<std::string> Keys;
};

auto parseToml(const std::string &Text, const std::string &File)
    -> result<json> {
  const auto Parsed = toml::parse(Text, File);
  if (Parsed)
    return tableJson(Parsed.table());
  const auto &Error = Parsed.error();
  return failure::of(errc::bad_settings,
                     File + ":" + std::to_string(Error.source().begin.line) +
                         ": " + oneLine(Error.description(), MaxMessageLength));
}

/// \return the greatest number of brackets in \p Text that are open at once,
/// not counting those in strings.
auto nestingDepth(std::string_view Text) -> std::size_t {
  std::size_t Open = 0;
  std::size_t MaxOpen = 0;
  auto InString = false;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    const auto Char = Text[I];
    if (InString && Char == '\\')
      ++I;
    else if (Char == '"')
      InString = !InString;
    else if (!InString && (Char == '[' || Char == '{'))
      MaxOpen = std::max(MaxOpen, ++Open);
    else if (!InString && (Char == ']' || Char == '}') && Open > 0)
      --Open;
  }
  return MaxOpen;
}

auto parseJson(const std::string &Text, const std::string &File)
    -> result<json> {
  // The checks and the output of JSON are recursive; deeper nesting could
  // overflow the stack.
  if (nestingDepth(Text) > MaxNesting)
    return failure::of(errc::bad_settings, File + ": is nested too deeply");
  auto Value = json::parse(Text, nullptr, false);
  if (Value.is_discarded())
    return failure::of(errc::bad_settings, File + ": is not JSON");
  return Value;
}

auto parseFile(const std::filesystem::path &File) -> result<json> {
  const auto Text = readSmallFile(File);
  if (!Text)
    return Text.error();
  return File.extension() == ".json" ? parseJson(*Text, File.string())
                                     : parseToml(*Text, File.string());
}

} // namespace

auto file_entry::key() const -> std::string {
  return Entry["kind"].get<std::string>() + "/" +
         Entry["name"].get<std::string>();
}

auto loadEntries(const std::filesystem::path &File)
    -> result<std::vector<file_entry>> {
  auto Root = parseFile(File);
  if (!Root)
    return Root.error();
  return entry_reader(File).read(*Root);
}

auto isEntryFile(const std::filesystem::path &File) -> bool {
  // Settings files are always TOML.
  if (File.extension() == ".json")
    return true;
  const auto Root = parseFile(File);
  return Root && Root->contains("entries");
}

} // namespace acacianotch
