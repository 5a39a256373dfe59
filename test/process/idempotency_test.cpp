/// \file At most one booking per idempotency key when processes fail.
#include "process/support/deployment.h"

#include <doctest/doctest.h>

using namespace acacianotch;

namespace {

constexpr int SlowAnswerUs = 1'500'000; // From the booking to its answer.

/// Resends a booking until the answer is final. \return that answer.
auto resend(const daemon_instance &Entry, const std::string &Key,
            const json &Body) -> http_answer {
  http_answer Answer;
  const auto Final = waitUntil([&] {
    Answer = startBooking(Entry, Key, Body)->finish();
    const auto Code = Answer.error("code");
    const auto Pending = Code == "idempotency_in_progress" ||
                         Answer.error("verdict") == "not_run";
    return Answer.Status != 0 && !Pending;
  });
  INFO(Answer.Body);
  CHECK(Final);
  return Answer;
}

/// Checks the answer for a run whose outcome is unknown. When a run was cut
/// off, the caller cannot tell success from failure.
auto checkUnknown(const http_answer &Answer) -> void {
  INFO(Answer.Body);
  CHECK(Answer.Status == 409);
  CHECK(Answer.error("code") == "outcome_unknown");
  CHECK(Answer.error("verdict") == "may_have_run");
}

auto waitBooked(deployment &System, const std::string &Place) -> void {
  REQUIRE(waitUntil([&] { return System.bookings(Place) == 1; }));
}

} // namespace

// Guards against a key that is accepted for a different booking.
TEST_CASE("the same key with another body is an error") {
  deployment System({.Engines = 0});
  const auto &Entry = System.Entries[0];
  CHECK(startBooking(Entry, "k", {{"place", "a"}})->finish().Status == 200);
  const auto Other =
      startBooking(System.Entries[1], "k", {{"place", "b"}})->finish();
  CHECK(Other.Status == 422);
  CHECK(Other.error("code") == "idempotency_conflict");
  CHECK(Other.error("verdict") == "not_run");
  CHECK(System.bookings("b") == 0);
}

// Guards against two runs when two entries receive the same key concurrently.
TEST_CASE("a resend while the first attempt runs does not run") {
  deployment System({.Engines = 0, .Services = 2});
  const json Body = {{"place", "a"}, {"delay_us", SlowAnswerUs}};
  const auto First = startBooking(System.Entries[0], "k", Body);
  waitBooked(System, "a");
  const auto Second = startBooking(System.Entries[1], "k", Body)->finish();
  CHECK(Second.error("code") == "idempotency_in_progress");
  CHECK(First->finish().Status == 200);
  CHECK(resend(System.Entries[1], "k", Body).Status == 200);
  CHECK(System.bookings("a") == 1);
}

// Guards against a second run after an entry fails between claim and answer.
TEST_CASE("a killed entry does not duplicate a booking") {
  deployment System({.Engines = 0, .Services = 2});
  const json Body = {{"place", "a"}, {"delay_us", SlowAnswerUs}};
  const auto First = startBooking(System.Entries[0], "k", Body);
  waitBooked(System, "a");
  System.Entries[0].Process->kill();
  CHECK_FALSE(First->finish().Complete);
  for (int Round = 0; Round < 5; ++Round) {
    const auto Again = startBooking(System.Entries[1], "k", Body)->finish();
    INFO(Again.Body);
    CHECK(Again.Status == 409);
    CHECK(Again.error("verdict") == "may_have_run");
  }
  CHECK(System.bookings("a") == 1);
}

// Guards against a retry on another agent after the first agent may have sent
// the booking.
TEST_CASE("a killed agent does not duplicate a booking") {
  deployment System({.Engines = 0, .Services = 2});
  const json Body = {{"place", "a"}, {"delay_us", SlowAnswerUs}};
  const auto First = startBooking(System.Entries[0], "k", Body);
  waitBooked(System, "a");
  const auto Serving = System.stats(0).value("a", 0) == 1 ? 0U : 1U;
  System.Agents[Serving].Process->kill();
  const auto Answer = First->finish();
  INFO(Answer.Body);
  CHECK(Answer.Status >= 500);
  CHECK(Answer.error("verdict") == "may_have_run");
  checkUnknown(resend(System.Entries[1], "k", Body));
  CHECK(System.bookings("a") == 1);
}

// Guards against a retry after the service recorded the booking and crashed.
TEST_CASE("a service that crashes after recording is not called again") {
  deployment System({.Engines = 0, .Services = 2});
  const json Body = {{"place", "a"}, {"crash", true}};
  const auto Answer = startBooking(System.Entries[0], "k", Body)->finish();
  INFO(Answer.Body);
  CHECK(Answer.error("verdict") == "may_have_run");
  checkUnknown(resend(System.Entries[1], "k", Body));
  std::size_t Running = 0;
  for (auto &Backend : System.Backends)
    Running += Backend.Process->running() ? 1 : 0;
  // A second call would have crashed the other service as well.
  CHECK(Running == 1);
}

// Guards against loss of a claim or an outcome when the leader fails.
TEST_CASE("a killed control leader loses no claim") {
  deployment System({.Replicas = 3, .Engines = 0, .Services = 2});
  const json Body = {{"place", "a"}, {"delay_us", SlowAnswerUs}};
  const auto First = startBooking(System.Entries[0], "k", Body);
  waitBooked(System, "a");
  System.Controls[System.leader()].Process->kill();
  const auto Answer = First->finish();
  INFO(Answer.Body);
  CHECK(Answer.Status == 200);
  const auto Again = resend(System.Entries[1], "k", Body);
  CHECK(Again.Status == 200);
  CHECK(Again.Body == Answer.Body);
  CHECK(System.bookings("a") == 1);
}
