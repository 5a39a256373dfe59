/// \file What rejections as misdirected show, on a virtual clock.
#include "controller/model_evidence.h"

#include <doctest/doctest.h>

using namespace acacianotch;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto at(duration Time) -> time_point {
  return time_point{} + seconds(100) + Time;
}

} // namespace

// Guards against a server that is taken for replaced on a caller's word.
TEST_CASE("a model that a server never ran is missing there, not the server") {
  model_evidence Evidence;
  Evidence.recordAccepted("small");
  CHECK(Evidence.recordMisdirected("odd", true, at({})) ==
        misdirection::model_missing);
  CHECK_FALSE(Evidence.mayRun("odd", at({})));
  CHECK(Evidence.mayRun("small", at({})));
}

// Guards against a replaced server that is tried with model after model.
TEST_CASE("a rejected request for a model that ran shows a replaced server") {
  model_evidence Evidence;
  CHECK(Evidence.recordMisdirected("", false, at({})) ==
        misdirection::replaced);
  Evidence.recordAccepted("small");
  CHECK(Evidence.recordMisdirected("small", true, at({})) ==
        misdirection::replaced);
  // An unloaded model is rejected as well.
  CHECK(Evidence.recordMisdirected("small", true, at(seconds(1))) ==
        misdirection::model_missing);
}

// Guards against a model that stays out of use after servers have loaded it,
// and against one that is tried all the time.
TEST_CASE("a missing model is tried again after growing times") {
  model_evidence Evidence;
  auto Now = at({});
  duration Before{};
  for (int Try = 0; Try < 8; ++Try) {
    CHECK(Evidence.recordMisdirected("odd", true, Now) ==
          misdirection::model_missing);
    // Requests that were under way at the same time do not count again.
    const auto Until = Evidence.missingUntil("odd");
    CHECK(Evidence.recordMisdirected("odd", true, Now + milliseconds(1)) ==
          misdirection::model_missing);
    CHECK(Evidence.missingUntil("odd") == Until);
    CHECK(Until - Now >= Before);
    CHECK(Until - Now <= seconds(16));
    Before = Until - Now;
    Now = Until;
    CHECK(Evidence.mayRun("odd", Now));
  }
  CHECK(Before == seconds(16));
  Evidence.recordAccepted("odd");
  CHECK(Evidence.recordMisdirected("odd", true, Now) == misdirection::replaced);
}

// Guards against memory that grows with the names that callers choose.
TEST_CASE("any number of model names keeps the evidence small") {
  model_evidence Evidence;
  for (int Number = 0; Number < 1000; ++Number) {
    const auto Name = std::to_string(Number);
    (void)Evidence.recordMisdirected("odd-" + Name, true,
                                     at(milliseconds(Number)));
    Evidence.recordAccepted("known-" + Name);
  }
  CHECK(Evidence.size() <= 64);
}
