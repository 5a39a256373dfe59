/// \file When a silent stream is left, and what a server's report tells.
#include "controller/silence.h"
#include "platform/report_codec.h"

#include <doctest/doctest.h>

using namespace acacianotch;

namespace {

constexpr duration Usual = std::chrono::seconds(2);
constexpr duration Early = std::chrono::milliseconds(300);
constexpr duration Later = std::chrono::milliseconds(900);

auto step(duration Waited, std::uint32_t Asked, silent_state State)
    -> silence_step {
  return judgeSilence({}, Waited, Usual, Asked, State);
}

} // namespace

// Guards against streams that are left, and their prompts read again, although
// the server works on them.
TEST_CASE("a stream that its server works on is waited for") {
  CHECK(step(Early, 0, silent_state::unknown) == silence_step::wait);
  CHECK(step(Later, 0, silent_state::unknown) == silence_step::ask);
  CHECK(step(Later, 1, silent_state::at_work) == silence_step::wait);
  CHECK(step(2 * Usual + Early, 9, silent_state::at_work) ==
        silence_step::wait);
  CHECK(step(3 * Usual + Early, 9, silent_state::at_work) ==
        silence_step::leave);
}

// Guards against streams of dark servers and lost streams that are held.
TEST_CASE("a stream that its server lacks is left at once") {
  CHECK(step(Early, 1, silent_state::lost) == silence_step::leave);
  CHECK(step(Early, 1, silent_state::dark) == silence_step::leave);
  CHECK(step(2 * Usual + Early, 9, silent_state::unknown) ==
        silence_step::leave);
}

// Guards against questions at every check, which the platform charges for.
TEST_CASE("the time between questions doubles") {
  int Questions = 0;
  for (auto Waited = duration::zero(); Waited < 2 * Usual; Waited += Early)
    if (step(Waited, static_cast<std::uint32_t>(Questions),
             silent_state::at_work) == silence_step::ask)
      ++Questions;
  CHECK(Questions == 3);
}

TEST_CASE("a report tells whether a request is at work") {
  const auto Report = platform::decodeReport(
      R"({"queued":0,"active":2,"runs":[["a",100,3,0],["b",50,0,1],"?",[1]]})");
  REQUIRE(Report.ok());
  CHECK(Report->Runs.size() == 2);
  CHECK(silentState(*Report, "a", 3) == silent_state::at_work);
  // The server has made events that have not come.
  CHECK(silentState(*Report, "a", 1) == silent_state::lost);
  CHECK(silentState(*Report, "c", 0) == silent_state::lost);
  auto Busy = *Report;
  Busy.Waiting = 1;
  CHECK(silentState(Busy, "c", 0) == silent_state::at_work);
  Busy.ListsRuns = false;
  CHECK(silentState(Busy, "c", 0) == silent_state::unknown);
}

// Guards against reports of another writer that are taken for the server's.
TEST_CASE("an unreadable report is an error") {
  CHECK_FALSE(platform::decodeReport("[]").ok());
  CHECK_FALSE(platform::decodeReport("{\"queued\":-1,\"active\":0}").ok());
  CHECK_FALSE(platform::decodeReport("{\"queued\":1").ok());
}
