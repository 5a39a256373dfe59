/// \file Reading of settings files.
#include "core/file_func.h"
#include "core/text_func.h"
#include "table/setting_value.h"
#include "table/settings.h"

#include <algorithm>
#include <map>

namespace acacianotch {

namespace {

constexpr std::size_t KeyLimit = 80;

/// Reads one file. Each step adds the faults that it finds, so that an operator
/// sees all of them at once.
class settings_reader {
public:
  explicit settings_reader(const std::filesystem::path &Path)
      : File(Path.string()), Folder(Path.parent_path()) {}

  auto read(std::string_view Toml) -> settings_reading {
    readDefaults();
    auto Parsed = toml::parse(Toml, File);
    if (!Parsed) {
      addSyntaxFault(Parsed.error());
      return {std::nullopt, std::move(Faults)};
    }
    readTable(Parsed.table(), "");
    checkRequired();
    checkOrders();
    if (Faults.empty())
      return {std::move(Settings), {}};
    sortFaults();
    return {std::nullopt, std::move(Faults)};
  }

private:
  auto readDefaults() -> void {
    for (const auto &Row : settingRows()) {
      if (Row.Default.empty())
        continue;
      const auto Parsed = toml::parse("v = " + std::string(Row.Default));
      const auto *Node = Parsed ? Parsed.table().get("v") : nullptr;
      if (Node == nullptr || !detail::assign(Row, *Node, {}, Settings))
        add(0, Row.Key, std::string(Row.Default) + " as the default",
            allowedText(Row));
    }
  }

  auto readTable(const toml::table &Table, const std::string &Prefix) -> void {
    for (const auto &[Name, Node] : Table) {
      const auto Key = Prefix + std::string(Name.str());
      // The line of a key that stands for an implicit table is that of its
      // first member.
      readNode(Key, Node, Name.source().begin.line);
    }
  }

  auto readNode(const std::string &Key, const toml::node &Node,
                std::uint32_t Line) -> void {
    if (const auto *Row = findSettingRow(Key))
      return readRow(*Row, Node, Line);
    if (Node.is_table() && isGroup(Key + "."))
      return readTable(*Node.as_table(), Key + ".");
    addUnknown(Key, Line);
  }

  auto readRow(const setting_row &Row, const toml::node &Node,
               std::uint32_t Line) -> void {
    Lines[Row.Key] = Line;
    if (!detail::assign(Row, Node, Folder, Settings))
      add(Line, Row.Key, detail::foundText(Node), allowedText(Row));
  }

  [[nodiscard]] static auto isGroup(std::string_view Prefix) -> bool {
    for (const auto &Row : settingRows())
      if (Row.Key.starts_with(Prefix))
        return true;
    return false;
  }

  auto addUnknown(const std::string &Key, std::uint32_t Line) -> void {
    std::vector<std::string_view> Keys;
    for (const auto &Row : settingRows())
      Keys.push_back(Row.Key);
    const auto Shown = oneLine(Key, KeyLimit);
    add(Line, Shown, "an unknown key",
        "a known key, the nearest is " + std::string(nearest(Shown, Keys)));
  }

  auto checkRequired() -> void {
    for (const auto &Row : settingRows()) {
      const auto Needed = Row.Required == required_for::all ||
                          includes(Row.Required, Settings.Role);
      if (Needed && !Lines.contains(Row.Key) && !replaced(Row.Key))
        add(0, Row.Key, "nothing", allowedText(Row));
    }
  }

  [[nodiscard]] auto replaced(std::string_view Key) const -> bool {
    const auto Rows = settingAlternatives();
    return std::any_of(Rows.begin(), Rows.end(), [&](const auto &Row) {
      return Row.Key == Key && Lines.contains(Row.Alternative);
    });
  }

  /// Compares settings in their own unit; both sides of a rule share it.
  auto checkOrders() -> void {
    if (!Faults.empty())
      return;
    for (const auto &Order : settingOrders()) {
      const auto Left = number(Order.Left);
      const auto Right = number(Order.Right);
      if (Left < Right || (Left == Right && !Order.Strict))
        continue;
      const auto Line =
          Lines.contains(Order.Left) ? Lines[Order.Left] : Lines[Order.Right];
      add(Line, Order.Left, std::to_string(Left),
          std::string(Order.Strict ? "less than " : "at most ") +
              std::string(Order.Right) + ", which is " + std::to_string(Right));
    }
  }

  [[nodiscard]] auto number(std::string_view Key) const -> std::int64_t {
    return detail::toJson(*findSettingRow(Key), Settings).get<std::int64_t>();
  }

  /// Puts faults into the order of the file; missing keys come last.
  auto sortFaults() -> void {
    const auto Place = [](const settings_fault &Fault) {
      return Fault.Line == 0 ? ~std::uint32_t{0} : Fault.Line;
    };
    std::stable_sort(
        Faults.begin(), Faults.end(),
        [&](const settings_fault &Left, const settings_fault &Right) {
          return Place(Left) < Place(Right);
        });
  }

  auto addSyntaxFault(const toml::parse_error &Error) -> void {
    add(Error.source().begin.line, "",
        oneLine(Error.description(), 2 * KeyLimit), "TOML 1.0");
  }

  auto add(std::uint32_t Line, std::string_view Key, std::string Found,
           std::string Allowed) -> void {
    Faults.push_back(
        {File, Line, std::string(Key), std::move(Found), std::move(Allowed)});
  }

  std::string File;
  std::filesystem::path Folder;
  settings Settings;
  std::map<std::string_view, std::uint32_t> Lines; ///< Keys found in the file.
  std::vector<settings_fault> Faults;
};

} // namespace

auto settings_fault::text() const -> std::string {
  auto Text = File;
  if (Line != 0)
    Text += ":" + std::to_string(Line);
  if (!Key.empty())
    Text += ": " + Key;
  return Text + ": found " + Found + "; allowed: " + Allowed;
}

auto readSettings(std::string_view Toml, const std::filesystem::path &File)
    -> settings_reading {
  return settings_reader(File).read(Toml);
}

auto loadSettings(const std::filesystem::path &File) -> result<settings> {
  const auto Toml = readSmallFile(File);
  if (!Toml)
    return Toml.error();
  auto Reading = readSettings(*Toml, File);
  if (Reading.Value)
    return std::move(*Reading.Value);
  std::string Detail;
  for (const auto &Fault : Reading.Faults)
    Detail += (Detail.empty() ? "" : "\n") + Fault.text();
  return failure::of(errc::bad_settings, Detail);
}

} // namespace acacianotch
