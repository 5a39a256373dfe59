/// \file Settings rows and the functions that read them.
#pragma once

#include "core/result.h"
#include "table/settings_type.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <filesystem>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace acacianotch {

/// Access to the member that a row fills. The alternative is the row's type.
using setting_slot =
    std::variant<std::string &(*)(settings &),
                 std::filesystem::path &(*)(settings &),
                 std::uint64_t &(*)(settings &), double &(*)(settings &),
                 bool &(*)(settings &), milliseconds &(*)(settings &),
                 seconds &(*)(settings &), address &(*)(settings &),
                 std::vector<address> &(*)(settings &),
                 std::vector<replica_address> &(*)(settings &),
                 std::vector<std::string> &(*)(settings &),
                 process_role &(*)(settings &), log_level &(*)(settings &)>;

/// Roles that must set a row; combined by `|`.
enum class required_for : std::uint8_t {
  none = 0,
  entry = 1,
  agent = 2,
  control = 4,
  gateway = 8,
  all = 15,
};

constexpr auto operator|(required_for Left, required_for Right)
    -> required_for {
  return static_cast<required_for>(static_cast<unsigned>(Left) |
                                   static_cast<unsigned>(Right));
}

/// \return whether \p Roles contains \p Role.
[[nodiscard]] auto includes(required_for Roles, process_role Role) -> bool;

/// One setting. Every reader of settings works from these rows.
struct setting_row {
  std::string_view Key;     ///< Dotted key in the TOML file.
  setting_slot Slot;        ///< Member it fills, and its type.
  std::string_view Default; ///< TOML literal; empty means no default.
  double Minimum = 0; ///< Least number or length; of an address, least port.
  double Maximum = 0; ///< Greatest number, length or port.
  required_for Required = required_for::none;
  std::string_view Unit; ///< Unit of the number, if any.
  std::string_view Text; ///< One sentence for people.
};

/// One rule between two settings: the left value is at most (or below) the
/// right one.
struct setting_order {
  std::string_view Left;
  std::string_view Right;
  bool Strict; ///< Equal values are refused too.
};

/// A setting that is not needed if another one is set.
struct setting_alternative {
  std::string_view Key;
  std::string_view Alternative;
};

/// One fault of a settings file.
struct settings_fault {
  std::string File;
  std::uint32_t Line = 0; ///< 0 if the file has no such line.
  std::string Key;        ///< Empty for a syntax error.
  std::string Found;
  std::string Allowed;

  /// \return `FILE:LINE: KEY: found FOUND; allowed: ALLOWED`.
  [[nodiscard]] auto text() const -> std::string;
};

/// Outcome of reading a file: the settings, or all faults found.
struct settings_reading {
  std::optional<settings> Value; ///< Set only if there are no faults.
  std::vector<settings_fault> Faults;
};

/// \return all rows, in the order of the reference page.
[[nodiscard]] auto settingRows() -> std::span<const setting_row>;

/// \return the rules between settings.
[[nodiscard]] auto settingOrders() -> std::span<const setting_order>;

/// \return the settings that stand in for others.
[[nodiscard]] auto settingAlternatives()
    -> std::span<const setting_alternative>;

/// \return the row called \p Key, or null.
[[nodiscard]] auto findSettingRow(std::string_view Key) -> const setting_row *;

/// \return the name of the row's type as printed.
[[nodiscard]] auto typeName(const setting_row &Row) -> std::string_view;

/// \return what the row accepts, for error messages and the reference.
[[nodiscard]] auto allowedText(const setting_row &Row) -> std::string;

/// Reads settings from the TOML text \p Toml. \p File names it in faults, and
/// relative paths are relative to its folder.
[[nodiscard]] auto readSettings(std::string_view Toml,
                                const std::filesystem::path &File)
    -> settings_reading;

/// Reads a settings file. \return bad_settings with one line per fault.
[[nodiscard]] auto loadSettings(const std::filesystem::path &File)
    -> result<settings>;

/// \return all settings by key, for the state dump. Secrets are not settings;
/// only the path of the secret file is shown.
[[nodiscard]] auto dumpSettings(const settings &Settings)
    -> nlohmann::ordered_json;

/// \return a short list of settings for `--help`.
[[nodiscard]] auto settingsHelp() -> std::string;

/// \return the reference of all settings as Markdown.
[[nodiscard]] auto settingsReference() -> std::string;

} // namespace acacianotch
