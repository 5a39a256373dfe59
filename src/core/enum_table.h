/// \file Name tables for enumerations.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace acacianotch {

/// One row of a name table.
template <typename enum_type> struct enum_row {
  enum_type Value;       ///< Enumerator.
  std::string_view Name; ///< Text in settings, logs and messages.
};

/// Maps the values of an enumeration to names and back.
template <typename enum_type, std::size_t Size> struct enum_table {
  std::array<enum_row<enum_type>, Size> Rows; ///< One row per enumerator.

  /// \return the name of \p Value, or "?" if the table has no row for it.
  [[nodiscard]] constexpr auto name(enum_type Value) const -> std::string_view {
    for (const auto &Row : Rows)
      if (Row.Value == Value)
        return Row.Name;
    return "?";
  }

  /// \return the value called \p Name, if any.
  [[nodiscard]] constexpr auto find(std::string_view Name) const
      -> std::optional<enum_type> {
    for (const auto &Row : Rows)
      if (Row.Name == Name)
        return Row.Value;
    return std::nullopt;
  }
};

} // namespace acacianotch
