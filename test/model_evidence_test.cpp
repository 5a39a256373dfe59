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
  CHECK(Evidence.recordMisdirected("odd", true, false, at({})) ==
        misdirection::model_missing);
  CHECK_FALSE(Evidence.mayRun("odd", at({})));
  CHECK(Evidence.mayRun("small", at({})));
}

// Guards against a replaced server that is tried with model after model.
TEST_CASE("a rejected request for a model that ran shows a replaced server") {
  model_evidence Plain;
  CHECK(Plain.recordMisdirected("", false, false, at({})) ==
        misdirection::replaced);
  model_evidence Evidence;
  Evidence.recordAccepted("small");
  CHECK(Evidence.recordMisdirected("small", true, false, at({})) ==
        misdirection::replaced);
  // Every further rejection confirms it.
  for (const auto *Model : {"small", "large", "odd"})
    CHECK(Evidence.recordMisdirected(Model, true, false, at(seconds(1))) ==
          misdirection::replaced);
  model_evidence New;
  CHECK(New.recordMisdirected("small", true, true, at({})) ==
        misdirection::replaced);
}

// Guards against a server suspended again and again for one missing model.
TEST_CASE("a server that runs other models only lacks the rejected one") {
  model_evidence Evidence;
  CHECK(Evidence.recordMisdirected("large", true, true, at({})) ==
        misdirection::replaced);
  Evidence.recordAccepted("small");
  for (int Time = 1; Time < 4; ++Time)
    CHECK(Evidence.recordMisdirected("large", true, true, at(seconds(Time))) ==
          misdirection::model_missing);
  CHECK(Evidence.mayRun("small", at(seconds(4))));
  Evidence.recordAccepted("large");
  CHECK(Evidence.recordMisdirected("large", true, true, at(seconds(60))) ==
        misdirection::replaced);
}

// Guards against a missing model that is tried always, or never again.
TEST_CASE("a missing model is tried again after growing times") {
  model_evidence Evidence;
  auto Now = at({});
  duration Before{};
  for (int Try = 0; Try < 8; ++Try) {
    CHECK(Evidence.recordMisdirected("odd", true, false, Now) ==
          misdirection::model_missing);
    // Requests that were under way at the same time do not count again.
    const auto Until = Evidence.missingUntil("odd");
    CHECK(
        Evidence.recordMisdirected("odd", true, false, Now + milliseconds(1)) ==
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
  CHECK(Evidence.recordMisdirected("odd", true, false, Now) ==
        misdirection::replaced);
}

// Guards against memory that grows with the names that callers choose.
TEST_CASE("any number of model names keeps the evidence small") {
  model_evidence Evidence;
  for (int Number = 0; Number < 1000; ++Number) {
    const auto Name = std::to_string(Number);
    (void)Evidence.recordMisdirected("odd-" + Name, true, Number % 3 == 0,
                                     at(milliseconds(Number)));
    Evidence.recordAccepted("known-" + Name);
  }
  CHECK(Evidence.size() <= 96);
}
