/// \file Withdrawal of a version while nodes fail or are partitioned.
#include "process/support/deployment.h"

#include <doctest/doctest.h>

#include <thread>

using namespace acacianotch;

namespace {

/// Documented limit until a withdrawal takes effect: twice the catalogue lease
/// of 2 s.
constexpr auto EffectLimit = std::chrono::seconds(4);

auto withdraw(deployment &System, const std::string &Version) -> void {
  const auto Result = System.runCtl({"withdraw", Version});
  INFO(Result.Output);
  REQUIRE(Result.Exit == 0);
}

} // namespace

// Guards against new requests to a withdrawn version at any entry, and against
// a route that fails although another version is active.
TEST_CASE("a withdrawn version gets no new work") {
  deployment System;
  const auto SendChat = [&](std::size_t Entry, const std::string &Model) {
    return startChat(System.Entries[Entry], chatBody("ask", Model))->finish();
  };
  for (std::size_t Entry = 0; Entry < 2; ++Entry)
    CHECK(SendChat(Entry, "small@1").Status == 200);
  withdraw(System, "small@1");
  std::this_thread::sleep_for(EffectLimit);
  const auto Before = System.runs();
  for (std::size_t Entry = 0; Entry < 2; ++Entry) {
    const auto Refused = SendChat(Entry, "small@1");
    CHECK(Refused.Status == 410);
    CHECK(Refused.error("code") == "version_withdrawn");
    CHECK(Refused.error("verdict") == "not_run");
  }
  CHECK(System.runs() == Before);
  for (std::size_t Entry = 0; Entry < 2; ++Entry) {
    const auto Other = SendChat(Entry, "answers");
    CHECK(Other.Status == 200);
    CHECK(Other.header("x-model-version") == "small@2");
  }
}

// Guards against an entry that is partitioned from control and still serves
// versions that may have been withdrawn.
TEST_CASE("a partitioned entry rejects requests after its lease expires") {
  deployment System({.NodeRelays = true});
  System.Entries[0].Relay->setBlackhole(true);
  withdraw(System, "small@1");
  std::this_thread::sleep_for(EffectLimit);
  const auto Before = System.runs();
  for (const auto *Model : {"small@1", "small@2", "answers"}) {
    const auto Refused =
        startChat(System.Entries[0], chatBody("ask", Model))->finish();
    INFO(Refused.Body);
    CHECK(Refused.Status == 503);
    CHECK(Refused.error("code") == "stale_catalogue");
    CHECK(Refused.error("verdict") == "not_run");
  }
  CHECK(System.runs() == Before);
  System.Entries[0].Relay->setBlackhole(false);
  CHECK(waitUntil([&] {
    return startChat(System.Entries[0], chatBody("ask"))->finish().Status ==
           200;
  }));
}

// Guards against an agent that uses a stale catalogue during a partition.
TEST_CASE("a partitioned agent rejects requests after its lease expires") {
  deployment System({.Engines = 1, .Services = 0, .NodeRelays = true});
  System.Agents[0].Relay->setBlackhole(true);
  std::this_thread::sleep_for(EffectLimit);
  const auto Refused = startChat(System.Entries[0], chatBody("ask"))->finish();
  INFO(Refused.Body);
  CHECK(Refused.Status >= 500);
  CHECK(Refused.error("verdict") == "not_run");
  CHECK(System.runs() == 0);
  CHECK(deployment::dump(System.Agents[0])["fresh"] == false);
}

// Guards against a restarted agent that serves before it has the catalogue.
TEST_CASE("a restarted agent takes no work without the catalogue") {
  deployment System({.Engines = 1, .Services = 0, .NodeRelays = true});
  auto &Agent = System.Agents[0];
  Agent.Process->kill();
  Agent.Relay->setBlackhole(true);
  System.start(Agent);
  REQUIRE(waitUntil([&] { return deployment::dump(Agent).is_object(); }));
  const auto Refused = startChat(System.Entries[0], chatBody("ask"))->finish();
  INFO(Refused.Body);
  CHECK(Refused.Status >= 500);
  CHECK(Refused.error("verdict") == "not_run");
  CHECK(System.runs() == 0);
  Agent.Relay->setBlackhole(false);
  System.waitReady(Agent);
  CHECK(waitUntil([&] {
    return startChat(System.Entries[0], chatBody("ask"))->finish().Status ==
           200;
  }));
}

// Guards against a session that changes its version when its entry fails or
// the version is withdrawn.
TEST_CASE("a session keeps its version until the withdrawal") {
  deployment System({.Services = 0});
  const auto First = startChat(System.Entries[0], chatBody("one"))->finish();
  REQUIRE(First.Status == 200);
  const auto Version = First.header("x-model-version");
  const http_fields Session = {
      {"X-Session-Token", First.header("x-session-token")}};
  System.Entries[0].Process->kill();
  for (int Round = 0; Round < 20; ++Round) {
    const auto Next =
        startChat(System.Entries[1], chatBody("next"), Session)->finish();
    CHECK(Next.Status == 200);
    CHECK(Next.header("x-model-version") == Version);
  }
  withdraw(System, Version);
  std::this_thread::sleep_for(EffectLimit);
  const auto Refused =
      startChat(System.Entries[1], chatBody("late"), Session)->finish();
  INFO(Refused.Body);
  CHECK(Refused.Status == 409);
  CHECK(Refused.error("code") == "session_version_withdrawn");
  CHECK(Refused.error("verdict") == "not_run");
  CHECK(System.runsOf("late") == 0);
}

// Guards against a node that does not catch up after it missed many changes.
TEST_CASE("an agent that missed hundreds of changes catches up") {
  deployment System({.Engines = 1, .Services = 0, .NodeRelays = true});
  auto &Agent = System.Agents[0];
  Agent.Relay->setBlackhole(true);
  std::string Toml;
  for (int Number = 0; Number < 300; ++Number)
    Toml += "[[entries]]\nkind = \"class\"\nname = \"class-" +
            std::to_string(Number) +
            "\"\nowner = \"test\"\n[entries.body]\npriority = 1\n"
            "deadline_ms = 1000\nlong_share = 0.5\nquality_target = 0.5\n"
            "long_work = false\n";
  REQUIRE(System.apply(Toml).Exit == 0);
  withdraw(System, "small@1");
  Agent.Relay->setBlackhole(false);
  CHECK(waitUntil([&] {
    const auto AgentDump = deployment::dump(Agent);
    const auto ControlDump = deployment::dump(System.Controls[0]);
    return AgentDump.is_object() &&
           AgentDump["revision"] == ControlDump["revision"] &&
           AgentDump["fresh"] == true;
  }));
}
