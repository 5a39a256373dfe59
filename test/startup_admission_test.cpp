/// \file Tests of the admission of requests before a gateway can serve.
#include "controller/startup_admission.h"

#include <doctest/doctest.h>

using namespace acacianotch;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct fixture {
  virtual_clock Clock;
  time_point Start = Clock.now();
  startup_admission<virtual_clock> Admission{Clock,
                                             {milliseconds(1500), 1000, 4}};

  auto decide(std::optional<duration> TimeLeft) -> startup_decision {
    return Admission.decide({TimeLeft, 10, 0, 0});
  }
};

} // namespace

// Guards against a request that is held for so long that its caller has less
// time for another attempt than after a refusal.
TEST_CASE("a request is held for a third of its time left at most") {
  fixture Test;
  const auto Decision = Test.decide(seconds(3));
  CHECK(Decision.Verdict == startup_verdict::held);
  CHECK(Decision.HoldUntil == Test.Start + seconds(1));
}

// Guards against requests that are held for a start that does not end.
TEST_CASE("no request is held beyond the time after the start") {
  fixture Test;
  CHECK(Test.decide(seconds(60)).HoldUntil == Test.Start + milliseconds(1500));
  CHECK(Test.decide({}).HoldUntil == Test.Start + milliseconds(1500));
  Test.Clock.advance(milliseconds(1499));
  CHECK(Test.decide(seconds(60)).HoldUntil == Test.Start + milliseconds(1500));
  Test.Clock.advance(milliseconds(1));
  CHECK(Test.decide(seconds(60)).Verdict == startup_verdict::window_over);
  CHECK(Test.decide({}).Verdict == startup_verdict::window_over);
}

// Guards against a request that is held although it must be refused before any
// gateway can serve, and against a deadline in the past.
TEST_CASE("a request with too little time is refused at once") {
  fixture Test;
  CHECK(Test.decide(milliseconds(1500)).Verdict ==
        startup_verdict::too_little_time);
  CHECK(Test.decide(milliseconds(1503)).Verdict == startup_verdict::held);
  Test.Clock.advance(milliseconds(400));
  CHECK(Test.decide(milliseconds(330)).Verdict == startup_verdict::held);
  Test.Clock.advance(milliseconds(600));
  CHECK(Test.decide(duration(0)).Verdict == startup_verdict::too_little_time);
  CHECK(Test.decide(-seconds(1)).Verdict == startup_verdict::too_little_time);
}

// Guards against memory that grows with the demand during the start.
TEST_CASE("the number and the bytes of held requests are bounded") {
  fixture Test;
  const auto Verdict = [&](std::size_t Bytes, std::size_t HeldBytes,
                           std::size_t HeldRequests) {
    return Test.Admission.decide({seconds(9), Bytes, HeldBytes, HeldRequests})
        .Verdict;
  };
  CHECK(Verdict(10, 0, 3) == startup_verdict::held);
  CHECK(Verdict(10, 0, 4) == startup_verdict::full);
  CHECK(Verdict(10, 990, 1) == startup_verdict::held);
  CHECK(Verdict(11, 990, 1) == startup_verdict::full);
  CHECK(Verdict(1, 2000, 1) == startup_verdict::full);
  CHECK(Verdict(static_cast<std::size_t>(-1), 990, 1) == startup_verdict::full);
}

// Guards against callers that return long after the gateway serves, and against
// a flood of callers at a start that takes long.
TEST_CASE("Retry-After is the time that the start is expected to take") {
  fixture Test;
  CHECK(Test.Admission.retryAfter() == milliseconds(900));
  Test.Clock.set(Test.Start + milliseconds(600));
  CHECK(Test.Admission.retryAfter() == milliseconds(300));
  Test.Clock.set(Test.Start + milliseconds(890));
  CHECK(Test.Admission.retryAfter() == milliseconds(100));
  Test.Clock.set(Test.Start + milliseconds(1500));
  CHECK(Test.Admission.retryAfter() == milliseconds(750));
  Test.Clock.set(Test.Start + seconds(11));
  CHECK(Test.Admission.retryAfter() == milliseconds(1200));
}

// Guards against held requests where the deployment did not ask for it.
TEST_CASE("without a time for holding no request is held") {
  fixture Test;
  const startup_admission<virtual_clock> Off{Test.Clock, {}};
  CHECK(Off.decide({seconds(60), 1, 0, 0}).Verdict ==
        startup_verdict::window_over);
}
