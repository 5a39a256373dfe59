/// \file Tests of when a process ends after SIGTERM.
#include "node/shutdown.h"

#include "net_support.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace acacianotch;

// Guards against a process that ends in the same event loop iteration as its
// last work: the outcome of that work is then still in a send queue and is
// lost.
TEST_CASE("a stopping process runs for one more interval after its last work") {
  auto Loop = testLoop();
  int Checks = 0;
  bool Begun = false;
  const graceful_shutdown Shutdown(
      *Loop, std::chrono::seconds(30), [&] { Begun = true; },
      [&] {
        ++Checks;
        return true;
      });
  REQUIRE(std::raise(SIGTERM) == 0);
  Loop->run();
  CHECK(Begun);
  CHECK(Checks >= 2);
}

// Guards against a process that waits for work in progress beyond its deadline.
TEST_CASE("a stopping process with work in progress ends at the deadline") {
  auto Loop = testLoop();
  const graceful_shutdown Shutdown(
      *Loop, std::chrono::milliseconds(300), [] {}, [] { return false; });
  REQUIRE(std::raise(SIGTERM) == 0);
  Loop->run();
  CHECK(true);
}
