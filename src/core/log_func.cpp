/// \file Logging through easylogging++.
#include "core/log_func.h"

#include <easylogging++.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <climits>
#include <cstdio>
#include <ctime>
#include <poll.h>
#include <unistd.h>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace acacianotch {

namespace {

using json = nlohmann::ordered_json;

constexpr auto DefaultLevel = log_level::info;

constexpr auto defaultLevels() {
  std::array<log_level, detail::LogCategoryCount> Levels{};
  Levels.fill(DefaultLevel);
  return Levels;
}

/// Lines a second of one category below warnings, and the same again of
/// warnings and errors: a full second costs about a hundredth of a core.
constexpr double LinesPerSecond = 200;
/// Lines that a category may write at once after a quiet time.
constexpr double LineBurst = 400;

/// Bounds the lines of one category and severity.
struct line_budget {
  double Lines = LineBurst;
  std::chrono::steady_clock::time_point RefilledAt{};
  std::uint64_t Suppressed = 0; ///< Not told yet.

  /// \return whether a line may be written, and charges it.
  auto tryTake(std::chrono::steady_clock::time_point Now) -> bool {
    const auto Passed = std::chrono::duration<double>(Now - RefilledAt).count();
    Lines = std::min(LineBurst, Lines + LinesPerSecond * Passed);
    RefilledAt = Now;
    if (Lines < 1) {
      ++Suppressed;
      return false;
    }
    Lines -= 1;
    return true;
  }
};

/// State of the logger; one thread writes logs.
struct log_state {
  log_sink Sink;
  const log_fields *Fields = nullptr; ///< Fields of the line being written.
  log_level Level = log_level::invalid;
  std::uint64_t Dropped = 0;    ///< Lines that the reader was too slow for.
  std::uint64_t Suppressed = 0; ///< Lines beyond their category's budget.
  std::array<line_budget, detail::LogCategoryCount> Ordinary;
  std::array<line_budget, detail::LogCategoryCount> Severe;
};

auto state() -> log_state & {
  static log_state State;
  return State;
}

/// \return whether a line can be written without waiting for the reader.
auto outputReady() -> bool {
  pollfd Poll{STDOUT_FILENO, POLLOUT, 0};
  return poll(&Poll, 1, 0) == 1 && (Poll.revents & POLLOUT) != 0;
}

// A reader that does not keep up must not hold up the process. A pipe that is
// ready takes PIPE_BUF bytes at once, so longer lines are cut; one call per
// line keeps lines of several processes apart.
auto writeOutput(std::string_view Line) -> void {
  auto &State = state();
  if (!outputReady()) {
    ++State.Dropped;
    return;
  }
  auto Text = std::string(Line.substr(0, PIPE_BUF - 1));
  Text += '\n';
  if (write(STDOUT_FILENO, Text.data(), Text.size()) < 0)
    ++State.Dropped;
}

auto fieldsJson(log_fields Fields) -> json {
  auto Object = json::object();
  for (const auto &Field : Fields) {
    auto Value = std::visit([](auto Item) { return json(Item); }, Field.Value);
    Object[std::string(Field.Key)] = std::move(Value);
  }
  return Object;
}

/// Formats the line being written. Invalid UTF-8 is replaced, because callers'
/// data may reach a log line.
auto formatLine(std::string_view Category, std::string_view Message)
    -> std::string {
  const auto &State = state();
  json Line;
  Line["time"] = formatTime(std::chrono::system_clock::now());
  Line["level"] = std::string(LogLevelNames.name(State.Level));
  Line["category"] = std::string(Category);
  Line["message"] = std::string(Message);
  if (State.Fields != nullptr && State.Fields->size() != 0)
    Line["fields"] = fieldsJson(*State.Fields);
  return Line.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Writes each line that easylogging++ dispatches.
class json_callback final : public el::LogDispatchCallback {
protected:
  auto handle(const el::LogDispatchData *Data) -> void override {
    const auto *Message = Data->logMessage();
    const auto Line = formatLine(Message->logger()->id(), Message->message());
    if (state().Sink)
      state().Sink(Line);
    else
      writeOutput(Line);
  }
};

using logger_table = std::array<el::Logger *, detail::LogCategoryCount>;

auto makeLoggers() -> logger_table {
  // The default callback writes plain text to stdout.
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<json_callback>("json");
  logger_table Loggers{};
  for (const auto &Row : LogCategoryNames.Rows)
    Loggers[static_cast<std::size_t>(Row.Value)] =
        el::Loggers::getLogger(std::string(Row.Name));
  return Loggers;
}

auto logger(log_category Category) -> el::Logger & {
  static const auto Loggers = makeLoggers();
  return *Loggers[static_cast<std::size_t>(Category)];
}

auto dispatch(el::Logger &Logger, log_level Level, const std::string &Message)
    -> void {
  switch (Level) {
  case log_level::trace:
    return Logger.trace(Message);
  case log_level::debug:
    return Logger.debug(Message);
  case log_level::warning:
    return Logger.warn(Message);
  case log_level::error:
    return Logger.error(Message);
  case log_level::invalid:
  case log_level::info:
  case log_level::off:
    return Logger.info(Message);
  }
}

} // namespace

namespace {

auto write(log_category Category, log_level Level, std::string_view Message,
           log_fields Fields) -> void {
  auto &State = state();
  State.Fields = &Fields;
  State.Level = Level;
  dispatch(logger(Category), Level, std::string(Message));
  State.Fields = nullptr;
}

/// \return whether the line fits into its category's budget. Severe lines have
/// one of their own, so that a flood of others does not hide them.
auto admitLine(log_category Category, log_level Level) -> bool {
  auto &State = state();
  auto &Budgets = Level >= log_level::warning ? State.Severe : State.Ordinary;
  auto &Budget = Budgets[static_cast<std::size_t>(Category)];
  if (!Budget.tryTake(std::chrono::steady_clock::now())) {
    ++State.Suppressed;
    return false;
  }
  if (const auto Count = std::exchange(Budget.Suppressed, 0); Count != 0)
    write(Category, Level, "log lines were suppressed", {{"lines", Count}});
  return true;
}

} // namespace

namespace detail {

std::array<log_level, LogCategoryCount> LogLevels = defaultLevels();

auto writeLog(log_category Category, log_level Level, std::string_view Message,
              log_fields Fields) -> void {
  assert(Category != log_category::invalid);
  assert(Level != log_level::invalid && Level != log_level::off);
  if (admitLine(Category, Level))
    write(Category, Level, Message, Fields);
}

} // namespace detail

auto setLogLevel(log_category Category, log_level Level) -> void {
  if (Category == log_category::invalid || Level == log_level::invalid)
    return;
  detail::LogLevels[static_cast<std::size_t>(Category)] = Level;
}

auto setLogLevel(log_level Level) -> void {
  for (const auto &Row : LogCategoryNames.Rows)
    setLogLevel(Row.Value, Level);
}

auto logLevel(log_category Category) -> log_level {
  return detail::LogLevels[static_cast<std::size_t>(Category)];
}

auto droppedLogLines() -> std::uint64_t { return state().Dropped; }

auto suppressedLogLines() -> std::uint64_t { return state().Suppressed; }

auto setLogSink(log_sink Sink) -> void { state().Sink = std::move(Sink); }

auto formatTime(std::chrono::system_clock::time_point When) -> std::string {
  using namespace std::chrono;
  const auto Millis =
      duration_cast<milliseconds>(When.time_since_epoch()).count();
  const auto Seconds = static_cast<std::time_t>(Millis / 1000);
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::array<char, 32> Text{};
  auto Size = std::strftime(Text.data(), Text.size(), "%FT%T", &Parts);
  Size += static_cast<std::size_t>(
      std::snprintf(Text.data() + Size, Text.size() - Size, ".%03dZ",
                    static_cast<int>(Millis % 1000)));
  return {Text.data(), Size};
}

} // namespace acacianotch
