/// \file Sessions and their versions while a rollout runs.
#include "gateway/rollout_recorder.h"

#include "controller/version_test.h"
#include "net_support.h"

#include <doctest/doctest.h>

#include <xxhash.h>

#include <thread>

using namespace acacianotch;

namespace {

constexpr auto SessionTime = std::chrono::milliseconds(100);

auto running() -> service_rollout {
  service_rollout Rollout;
  Rollout.Service = "s";
  Rollout.To = "v2";
  return Rollout;
}

/// \return a session that would start on the new version.
auto canarySession() -> std::string {
  for (int Number = 0;; ++Number)
    if (auto Name = "session-" + std::to_string(Number);
        selectsCanary("v2", Name, 0.05))
      return Name;
}

/// A recorder without control.
struct fixture {
  std::unique_ptr<event_loop> Loop = testLoop();
  leader_client Control{*Loop, {loopback(1)}, rpc_options()};
  rollout_recorder Recorder{*Loop, Control, "g", SessionTime, 0.08};
};

} // namespace

// Guards against a session that a rollout moves while it is under way, also
// after a request that lasts longer than the pause between two requests.
TEST_CASE("a session under way keeps its version") {
  fixture Fixture;
  const auto Session = canarySession();
  const auto Rollout = running();
  CHECK(Fixture.Recorder.arm(nullptr, Session, "1") == version_arm::serving);
  CHECK(Fixture.Recorder.arm(&Rollout, Session, "2") == version_arm::serving);
  std::this_thread::sleep_for(2 * SessionTime);
  Fixture.Recorder.ended(Session, version_arm::serving);
  CHECK(Fixture.Recorder.arm(&Rollout, Session, "3") == version_arm::serving);
}

// Guards against a rollout that no session takes part in.
TEST_CASE("new sessions take part in a rollout and all do after the shift") {
  fixture Fixture;
  auto Rollout = running();
  const auto Session = canarySession();
  CHECK(Fixture.Recorder.arm(&Rollout, Session, "1") == version_arm::candidate);
  CHECK(Fixture.Recorder.arm(nullptr, "other", "2") == version_arm::serving);
  Rollout.Shifted = true;
  CHECK(Fixture.Recorder.arm(&Rollout, "other", "3") == version_arm::candidate);
}

// Guards against a session that moves to the new version because a gateway that
// has not seen it before gets its next request.
TEST_CASE("a session that another gateway reported stays until the shift") {
  fixture Fixture;
  auto Rollout = running();
  const auto Session = canarySession();
  Rollout.Held = {XXH3_64bits(Session.data(), Session.size())};
  CHECK(Fixture.Recorder.arm(&Rollout, Session, "1") == version_arm::serving);
  Rollout.Shifted = true;
  CHECK(Fixture.Recorder.arm(&Rollout, Session, "2") == version_arm::candidate);
}

// Guards against work on the new version before the sessions are known.
TEST_CASE("while sessions are collected the new version gets no work") {
  fixture Fixture;
  auto Rollout = running();
  Rollout.Collecting = true;
  CHECK(Fixture.Recorder.arm(&Rollout, canarySession(), "1") ==
        version_arm::serving);
}
