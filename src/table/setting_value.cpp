/// \file Conversion of one setting between TOML, its member and JSON.
#include "table/setting_value.h"

#include "core/text_func.h"

#include <algorithm>
#include <sstream>
#include <type_traits>

namespace acacianotch::detail {

namespace {

using json = nlohmann::ordered_json;

constexpr std::size_t FoundLimit = 60;

auto inRange(const setting_row &Row, double Number) -> bool {
  // Written so that NaN is out of range.
  return Number >= Row.Minimum && Number <= Row.Maximum;
}

auto textOf(const toml::node &Node) -> std::optional<std::string> {
  return Node.value_exact<std::string>();
}

auto readInteger(const setting_row &Row, const toml::node &Node)
    -> std::optional<std::int64_t> {
  const auto Number = Node.value_exact<std::int64_t>();
  if (!Number || !inRange(Row, static_cast<double>(*Number)))
    return std::nullopt;
  return Number;
}

auto readLength(const setting_row &Row, const toml::node &Node)
    -> std::optional<std::string> {
  auto Text = textOf(Node);
  if (!Text || !inRange(Row, static_cast<double>(Text->size())))
    return std::nullopt;
  // A NUL would cut a path short where it reaches the operating system.
  const auto IsControl = [](unsigned char Byte) { return Byte < ' '; };
  if (std::any_of(Text->begin(), Text->end(), IsControl))
    return std::nullopt;
  return Text;
}

auto portOf(const address &Address) -> std::uint16_t { return Address.Port; }
auto portOf(const replica_address &Address) -> std::uint16_t {
  return Address.Address.Port;
}

template <typename item>
auto readItem(const setting_row &Row, const toml::node &Node)
    -> std::optional<item> {
  const auto Text = textOf(Node);
  if (!Text)
    return std::nullopt;
  auto Parsed = [&] {
    if constexpr (std::is_same_v<item, address>)
      return parseAddress(*Text);
    else
      return parseReplicaAddress(*Text);
  }();
  if (!Parsed || !inRange(Row, portOf(*Parsed)))
    return std::nullopt;
  return *Parsed;
}

/// \return a list of distinct texts, which may be empty.
auto readTexts(const setting_row &Row, const toml::node &Node)
    -> std::optional<std::vector<std::string>> {
  const auto *Array = Node.as_array();
  if (Array == nullptr)
    return std::nullopt;
  std::vector<std::string> Items;
  for (const auto &Element : *Array) {
    auto Item = readLength(Row, Element);
    if (!Item || std::find(Items.begin(), Items.end(), *Item) != Items.end())
      return std::nullopt;
    Items.push_back(std::move(*Item));
  }
  return Items;
}

auto sameItem(const address &Left, const address &Right) -> bool {
  return Left == Right;
}
auto sameItem(const replica_address &Left, const replica_address &Right)
    -> bool {
  return Left.Id == Right.Id || Left.Address == Right.Address;
}

template <typename item>
auto readList(const setting_row &Row, const toml::node &Node)
    -> std::optional<std::vector<item>> {
  const auto *Array = Node.as_array();
  if (Array == nullptr || Array->empty())
    return std::nullopt;
  std::vector<item> Items;
  for (const auto &Element : *Array) {
    const auto Item = readItem<item>(Row, Element);
    if (!Item)
      return std::nullopt;
    const auto Repeated =
        std::any_of(Items.begin(), Items.end(), [&](const item &Earlier) {
          return sameItem(Earlier, *Item);
        });
    if (Repeated)
      return std::nullopt;
    Items.push_back(*Item);
  }
  return Items;
}

template <typename table>
auto readName(const table &Names, const toml::node &Node) {
  const auto Text = textOf(Node);
  return Names.find(Text ? std::string_view(*Text) : std::string_view());
}

auto readShare(const setting_row &Row, const toml::node &Node)
    -> std::optional<double> {
  const auto Number = Node.is_number() ? Node.value<double>() : std::nullopt;
  if (!Number || !inRange(Row, *Number))
    return std::nullopt;
  return Number;
}

template <typename member>
auto readMember(const setting_row &Row, const toml::node &Node) {
  if constexpr (std::is_same_v<member, std::string> ||
                std::is_same_v<member, std::filesystem::path>)
    return readLength(Row, Node);
  else if constexpr (std::is_same_v<member, double>)
    return readShare(Row, Node);
  else if constexpr (std::is_same_v<member, bool>)
    return Node.value_exact<bool>();
  else if constexpr (std::is_same_v<member, address>)
    return readItem<address>(Row, Node);
  else if constexpr (std::is_same_v<member, std::vector<address>>)
    return readList<address>(Row, Node);
  else if constexpr (std::is_same_v<member, std::vector<replica_address>>)
    return readList<replica_address>(Row, Node);
  else if constexpr (std::is_same_v<member, std::vector<std::string>>)
    return readTexts(Row, Node);
  else if constexpr (std::is_same_v<member, process_role>)
    return readName(ProcessRoleNames, Node);
  else if constexpr (std::is_same_v<member, log_level>)
    return readName(LogLevelNames, Node);
  else
    return readInteger(Row, Node);
}

auto listJson(const auto &Items) -> json {
  auto List = json::array();
  for (const auto &Item : Items)
    List.push_back(Item.text());
  return List;
}

auto nonEmpty(std::string Text) -> json {
  return Text.empty() ? json() : json(std::move(Text));
}

template <typename member> auto memberJson(const member &Value) -> json {
  if constexpr (std::is_same_v<member, std::string>)
    return nonEmpty(Value);
  else if constexpr (std::is_same_v<member, std::filesystem::path>)
    return nonEmpty(Value.string());
  else if constexpr (std::is_same_v<member, address>)
    return Value.valid() ? json(Value.text()) : json();
  else if constexpr (std::is_same_v<member, std::vector<address>> ||
                     std::is_same_v<member, std::vector<replica_address>>)
    return listJson(Value);
  else if constexpr (std::is_same_v<member, std::vector<std::string>>)
    return Value.empty() ? json() : json(Value);
  else if constexpr (std::is_same_v<member, process_role>)
    return std::string(ProcessRoleNames.name(Value));
  else if constexpr (std::is_same_v<member, log_level>)
    return Value == log_level::invalid
               ? json()
               : json(std::string(LogLevelNames.name(Value)));
  else if constexpr (requires { Value.count(); })
    return Value.count();
  else
    return Value;
}

} // namespace

auto assign(const setting_row &Row, const toml::node &Node,
            const std::filesystem::path &Folder, settings &Settings) -> bool {
  return std::visit(
      [&](auto Slot) {
        auto &Member = Slot(Settings);
        using member = std::remove_reference_t<decltype(Member)>;
        auto Value = readMember<member>(Row, Node);
        if (!Value)
          return false;
        if constexpr (std::is_same_v<member, std::filesystem::path>)
          Member = (Folder / *Value).lexically_normal();
        else
          Member = static_cast<member>(*Value);
        return true;
      },
      Row.Slot);
}

auto toJson(const setting_row &Row, const settings &Settings) -> json {
  // Slots give mutable access, because the parser fills members through them.
  auto Copy = Settings;
  return std::visit([&](auto Slot) { return memberJson(Slot(Copy)); },
                    Row.Slot);
}

auto foundText(const toml::node &Node) -> std::string {
  std::ostringstream Out;
  Node.visit([&](const auto &Typed) {
    if constexpr (toml::is_table<decltype(Typed)>)
      Out << "a table";
    else
      Out << Typed;
  });
  return oneLine(Out.str(), FoundLimit);
}

} // namespace acacianotch::detail
