/// \file Help text, reference page and state dump of settings.
#include "table/setting_value.h"
#include "table/settings.h"

#include <array>
#include <cstdio>
#include <sstream>
#include <type_traits>

namespace acacianotch {

namespace {

/// \return a number without a fraction or an exponent where it needs none.
auto numberText(double Number) -> std::string {
  std::array<char, 32> Text{};
  const auto Size = std::snprintf(Text.data(), Text.size(), "%.16g", Number);
  return {Text.data(), static_cast<std::size_t>(Size)};
}

auto rangeText(const setting_row &Row) -> std::string {
  auto Text = numberText(Row.Minimum) + " to " + numberText(Row.Maximum);
  return Row.Unit.empty() ? Text : Text + " " + std::string(Row.Unit);
}

auto namesText(const auto &Names) -> std::string {
  std::string Text;
  for (const auto &Row : Names.Rows)
    Text += (Text.empty() ? "one of " : ", ") + std::string(Row.Name);
  return Text;
}

auto portText(const setting_row &Row) -> std::string {
  return " with port " + rangeText(Row);
}

template <typename member> auto allowed(const setting_row &Row) -> std::string {
  if constexpr (std::is_same_v<member, std::string>)
    return "a text of " + rangeText(Row) + " characters";
  else if constexpr (std::is_same_v<member, std::filesystem::path>)
    return "a path of " + rangeText(Row) + " characters";
  else if constexpr (std::is_same_v<member, double>)
    return "a number from " + rangeText(Row);
  else if constexpr (std::is_same_v<member, bool>)
    return "true or false";
  else if constexpr (std::is_same_v<member, address>)
    return "IP:PORT or [IPv6]:PORT" + portText(Row);
  else if constexpr (std::is_same_v<member, std::vector<address>>)
    return "a list of distinct IP:PORT or [IPv6]:PORT" + portText(Row);
  else if constexpr (std::is_same_v<member, std::vector<replica_address>>)
    return "a list of ID=IP:PORT with distinct ids and addresses" +
           portText(Row);
  else if constexpr (std::is_same_v<member, std::vector<std::string>>)
    return "a list of distinct texts of " + rangeText(Row) + " characters";
  else if constexpr (std::is_same_v<member, process_role>)
    return namesText(ProcessRoleNames);
  else if constexpr (std::is_same_v<member, log_level>)
    return namesText(LogLevelNames);
  else
    return "an integer from " + rangeText(Row);
}

template <typename member> auto typeNameOf() -> std::string_view {
  if constexpr (std::is_same_v<member, std::string>)
    return "text";
  else if constexpr (std::is_same_v<member, std::filesystem::path>)
    return "path";
  else if constexpr (std::is_same_v<member, double>)
    return "number";
  else if constexpr (std::is_same_v<member, bool>)
    return "boolean";
  else if constexpr (std::is_same_v<member, address>)
    return "address";
  else if constexpr (std::is_same_v<member, std::vector<address>>)
    return "list of addresses";
  else if constexpr (std::is_same_v<member, std::vector<replica_address>>)
    return "list of replicas";
  else if constexpr (std::is_same_v<member, std::vector<std::string>>)
    return "list of texts";
  else if constexpr (std::is_same_v<member, process_role>)
    return "role";
  else if constexpr (std::is_same_v<member, log_level>)
    return "log level";
  else
    return "integer";
}

template <typename slot>
using member_of =
    std::remove_reference_t<std::invoke_result_t<slot, settings &>>;

auto requiredText(const setting_row &Row) -> std::string {
  if (Row.Required == required_for::all)
    return "all roles";
  std::string Text;
  for (const auto &Role : ProcessRoleNames.Rows)
    if (includes(Row.Required, Role.Value))
      Text += (Text.empty() ? "" : ", ") + std::string(Role.Name);
  return Text;
}

auto helpLine(const setting_row &Row) -> std::string {
  constexpr std::size_t KeyWidth = 34;
  auto Line = "  " + std::string(Row.Key);
  Line.resize(std::max(Line.size() + 1, KeyWidth), ' ');
  Line += Row.Text;
  if (Row.Required != required_for::none)
    Line += " (required: " + requiredText(Row) + ")";
  else if (!Row.Default.empty())
    Line += " (default " + std::string(Row.Default) + ")";
  return Line + "\n";
}

} // namespace

auto typeName(const setting_row &Row) -> std::string_view {
  return std::visit(
      [](auto Slot) { return typeNameOf<member_of<decltype(Slot)>>(); },
      Row.Slot);
}

auto allowedText(const setting_row &Row) -> std::string {
  return std::visit(
      [&](auto Slot) { return allowed<member_of<decltype(Slot)>>(Row); },
      Row.Slot);
}

auto dumpSettings(const settings &Settings) -> nlohmann::ordered_json {
  auto Dump = nlohmann::ordered_json::object();
  for (const auto &Row : settingRows())
    Dump[std::string(Row.Key)] = detail::toJson(Row, Settings);
  return Dump;
}

auto settingsHelp() -> std::string {
  std::string Text = "Settings (TOML):\n";
  for (const auto &Row : settingRows())
    Text += helpLine(Row);
  return Text;
}

auto settingsReference() -> std::string {
  std::ostringstream Page;
  Page << "| setting | type | default | allowed | required for | meaning |\n"
       << "|---|---|---|---|---|---|\n";
  for (const auto &Row : settingRows()) {
    const std::string Default(Row.Default);
    Page << "| `" << Row.Key << "` | " << typeName(Row) << " | "
         << (Default.empty() ? "" : "`" + Default + "`") << " | "
         << allowedText(Row) << " | " << requiredText(Row) << " | " << Row.Text
         << " |\n";
  }
  return Page.str();
}

} // namespace acacianotch
