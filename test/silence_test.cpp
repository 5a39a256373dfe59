/// \file Tests of the decision to abandon a stalled stream.
#include "controller/silence.h"
#include "platform/report_codec.h"

#include <doctest/doctest.h>

using namespace acacianotch;

namespace {

constexpr duration Objective = std::chrono::seconds(2);
constexpr duration Early = std::chrono::milliseconds(300);
constexpr duration Later = std::chrono::milliseconds(900);

auto actionFor(duration Waited, std::uint32_t Queries, silent_state State)
    -> silence_step {
  return judgeSilence({}, Waited, Objective, Queries, State);
}

} // namespace

// Guards against attempts that are abandoned, so that the prompt needs a second
// prefill, although the server works on them.
TEST_CASE("a stream that its server works on is not abandoned early") {
  CHECK(actionFor(Early, 0, silent_state::unknown) == silence_step::wait);
  CHECK(actionFor(Later, 0, silent_state::unknown) == silence_step::ask);
  CHECK(actionFor(Later, 1, silent_state::at_work) == silence_step::wait);
  CHECK(actionFor(2 * Objective + Early, 9, silent_state::at_work) ==
        silence_step::wait);
  CHECK(actionFor(3 * Objective + Early, 9, silent_state::at_work) ==
        silence_step::leave);
}

// Guards against a wait for streams that were lost or whose server does not
// respond.
TEST_CASE("a stream that its server does not have is abandoned at once") {
  CHECK(actionFor(Early, 1, silent_state::lost) == silence_step::leave);
  CHECK(actionFor(Early, 1, silent_state::dark) == silence_step::leave);
  CHECK(actionFor(2 * Objective + Early, 9, silent_state::unknown) ==
        silence_step::leave);
}

// Guards against a query at every check, since the platform charges for each.
TEST_CASE("the time between queries doubles") {
  int Queries = 0;
  for (auto Waited = duration::zero(); Waited < 2 * Objective; Waited += Early)
    if (actionFor(Waited, static_cast<std::uint32_t>(Queries),
                  silent_state::at_work) == silence_step::ask)
      ++Queries;
  CHECK(Queries == 3);
}

TEST_CASE("a report shows whether a request is at work") {
  const auto Report = platform::decodeReport(
      R"({"queued":0,"active":2,"runs":[["a",100,3,0],["b",50,0,1],"?",[1]]})");
  REQUIRE(Report.ok());
  CHECK(Report->Runs.size() == 2);
  CHECK(silentState(*Report, "a", 3) == silent_state::at_work);
  // The server has sent events that did not arrive.
  CHECK(silentState(*Report, "a", 1) == silent_state::lost);
  CHECK(silentState(*Report, "c", 0) == silent_state::lost);
  auto Busy = *Report;
  Busy.Waiting = 1;
  CHECK(silentState(Busy, "c", 0) == silent_state::at_work);
  Busy.ListsRuns = false;
  CHECK(silentState(Busy, "c", 0) == silent_state::unknown);
}

// Guards against invalid reports that are accepted as those of the server.
TEST_CASE("an invalid report is an error") {
  CHECK_FALSE(platform::decodeReport("[]").ok());
  CHECK_FALSE(platform::decodeReport("{\"queued\":-1,\"active\":0}").ok());
  CHECK_FALSE(platform::decodeReport("{\"queued\":1").ok());
}
