/// \file Checks that usage totals match the answers that callers received.
#include "process/support/deployment.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace acacianotch;

namespace {

constexpr int Tokens = 8;

struct answered_totals {
  int Requests = 0;
  int InputTokens = 0;
};

/// Sends \p Count chat requests through both entries and adds the successful
/// ones to \p Answered.
auto sendChats(deployment &System, int Count, answered_totals &Answered)
    -> void {
  for (int Round = 0; Round < Count; ++Round) {
    const auto Answer =
        startChat(System.Entries[Round % 2], chatBody("billed"))->finish();
    if (Answer.Status != 200)
      continue;
    ++Answered.Requests;
    Answered.InputTokens += Answer.json()["usage"]["prompt_tokens"].get<int>();
  }
}

auto totals(deployment &System) -> json {
  const auto Dump = deployment::dump(System.Controls[System.leader()]);
  const auto &Usage = Dump["usage"];
  return Usage.empty() ? json{{"requests", 0}} : Usage[0];
}

auto waitSettled(deployment &System) -> void {
  CHECK(waitUntil([&] {
    for (auto &Entry : System.Entries)
      if (Entry.Process->running() &&
          deployment::dump(Entry)["unsettled_usage"] != 0)
        return false;
    return true;
  }));
}

auto checkTotals(deployment &System, const answered_totals &Answered) -> void {
  waitSettled(System);
  const auto Total = totals(System);
  INFO(Total.dump());
  REQUIRE(Total["requests"] == Answered.Requests);
  CHECK(Total["account"] == "club");
  CHECK(Total["input_tokens"] == Answered.InputTokens);
  CHECK(Total["output_tokens"] == Answered.Requests * Tokens);
  // Prices in the catalogue: 1 per input token, 2 per output token.
  CHECK(Total["cost"] == Answered.InputTokens + Answered.Requests * Tokens * 2);
}

} // namespace

// Guards against requests that are billed twice or not at all when the leader
// fails while entries report usage.
TEST_CASE("usage equals the answers after the kill of the leader") {
  deployment System({.Replicas = 3, .Services = 0});
  answered_totals Answered;
  sendChats(System, 10, Answered);
  System.Controls[System.leader()].Process->kill();
  sendChats(System, 10, Answered);
  CHECK(Answered.Requests >= 10);
  checkTotals(System, Answered);
}

// Guards against failed attempts that are billed as requests.
TEST_CASE("usage equals the answers with retries") {
  deployment System({.Services = 0});
  System.Agents[0].Process->kill();
  answered_totals Answered;
  sendChats(System, 20, Answered);
  CHECK(Answered.Requests >= 18);
  checkTotals(System, Answered);
}

// Guards against usage that is lost when an entry shuts down.
TEST_CASE("an entry hands over its usage before it ends") {
  deployment System({.Services = 0});
  answered_totals Answered;
  sendChats(System, 10, Answered);
  System.Entries[0].Process->signal(SIGTERM);
  CHECK(System.Entries[0].Process->wait() == 0);
  checkTotals(System, Answered);
}
