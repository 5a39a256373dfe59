/// \file Log categories, levels and typed fields.
#pragma once

#include "core/enum_table.h"
#include "core/secret_type.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace acacianotch {

/// Part of the system that a log line is about.
enum class log_category : std::uint8_t {
  invalid,
  net,
  rpc,
  http,
  entry,
  agent,
  control,
  replication,
  storage,
  catalogue,
  placement,
  admission,
  version,
  settings,
};

/// Names of log categories; the invalid value is not in the table.
inline constexpr enum_table<log_category, 13> LogCategoryNames{{{
    {log_category::net, "net"},
    {log_category::rpc, "rpc"},
    {log_category::http, "http"},
    {log_category::entry, "entry"},
    {log_category::agent, "agent"},
    {log_category::control, "control"},
    {log_category::replication, "replication"},
    {log_category::storage, "storage"},
    {log_category::catalogue, "catalogue"},
    {log_category::placement, "placement"},
    {log_category::admission, "admission"},
    {log_category::version, "version"},
    {log_category::settings, "settings"},
}}};

/// Importance of a log line, in ascending order.
enum class log_level : std::uint8_t {
  invalid,
  trace,
  debug,
  info,
  warning,
  error,
  off, ///< As a category's level: no lines at all.
};

/// Names of log levels; the invalid value is not in the table.
inline constexpr enum_table<log_level, 6> LogLevelNames{{{
    {log_level::trace, "trace"},
    {log_level::debug, "debug"},
    {log_level::info, "info"},
    {log_level::warning, "warning"},
    {log_level::error, "error"},
    {log_level::off, "off"},
}}};

/// A named value of a log line. Text is borrowed, so a field lives only as
/// long as the full expression that passes it.
struct log_field {
  using content =
      std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool>;

  std::string_view Key; ///< Name of the field.
  content Value;        ///< Its value.

  log_field(std::string_view Name, const char *Text)
      : Key(Name), Value(std::string_view(Text)) {}
  log_field(std::string_view Name, std::string_view Text)
      : Key(Name), Value(Text) {}
  log_field(std::string_view Name, const std::string &Text)
      : Key(Name), Value(std::string_view(Text)) {}
  log_field(std::string_view Name, const secret & /*Hidden*/)
      : Key(Name), Value(HiddenText) {}
  log_field(std::string_view Name, std::same_as<bool> auto Flag)
      : Key(Name), Value(Flag) {}
  log_field(std::string_view Name, std::floating_point auto Number)
      : Key(Name), Value(static_cast<double>(Number)) {}
  template <std::integral type>
  requires(!std::same_as<type, bool>)
      log_field(std::string_view Name, type Number)
      : Key(Name), Value(integer(Number)) {}

private:
  template <std::integral type>
  [[nodiscard]] static auto integer(type Number) -> content {
    if constexpr (std::unsigned_integral<type>)
      return std::uint64_t{Number};
    else
      return std::int64_t{Number};
  }
};

} // namespace acacianotch
