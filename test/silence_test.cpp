/// \file Tests of the decision to abandon a stalled stream.
#include "controller/stall.h"
#include "platform/report_codec.h"

#include <doctest/doctest.h>

using namespace acacianotch;

namespace {

constexpr duration Objective = std::chrono::seconds(2);
constexpr duration Early = std::chrono::milliseconds(300);
constexpr duration Later = std::chrono::milliseconds(900);

auto actionFor(duration Waited, std::uint32_t Queries, stalled_state State)
    -> stall_action {
  return decideStallAction({}, Waited, Objective, Queries, State);
}

} // namespace

// Guards against attempts that are abandoned, so that the prompt needs a second
// prefill, although the server works on them.
TEST_CASE("a stream that its server works on is not abandoned early") {
  CHECK(actionFor(Early, 0, stalled_state::unknown) == stall_action::wait);
  CHECK(actionFor(Later, 0, stalled_state::unknown) ==
        stall_action::query_server);
  CHECK(actionFor(Later, 1, stalled_state::at_work) == stall_action::wait);
  CHECK(actionFor(2 * Objective + Early, 9, stalled_state::at_work) ==
        stall_action::wait);
  CHECK(actionFor(3 * Objective + Early, 9, stalled_state::at_work) ==
        stall_action::abandon);
}

// Guards against a wait for streams that were lost or whose server does not
// respond.
TEST_CASE("a stream that its server does not have is abandoned at once") {
  CHECK(actionFor(Early, 1, stalled_state::lost) == stall_action::abandon);
  CHECK(actionFor(Early, 1, stalled_state::unresponsive) ==
        stall_action::abandon);
  CHECK(actionFor(2 * Objective + Early, 9, stalled_state::unknown) ==
        stall_action::abandon);
}

// Guards against a query at every check, since the platform charges for each.
TEST_CASE("the time between queries doubles") {
  int Queries = 0;
  for (auto Waited = duration::zero(); Waited < 2 * Objective; Waited += Early)
    if (actionFor(Waited, static_cast<std::uint32_t>(Queries),
                  stalled_state::at_work) == stall_action::query_server)
      ++Queries;
  CHECK(Queries == 3);
}

TEST_CASE("a report shows whether a request is at work") {
  const auto Report = platform::decodeReport(
      R"({"queued":0,"active":2,"runs":[["a",100,3,0],["b",50,0,1],"?",[1]]})");
  REQUIRE(Report.ok());
  CHECK(Report->Runs.size() == 2);
  CHECK(stalledState(*Report, "a", 3) == stalled_state::at_work);
  // The server has sent events that did not arrive.
  CHECK(stalledState(*Report, "a", 1) == stalled_state::lost);
  CHECK(stalledState(*Report, "c", 0) == stalled_state::lost);
  auto Busy = *Report;
  Busy.Waiting = 1;
  CHECK(stalledState(Busy, "c", 0) == stalled_state::at_work);
  Busy.ListsRuns = false;
  CHECK(stalledState(Busy, "c", 0) == stalled_state::unknown);
}

// Guards against invalid reports that are accepted as those of the server.
TEST_CASE("an invalid report is an error") {
  CHECK_FALSE(platform::decodeReport("[]").ok());
  CHECK_FALSE(platform::decodeReport("{\"queued\":-1,\"active\":0}").ok());
  CHECK_FALSE(platform::decodeReport("{\"queued\":1").ok());
}
