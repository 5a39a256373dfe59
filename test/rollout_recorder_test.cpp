/// \file Versions of sessions during a rollout.
#include "gateway/rollout_recorder.h"

#include "controller/version_test.h"
#include "net_support.h"

#include <doctest/doctest.h>

#include <xxhash.h>

#include <thread>

using namespace acacianotch;

namespace {

constexpr auto SessionTime = std::chrono::milliseconds(100);

auto runningRollout() -> service_rollout {
  service_rollout Rollout;
  Rollout.Service = "s";
  Rollout.To = "v2";
  return Rollout;
}

/// \return a session that would start on the candidate.
auto candidateSession() -> std::string {
  for (int Number = 0;; ++Number)
    if (auto Name = "session-" + std::to_string(Number);
        selectsCanary("v2", Name, 0.05))
      return Name;
}

/// A recorder without a connection to control.
struct fixture {
  std::unique_ptr<event_loop> Loop = testLoop();
  leader_client Control{*Loop, {loopback(1)}, rpc_options()};
  rollout_recorder Recorder{*Loop, Control, "g", SessionTime, 0.08};
};

} // namespace

// Guards against a rollout that moves an active session, also after a request
// that takes longer than the session time.
TEST_CASE("an active session keeps its version") {
  fixture Fixture;
  const auto Session = candidateSession();
  const auto Rollout = runningRollout();
  CHECK(Fixture.Recorder.chooseArm(nullptr, Session, "1") ==
        version_arm::serving);
  CHECK(Fixture.Recorder.chooseArm(&Rollout, Session, "2") ==
        version_arm::serving);
  std::this_thread::sleep_for(2 * SessionTime);
  Fixture.Recorder.recordSessionRequest(Session, version_arm::serving, "");
  CHECK(Fixture.Recorder.chooseArm(&Rollout, Session, "3") ==
        version_arm::serving);
}

// Guards against a session that moves by the version of a former rollout.
TEST_CASE("the version of an earlier rollout does not choose the next one") {
  fixture Fixture;
  const auto Session = candidateSession();
  const auto Former = runningRollout();
  CHECK(Fixture.Recorder.chooseArm(&Former, Session, "1") ==
        version_arm::candidate);
  Fixture.Recorder.recordSessionRequest(Session, version_arm::candidate,
                                        Former.To);
  auto Next = Former;
  Next.To = "v3";
  CHECK(Fixture.Recorder.chooseArm(&Next, Session, "2") ==
        version_arm::serving);
}

// Guards against a rollout without any session on the candidate.
TEST_CASE("some new sessions use the candidate, and all do after the shift") {
  fixture Fixture;
  auto Rollout = runningRollout();
  const auto Session = candidateSession();
  CHECK(Fixture.Recorder.chooseArm(&Rollout, Session, "1") ==
        version_arm::candidate);
  CHECK(Fixture.Recorder.chooseArm(nullptr, "other", "2") ==
        version_arm::serving);
  Rollout.Load.Share = 0;
  CHECK(Fixture.Recorder.chooseArm(&Rollout, "", "4") == version_arm::serving);
  Rollout.Shifted = true;
  CHECK(Fixture.Recorder.chooseArm(&Rollout, "other", "3") ==
        version_arm::candidate);
}

// Guards against a session that moves to the candidate because its next request
// reaches a gateway that does not know the session.
TEST_CASE("a session that another gateway reported stays until the shift") {
  fixture Fixture;
  auto Rollout = runningRollout();
  const auto Session = candidateSession();
  Rollout.Held = {XXH3_64bits(Session.data(), Session.size())};
  CHECK(Fixture.Recorder.chooseArm(&Rollout, Session, "1") ==
        version_arm::serving);
  Rollout.Shifted = true;
  CHECK(Fixture.Recorder.chooseArm(&Rollout, Session, "2") ==
        version_arm::candidate);
}

// Guards against work on the candidate before the active sessions are reported.
TEST_CASE("while sessions are collected the candidate gets no work") {
  fixture Fixture;
  auto Rollout = runningRollout();
  Rollout.Collecting = true;
  CHECK(Fixture.Recorder.chooseArm(&Rollout, candidateSession(), "1") ==
        version_arm::serving);
}

// Guards against a slow version that is judged by its fastest answers only.
TEST_CASE("an attempt that waits for long is measured before it is answered") {
  fixture Fixture;
  const auto Rollout = runningRollout();
  const auto Wait = [&](version_arm Arm) {
    return Fixture.Recorder.startWaiting(Rollout,
                                         {Arm, "r", steady_clock::now()});
  };
  Fixture.Recorder.recordEnd(Rollout, {version_arm::serving, "r", {}}, false);
  for (int Answer = 0; Answer < 10; ++Answer)
    Fixture.Recorder.recordResponse(Wait(version_arm::serving));
  const auto Candidates = [&] {
    std::uint64_t Timed = 0;
    for (const auto &Row : Fixture.Recorder.unreported("s"))
      if (Row.Arm == version_arm::candidate)
        Timed += Row.Timed;
    return Timed;
  };
  Fixture.Recorder.stopWaiting(Wait(version_arm::candidate));
  const auto BeforeWait = Candidates();
  const auto Slow = Wait(version_arm::candidate);
  std::this_thread::sleep_for(SessionTime);
  Fixture.Recorder.stopWaiting(Slow);
  CHECK(Candidates() == BeforeWait + 1);
  Fixture.Recorder.recordResponse(Slow);
  CHECK(Candidates() == BeforeWait + 1);
}
