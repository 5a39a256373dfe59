/// \file Return of backend servers after their failure.
#include "process/support/deployment.h"

#include <doctest/doctest.h>

using namespace acacianotch;

namespace {

auto ask(deployment &System, const std::string &Text) -> int {
  return startChat(System.Entries[0], chatBody(Text))->finish().Status;
}

} // namespace

// Guards against an ejected backend server that never gets work again: without
// probes the pool of a single backend server stays empty for ever.
TEST_CASE("a restarted agent serves again") {
  deployment System({.Entries = 1, .Engines = 1, .Desks = 0});
  REQUIRE(ask(System, "before") == 200);
  System.Agents[0].Process->kill();
  REQUIRE(waitUntil([&] { return ask(System, "during") == 503; }));
  System.start(System.Agents[0]);
  System.waitReady(System.Agents[0]);
  CHECK(waitUntil([&] { return ask(System, "after") == 200; }));
}

// Guards against an agent that ends with its backend server, and against a
// restarted backend server that gets no work.
TEST_CASE("a restarted backend server serves again") {
  deployment System({.Entries = 1, .Engines = 1, .Desks = 0});
  REQUIRE(ask(System, "before") == 200);
  System.Backends[0].Process->kill();
  REQUIRE(waitUntil([&] { return ask(System, "during") >= 500; }));
  System.start(System.Backends[0]);
  CHECK(waitUntil([&] { return ask(System, "after") == 200; }));
}
