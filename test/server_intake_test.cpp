/// \file Decisions on servers that leave or ask for a pause, on a virtual
/// clock.
#include "controller/server_intake.h"

#include "platform/request_codec.h"

#include <doctest/doctest.h>

#include <limits>

using namespace acacianotch;

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const server_instance Server{"i-1", 100};

/// A moment after the start of the clock.
auto at(duration Time) -> time_point {
  return time_point{} + minutes(5) + Time;
}

auto rejected(const std::string &Value) -> std::optional<duration> {
  http_head Head;
  Head.Status = 503;
  Head.Headers = {{"Retry-After", Value}};
  return platform::decodeAnswer(Head).RetryAfter;
}

} // namespace

// Guards against a server that is used again because one list entry was odd.
TEST_CASE("a leaving server stays leaving until it is known to start again") {
  server_intake Intake;
  CHECK(Intake.recordLeaving(Server, at({})));
  CHECK_FALSE(Intake.recordLeaving(Server, at(seconds(1))));
  Intake.recordListed({"i-1", 0}, at(seconds(2)));
  Intake.recordListed(Server, at(seconds(3)));
  CHECK(Intake.state(Server, at(seconds(3))) == intake_state::leaving);
  CHECK_FALSE(Intake.admits({"i-1", 0}, at(seconds(3))));
  Intake.recordListed({"i-1", 101}, at(seconds(4)));
  CHECK(Intake.admits({"i-1", 101}, at(seconds(4))));
  CHECK(Intake.size() == 0);
}

// Guards against memory that grows with each server that ever left.
TEST_CASE("what is known of servers that are gone is dropped") {
  server_intake Intake;
  for (int Index = 0; Index < 20'000; ++Index)
    Intake.recordLeaving({"i-" + std::to_string(Index), 1}, at({}));
  CHECK(Intake.size() <= 16'384);
  Intake.forgetUnlisted(at(minutes(10)));
  CHECK(Intake.size() == 0);
}

// Guards against a pause that is cut short by an answer that came out of order.
TEST_CASE("a later statement does not shorten a pause") {
  server_intake Intake;
  Intake.recordRejection(Server, seconds(4), {}, at({}));
  Intake.recordRejection(Server, milliseconds(100), {}, at(milliseconds(50)));
  Intake.recordAccepted(Server, at(seconds(1)));
  CHECK_FALSE(Intake.admits(Server, at(milliseconds(3999))));
  CHECK(Intake.pauseLeft(Server, at(seconds(3))) == seconds(1));
  CHECK(Intake.admits(Server, at(seconds(4))));
}

// Guards against all work that returns at the end of a pause.
TEST_CASE("work returns to a server with each request that it accepts") {
  server_intake Intake;
  Intake.recordRejection(Server, seconds(1), milliseconds(250), at({}));
  auto Now = at(milliseconds(1250));
  CHECK(Intake.state(Server, Now) == intake_state::resuming);
  std::vector<int> Sent;
  while (Intake.state(Server, Now) == intake_state::resuming) {
    int Batch = 0;
    for (; Intake.admits(Server, Now); ++Batch)
      Intake.recordSent(Server, Now);
    REQUIRE(Batch > 0);
    Sent.push_back(Batch);
    for (int Accepted = 0; Accepted < Batch; ++Accepted)
      Intake.recordAccepted(Server, Now);
    Now += milliseconds(20);
  }
  CHECK(Sent == std::vector{1, 2, 4, 8});
  CHECK(Intake.size() == 0);
}

// Guards against a server that stays unused because a request to it was lost.
TEST_CASE("a lost request after a pause is followed by another one") {
  server_intake Intake;
  Intake.recordRejection(Server, seconds(1), {}, at({}));
  Intake.recordSent(Server, at(seconds(1)));
  CHECK_FALSE(Intake.admits(Server, at(milliseconds(1400))));
  CHECK(Intake.admits(Server, at(milliseconds(1500))));
}

// Guards against values that stop a server for good or end a process.
TEST_CASE("odd values of Retry-After are bounded") {
  CHECK(rejected("2") == seconds(2));
  CHECK(rejected(" 0.25 ") == milliseconds(250));
  CHECK(rejected("1, 3") == seconds(3));
  for (const auto *Value :
       {"", "0", "-1", "-1e999", "1e-999", "nan", "inf", "soon", "1s", "0x10"})
    CHECK_MESSAGE(!rejected(Value), Value);
  for (const auto *Value : {"60", "86400", "1e18", "1e999"})
    CHECK_MESSAGE(rejected(Value) == seconds(60), Value);
  CHECK(rejected("Sun, 06 Nov 1994 08:49:37 GMT") == seconds(1));
  http_head Doubled;
  Doubled.Status = 503;
  Doubled.Headers = {{"Retry-After", "2"}, {"retry-after", "5"}};
  CHECK(platform::decodeAnswer(Doubled).RetryAfter == seconds(5));
  Doubled.Status = 200;
  CHECK_FALSE(platform::decodeAnswer(Doubled).RetryAfter);
}
