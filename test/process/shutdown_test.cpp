/// \file Graceful shutdown, drain and crash of an agent.
#include "process/support/deployment.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace acacianotch;

namespace {

auto longStream(const std::string &Text) -> json {
  auto Body = chatBody(Text);
  Body["stream"] = true;
  Body["max_tokens"] = 1500;
  return Body;
}

auto checkWhole(const http_answer &Answer) -> void {
  CHECK(Answer.Status == 200);
  CHECK(Answer.Complete);
  CHECK(Answer.Body.find("\"t1499 \"") != std::string::npos);
  CHECK(Answer.Body.find("data: [DONE]") != std::string::npos);
}

} // namespace

// Guards against a shutdown that interrupts a stream or never completes.
TEST_CASE("SIGTERM of an entry interrupts no stream") {
  deployment System({.Services = 0});
  auto &Entry = System.Entries[0];
  const auto Call = startChat(Entry, longStream("long"));
  REQUIRE(Call->readUntil("\"t3 \""));
  Entry.Process->signal(SIGTERM);
  CHECK(waitUntil([&] { return !deployment::ready(Entry); }));
  checkWhole(Call->finish());
  CHECK(Entry.Process->wait() == 0);
  const auto Other = startChat(System.Entries[1], chatBody("other"))->finish();
  CHECK(Other.Status == 200);
}

// Guards against an agent that exits during a stream, or that accepts new
// requests during its shutdown.
TEST_CASE("SIGTERM of an agent interrupts no stream") {
  deployment System({.Services = 0});
  const auto Call = startChat(System.Entries[0], longStream("long"));
  REQUIRE(Call->readUntil("\"t3 \""));
  const auto Serving =
      System.stats(0)["by_text"].value("long", 0) == 1 ? 0U : 1U;
  System.Agents[Serving].Process->signal(SIGTERM);
  REQUIRE(
      waitUntil([&] { return !deployment::ready(System.Agents[Serving]); }));
  for (int Round = 0; Round < 10; ++Round) {
    const auto Answer =
        startChat(System.Entries[1], chatBody("next"))->finish();
    INFO(Answer.Body);
    CHECK(Answer.Status == 200);
  }
  CHECK(System.stats(Serving)["by_text"].value("next", 0) == 0);
  checkWhole(Call->finish());
  CHECK(System.Agents[Serving].Process->wait() == 0);
}

// Guards against new requests at a backend server that drains.
TEST_CASE("a drained backend server gets no new work") {
  deployment System({.Services = 0});
  const auto Call = startChat(System.Entries[0], longStream("long"));
  REQUIRE(Call->readUntil("\"t3 \""));
  const auto Serving =
      System.stats(0)["by_text"].value("long", 0) == 1 ? 0U : 1U;
  const auto Name = "backend-" + std::to_string(Serving + 1);
  REQUIRE(System.runCtl({"drain", Name}).Exit == 0);
  const auto Revision = deployment::dump(System.Controls[0])["revision"];
  REQUIRE(waitUntil([&] {
    return deployment::dump(System.Agents[Serving])["revision"] == Revision;
  }));
  const auto Before = System.stats(Serving)["runs"];
  for (int Round = 0; Round < 20; ++Round)
    CHECK(startChat(System.Entries[Round % 2], chatBody("new"))
              ->finish()
              .Status == 200);
  CHECK(System.stats(Serving)["runs"] == Before);
  checkWhole(Call->finish());
}

// Guards against requests that fail although another agent can run them.
TEST_CASE("SIGKILL of an agent leaves the others serving") {
  deployment System({.Services = 0});
  System.Agents[0].Process->kill();
  for (int Round = 0; Round < 20; ++Round) {
    const auto Answer =
        startChat(System.Entries[Round % 2], chatBody("on"))->finish();
    INFO(Answer.Body);
    CHECK(Answer.Status == 200);
  }
  CHECK(System.runsOf("on") == 20);
}
