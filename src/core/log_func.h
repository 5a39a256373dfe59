/// \file Structured logging: one JSON object per line on standard
/// output.
#pragma once

#include "core/log_type.h"

#include <array>
#include <chrono>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

namespace acacianotch {

using log_fields = std::initializer_list<log_field>;

/// Receives each formatted line, without the line end.
using log_sink = std::function<void(std::string_view Line)>;

namespace detail {
inline constexpr std::size_t LogCategoryCount =
    LogCategoryNames.Rows.size() + 1;

/// Level of each category, by its number.
extern std::array<log_level, LogCategoryCount> LogLevels;

/// Formats and writes one line without checking the level.
auto writeLog(log_category Category, log_level Level, std::string_view Message,
              log_fields Fields) -> void;
} // namespace detail

/// \return whether lines of \p Level are written for \p Category. Guard fields
/// that cost something to compute with this.
[[nodiscard]] inline auto logEnabled(log_category Category, log_level Level)
    -> bool {
  return Level >= detail::LogLevels[static_cast<std::size_t>(Category)];
}

/// Writes one line if \p Level is enabled for \p Category.
inline auto logLine(log_category Category, log_level Level,
                    std::string_view Message, log_fields Fields = {}) -> void {
  if (logEnabled(Category, Level))
    detail::writeLog(Category, Level, Message, Fields);
}

inline auto logTrace(log_category Category, std::string_view Message,
                     log_fields Fields = {}) -> void {
  logLine(Category, log_level::trace, Message, Fields);
}
inline auto logDebug(log_category Category, std::string_view Message,
                     log_fields Fields = {}) -> void {
  logLine(Category, log_level::debug, Message, Fields);
}
inline auto logInfo(log_category Category, std::string_view Message,
                    log_fields Fields = {}) -> void {
  logLine(Category, log_level::info, Message, Fields);
}
inline auto logWarning(log_category Category, std::string_view Message,
                       log_fields Fields = {}) -> void {
  logLine(Category, log_level::warning, Message, Fields);
}
inline auto logError(log_category Category, std::string_view Message,
                     log_fields Fields = {}) -> void {
  logLine(Category, log_level::error, Message, Fields);
}

/// Sets the level of one category; `invalid` arguments are ignored.
auto setLogLevel(log_category Category, log_level Level) -> void;

/// Sets the level of all categories.
auto setLogLevel(log_level Level) -> void;

/// \return the level of \p Category.
[[nodiscard]] auto logLevel(log_category Category) -> log_level;

/// \return lines that were dropped because the reader of standard output did
/// not keep up.
[[nodiscard]] auto droppedLogLines() -> std::uint64_t;

/// \return lines that were left out because their category wrote too many.
[[nodiscard]] auto suppressedLogLines() -> std::uint64_t;

/// Sends lines to \p Sink; an empty sink restores standard output.
auto setLogSink(log_sink Sink) -> void;

/// \return \p When in RFC 3339 form, UTC, with milliseconds.
[[nodiscard]] auto formatTime(std::chrono::system_clock::time_point When)
    -> std::string;

} // namespace acacianotch
