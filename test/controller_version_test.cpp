/// \file Tests of evidence merging, canary selection and the version test.
#include "controller/version_test.h"

#include <doctest/doctest.h>

using namespace acacianotch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

auto at(int Seconds) -> time_point { return time_point{seconds(Seconds)}; }

auto settings() -> version_test_settings {
  version_test_settings Settings;
  Settings.Shares = {0.1, 0.5};
  Settings.Baseline = 500;
  Settings.StageRequests = 50;
  Settings.StageTime = seconds(10);
  return Settings;
}

/// Records \p Count requests, of which the first \p Errors fail. The others get
/// a rating, of which 9 in 10 pass.
auto feed(evidence_recorder &Recorder, std::string_view Class, test_arm Arm,
          int Count, int Errors, duration FirstToken = milliseconds(200))
    -> void {
  for (int Index = 0; Index < Count; ++Index) {
    const bool Failed = Index < Errors;
    Recorder.recordRequest(Class, Arm, Failed, FirstToken);
    if (!Failed)
      Recorder.recordRating(Class, Arm, Index % 10 != 0);
  }
}

struct fixture {
  evidence_recorder Recorder{node_id("entry"), 1};
  evidence_aggregator Aggregator;
  version_test Test = version_test::create(settings()).value();

  fixture() {
    feed(Recorder, "chat", test_arm::predecessor, 2000, 20);
    feed(Recorder, "tag", test_arm::predecessor, 2000, 20);
  }

  auto evaluate(int Seconds) -> version_decision {
    REQUIRE(Aggregator.merge(Recorder.report()).ok());
    return Test.evaluate(Aggregator.totals(), at(Seconds));
  }
};

} // namespace

// Guards against evidence that counts twice because a report is duplicated,
// arrives after a later one, or is sent again after a restart of the entry.
TEST_CASE("late, duplicate and reordered reports count once") {
  evidence_recorder Recorder(node_id("entry"), 1);
  feed(Recorder, "chat", test_arm::canary, 10, 1);
  const auto First = Recorder.report();
  feed(Recorder, "chat", test_arm::canary, 5, 0);
  const auto Second = Recorder.report();
  evidence_aggregator Aggregator;
  CHECK(Aggregator.merge(Second).value());
  CHECK_FALSE(Aggregator.merge(First).value());
  CHECK_FALSE(Aggregator.merge(Second).value());
  CHECK(Aggregator.totals().at("chat").Canary.Requests == 15);
  evidence_recorder Restarted(node_id("entry"), 2);
  feed(Restarted, "chat", test_arm::canary, 3, 0);
  CHECK(Aggregator.merge(Restarted.report()).value());
  CHECK_FALSE(Aggregator.merge(Second).value());
  CHECK(Aggregator.totals().at("chat").Canary.Requests == 18);
  CHECK(Aggregator.totals().at("chat").Canary.Errors == 1);
}

// Guards against counters that underflow when a source reports smaller values
// than before, and against a rejected report that changes the totals.
TEST_CASE("a report with a smaller counter is rejected") {
  evidence_recorder Recorder(node_id("entry"), 1);
  feed(Recorder, "chat", test_arm::canary, 10, 1);
  evidence_aggregator Aggregator;
  auto Report = Recorder.report();
  CHECK(Aggregator.merge(Report).ok());
  Report.Sequence = 9;
  Report.Counters["chat"].Canary.Requests = 4;
  CHECK_FALSE(Aggregator.merge(Report).ok());
  Report.Counters.clear();
  CHECK_FALSE(Aggregator.merge(Report).ok());
  CHECK(Aggregator.totals().at("chat").Canary.Requests == 10);
}

