/// \file Graceful shutdown, drain and the sudden end of an agent.
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

// Guards against a shutdown that cuts a stream or never ends.
TEST_CASE("SIGTERM of an entry cuts no stream") {
  deployment System({.Desks = 0});
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

// Guards against an agent that ends while its stream runs, or that takes new
// work while it ends.
TEST_CASE("SIGTERM of an agent cuts no stream") {
  deployment System({.Desks = 0});
  const auto Call = startChat(System.Entries[0], longStream("long"));
  REQUIRE(Call->readUntil("\"t3 \""));
  const auto Runs = System.stats(0)["by_text"].value("long", 0) == 1 ? 0U : 1U;
  System.Agents[Runs].Process->signal(SIGTERM);
  REQUIRE(waitUntil([&] { return !deployment::ready(System.Agents[Runs]); }));
  for (int Round = 0; Round < 10; ++Round) {
    const auto Answer =
        startChat(System.Entries[1], chatBody("next"))->finish();
    INFO(Answer.Body);
    CHECK(Answer.Status == 200);
  }
  CHECK(System.stats(Runs)["by_text"].value("next", 0) == 0);
  checkWhole(Call->finish());
  CHECK(System.Agents[Runs].Process->wait() == 0);
}

// Guards against new work at a backend server that is leaving.
TEST_CASE("a drained backend server gets no new work") {
  deployment System({.Desks = 0});
  const auto Call = startChat(System.Entries[0], longStream("long"));
  REQUIRE(Call->readUntil("\"t3 \""));
  const auto Runs = System.stats(0)["by_text"].value("long", 0) == 1 ? 0U : 1U;
  const auto Name = "backend-" + std::to_string(Runs + 1);
  REQUIRE(System.client({"drain", Name}).Exit == 0);
  const auto Revision = deployment::dump(System.Controls[0])["revision"];
  REQUIRE(waitUntil([&] {
    return deployment::dump(System.Agents[Runs])["revision"] == Revision;
  }));
  const auto Before = System.stats(Runs)["runs"];
  for (int Round = 0; Round < 20; ++Round)
    CHECK(startChat(System.Entries[Round % 2], chatBody("new"))
              ->finish()
              .Status == 200);
  CHECK(System.stats(Runs)["runs"] == Before);
  checkWhole(Call->finish());
}

// Guards against requests that fail while another agent could run them.
TEST_CASE("SIGKILL of an agent leaves the others serving") {
  deployment System({.Desks = 0});
  System.Agents[0].Process->kill();
  for (int Round = 0; Round < 20; ++Round) {
    const auto Answer =
        startChat(System.Entries[Round % 2], chatBody("on"))->finish();
    INFO(Answer.Body);
    CHECK(Answer.Status == 200);
  }
  CHECK(System.runsOf("on") == 20);
}
