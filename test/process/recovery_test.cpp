/// \file Recovery of backend servers after a failure.
#include "process/support/deployment.h"

#include <doctest/doctest.h>

using namespace acacianotch;

namespace {

auto chatStatus(deployment &System, const std::string &Text) -> int {
  return startChat(System.Entries[0], chatBody(Text))->finish().Status;
}

} // namespace

// Guards against an ejected backend server that never gets requests again:
// without probes, a pool with a single backend server stays empty.
TEST_CASE("a restarted agent serves again") {
  deployment System({.Entries = 1, .Engines = 1, .Services = 0});
  REQUIRE(chatStatus(System, "before") == 200);
  System.Agents[0].Process->kill();
  REQUIRE(waitUntil([&] { return chatStatus(System, "during") == 503; }));
  System.start(System.Agents[0]);
  System.waitReady(System.Agents[0]);
  CHECK(waitUntil([&] { return chatStatus(System, "after") == 200; }));
}

// Guards against an agent that exits when its backend server fails, and against
// a restarted backend server that gets no requests.
TEST_CASE("a restarted backend server serves again") {
  deployment System({.Entries = 1, .Engines = 1, .Services = 0});
  REQUIRE(chatStatus(System, "before") == 200);
  System.Backends[0].Process->kill();
  REQUIRE(waitUntil([&] { return chatStatus(System, "during") >= 500; }));
  System.start(System.Backends[0]);
  CHECK(waitUntil([&] { return chatStatus(System, "after") == 200; }));
}
