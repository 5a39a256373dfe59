/// \file Tests of structured logging.
#include "core/log_func.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <limits>
#include <sstream>
#include <string>
#include <vector>

using namespace acacianotch;

namespace {

/// Collects log lines for the length of one test and restores the levels.
class log_capture {
public:
  log_capture() {
    setLogSink([this](std::string_view Line) { Lines.emplace_back(Line); });
  }
  log_capture(const log_capture &) = delete;
  auto operator=(const log_capture &) -> log_capture & = delete;
  ~log_capture() {
    setLogSink({});
    setLogLevel(log_level::info);
  }

  std::vector<std::string> Lines;
};

} // namespace

// Guards against lines that a log collector cannot parse, and against fields
// that lose their type.
TEST_CASE("a line is one JSON object with typed fields") {
  log_capture Capture;
  logInfo(log_category::rpc, "connected 100%\n\"quoted\"",
          {{"peer", "10.0.0.1:70"},
           {"bytes", std::numeric_limits<std::uint64_t>::max()},
           {"offset", -3},
           {"share", 0.5},
           {"streamed", true}});
  REQUIRE(Capture.Lines.size() == 1);
  CHECK(Capture.Lines[0].find('\n') == std::string::npos);
  const auto Line = nlohmann::json::parse(Capture.Lines[0]);
  CHECK(Line["level"] == "info");
  CHECK(Line["category"] == "rpc");
  CHECK(Line["message"] == "connected 100%\n\"quoted\"");
  CHECK(Line["fields"]["peer"] == "10.0.0.1:70");
  CHECK(Line["fields"]["bytes"] == std::numeric_limits<std::uint64_t>::max());
  CHECK(Line["fields"]["offset"] == -3);
  CHECK(Line["fields"]["share"] == 0.5);
  CHECK(Line["fields"]["streamed"] == true);
}

// Guards against a secret in a log file.
TEST_CASE("a secret prints as hidden") {
  log_capture Capture;
  const secret Key("sk-very-private");
  logInfo(log_category::entry, "authenticated", {{"key", Key}});
  std::ostringstream Out;
  Out << Key;
  CHECK(Out.str() == "[hidden]");
  REQUIRE(Capture.Lines.size() == 1);
  CHECK(Capture.Lines[0].find("private") == std::string::npos);
  CHECK(Capture.Lines[0].find("[hidden]") != std::string::npos);
}

// Guards against a level change that needs a restart or that leaks into other
// categories.
TEST_CASE("levels change per category while the process runs") {
  log_capture Capture;
  logDebug(log_category::net, "below the level");
  CHECK(Capture.Lines.empty());
  setLogLevel(log_category::net, log_level::debug);
  logDebug(log_category::net, "at the level");
  logDebug(log_category::http, "other category");
  CHECK(Capture.Lines.size() == 1);
  setLogLevel(log_category::net, log_level::off);
  logError(log_category::net, "switched off");
  CHECK(Capture.Lines.size() == 1);
  setLogLevel(log_category::net, log_level::invalid);
  CHECK(logLevel(log_category::net) == log_level::off);
}

// Guards against an exception or a broken line when callers send bytes that
// are not UTF-8.
TEST_CASE("invalid UTF-8 is replaced") {
  log_capture Capture;
  logWarning(log_category::http, "bad path", {{"path", "/\xff\xfe"}});
  REQUIRE(Capture.Lines.size() == 1);
  CHECK(nlohmann::json::accept(Capture.Lines[0]));
}

// Guards against a time stamp that sorts wrongly or is in local time.
TEST_CASE("time is RFC 3339 in UTC with milliseconds") {
  using namespace std::chrono;
  const system_clock::time_point When{milliseconds(1764835200007)};
  CHECK(formatTime(When) == "2025-12-04T08:00:00.007Z");
}

// Guards against a flood of one category's lines that fills the disk or hides
// the warnings.
TEST_CASE("a category's lines are bounded, warnings apart from others") {
  log_capture Capture;
  const auto Before = suppressedLogLines();
  constexpr int Flood = 5000;
  for (int Line = 0; Line < Flood; ++Line)
    logInfo(log_category::admission, "flood", {{"line", Line}});
  CHECK(Capture.Lines.size() < Flood / 4);
  CHECK(suppressedLogLines() > Before);
  logWarning(log_category::admission, "a warning");
  CHECK(Capture.Lines.back().find("a warning") != std::string::npos);
  logInfo(log_category::version, "another category");
  CHECK(Capture.Lines.back().find("another category") != std::string::npos);
}