// Guards against sessions that leave the canary when the share grows, and
// against a selection that does not match the share.
TEST_CASE("canary selection is stable and grows with the share") {
  int Selected = 0;
  for (int Index = 0; Index < 10'000; ++Index) {
    const auto Key = "session" + std::to_string(Index);
    const bool Small = selectsCanary("r1", Key, 0.05);
    CHECK(Small == selectsCanary("r1", Key, 0.05));
    CHECK((!Small || selectsCanary("r1", Key, 0.25)));
    Selected += Small ? 1 : 0;
  }
  CHECK(Selected > 400);
  CHECK(Selected < 600);
  CHECK_FALSE(selectsCanary("r1", "session", 0));
  CHECK(selectsCanary("r1", "session", 1));
}

// Guards against a canary that gets requests before there is evidence on its
// predecessor to compare it with.
TEST_CASE("no canary runs before the predecessor's baseline is complete") {
  auto Test = version_test::create(settings()).value();
  CHECK(Test.share() == 0);
  CHECK(Test.evaluate({}, at(1)).Verdict == version_verdict::keep);
  CHECK(Test.share() == 0);
}

// Guards against a good version that never advances, and against advancing
// before the minimum time and evidence of a stage.
TEST_CASE("an equal version advances to a full rollout") {
  fixture Fixture;
  CHECK(Fixture.evaluate(0).Verdict == version_verdict::keep);
  CHECK(Fixture.Test.share() == 0.1);
  feed(Fixture.Recorder, "chat", test_arm::canary, 200, 2);
  CHECK(Fixture.evaluate(5).Verdict == version_verdict::keep);
  CHECK(Fixture.evaluate(10).Verdict == version_verdict::advance);
  CHECK(Fixture.Test.share() == 0.5);
  CHECK(Fixture.evaluate(30).Verdict == version_verdict::keep);
  feed(Fixture.Recorder, "tag", test_arm::canary, 200, 2);
  CHECK(Fixture.evaluate(31).Verdict == version_verdict::advance);
  CHECK(Fixture.Test.share() == 1);
}

// Guards against a rollout that continues with a version that has errors, is
// slow or has poor ratings, over all classes or in one; and against a stop that
// states no reason.
TEST_CASE("a bad version is stopped with a reason") {
  fixture Fixture;
  CHECK(Fixture.evaluate(0).Verdict == version_verdict::keep);
  std::string Expected;
  SUBCASE("errors") {
    feed(Fixture.Recorder, "chat", test_arm::canary, 15, 8);
    Expected = "errors";
  }
  SUBCASE("slow") {
    feed(Fixture.Recorder, "chat", test_arm::canary, 15, 0, milliseconds(500));
    Expected = "time to first token";
  }
  SUBCASE("ratings") {
    for (int Index = 0; Index < 15; ++Index)
      Fixture.Recorder.recordRating("chat", test_arm::canary, false);
    Expected = "ratings";
  }
  SUBCASE("one class") {
    feed(Fixture.Recorder, "chat", test_arm::canary, 100, 1);
    feed(Fixture.Recorder, "tag", test_arm::canary, 15, 12);
    Expected = "errors in class tag";
  }
  const auto Decision = Fixture.evaluate(1);
  CHECK(Decision.Verdict == version_verdict::stop);
  CHECK(Decision.Reason.find(Expected) != std::string::npos);
  CHECK(Fixture.Test.share() == 0);
  CHECK(Fixture.evaluate(2).Verdict == version_verdict::stop);
}

// Guards against settings with which the test stops every version or none.
TEST_CASE("invalid version test settings are rejected") {
  const auto Rejects = [](auto Change) {
    auto Settings = settings();
    Change(Settings);
    return !version_test::create(Settings).ok();
  };
  CHECK(Rejects([](auto &Value) { Value.ErrorMargin = 0; }));
  CHECK(Rejects([](auto &Value) { Value.FirstTokenFactor = 1; }));
  CHECK(Rejects([](auto &Value) { Value.FalseStop = 1; }));
  CHECK(Rejects([](auto &Value) { Value.Shares = {0.5, 0.1}; }));
  CHECK(Rejects([](auto &Value) { Value.Shares.clear(); }));
}
