/// \file Usage totals against the answers that callers got.
#include "process/support/deployment.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace acacianotch;

namespace {

constexpr int Tokens = 8;

struct answered {
  int Requests = 0;
  int InputTokens = 0;
};

/// Sends chat requests through both entries and counts those answered.
auto ask(deployment &System, int Count, answered &Sum) -> void {
  for (int Round = 0; Round < Count; ++Round) {
    const auto Answer =
        startChat(System.Entries[Round % 2], chatBody("billed"))->finish();
    if (Answer.Status != 200)
      continue;
    ++Sum.Requests;
    Sum.InputTokens += Answer.json()["usage"]["prompt_tokens"].get<int>();
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

auto checkTotals(deployment &System, const answered &Sum) -> void {
  waitSettled(System);
  const auto Total = totals(System);
  INFO(Total.dump());
  REQUIRE(Total["requests"] == Sum.Requests);
  CHECK(Total["account"] == "club");
  CHECK(Total["input_tokens"] == Sum.InputTokens);
  CHECK(Total["output_tokens"] == Sum.Requests * Tokens);
  // Costs of the catalogue: 1 for an input token, 2 for an output token.
  CHECK(Total["cost"] == Sum.InputTokens + Sum.Requests * Tokens * 2);
}

} // namespace

// Guards against requests that are billed twice or not at all when the leader
// dies while usage is handed over.
TEST_CASE("usage equals the answers after the kill of the leader") {
  deployment System({.Replicas = 3, .Desks = 0});
  answered Sum;
  ask(System, 10, Sum);
  System.Controls[System.leader()].Process->kill();
  ask(System, 10, Sum);
  CHECK(Sum.Requests >= 10);
  checkTotals(System, Sum);
}

// Guards against attempts that are billed as requests.
TEST_CASE("usage equals the answers with retries") {
  deployment System({.Desks = 0});
  System.Agents[0].Process->kill();
  answered Sum;
  ask(System, 20, Sum);
  CHECK(Sum.Requests >= 18);
  checkTotals(System, Sum);
}

// Guards against usage that an entry loses when it ends.
TEST_CASE("an entry hands over its usage before it ends") {
  deployment System({.Desks = 0});
  answered Sum;
  ask(System, 10, Sum);
  System.Entries[0].Process->signal(SIGTERM);
  CHECK(System.Entries[0].Process->wait() == 0);
  checkTotals(System, Sum);
}
