/// \file Attribution of crashes to requests and parts of prompts.
#include "controller/crash_attribution.h"
#include "core/random_type.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace acacianotch;

namespace {

constexpr std::uint64_t Epoch = 1;
constexpr part_id Common = 1; ///< First part of all prompts.
constexpr part_id Crashing = 77;

/// Time after the fifth crash from which the users count arrivals.
constexpr duration ContactBound = std::chrono::seconds(3);
constexpr duration Pause = std::chrono::milliseconds(300);

/// The leader of control and its view of time.
struct leader {
  crash_attribution Attribution;
  time_point Now{std::chrono::hours(1)};
  std::uint64_t Server = 0;
  std::vector<part_id> Blocked; ///< As of crashUntilBlocked().

  /// Observations without a time are of the present.
  auto send(crash_report Report) -> crash_verdicts {
    for (auto &Attempt : Report.Broken)
      if (Attempt.At == time_point{})
        Attempt.At = Now;
    return Attribution.exchange(Report, Epoch, Now);
  }
  /// One more server crashes under \p Prompts. \return the blocked parts.
  auto crash(const std::vector<std::vector<part_id>> &Prompts,
             bool Begun = true) -> std::vector<part_id> {
    crash_report Report;
    Report.Epoch = Epoch;
    ++Server;
    for (const auto &Prompt : Prompts)
      Report.Broken.push_back({"s" + std::to_string(Server), Prompt, Begun});
    return send(Report).Blocked;
  }
  /// One more server crashes while it runs plain requests. \return what is
  /// blocked.
  auto crashPlain(const std::vector<part_id> &Requests, duration Age = {})
      -> std::vector<part_id> {
    crash_report Report;
    Report.Epoch = Epoch;
    ++Server;
    for (const auto Request : Requests)
      Report.Broken.push_back(
          {"s" + std::to_string(Server), {}, false, Request, Now - Age});
    return send(Report).Blocked;
  }
  /// Crashes one server after the other under prompts with Crashing, at most
  /// ten, beside prompts whose parts are answered. \return their number.
  auto crashUntilBlocked(bool Begun) -> std::size_t {
    std::size_t Crashes = 0;
    for (; Blocked.empty() && Crashes < 10; ++Crashes) {
      Blocked =
          crash({{Common, Crashing, 1000 + Crashes}, {Common, 5, 2000}}, Begun);
      answer(Common);
      answer(5);
      pass(Pause);
    }
    return Crashes;
  }
  auto answer(part_id Part) -> void {
    crash_report Report;
    Report.Epoch = Epoch;
    Report.Answered = {Part};
    (void)send(Report);
  }
  auto pass(duration Time) -> void { Now += Time; }
};

} // namespace

// Guards against a part that crashes every server it reaches.
TEST_CASE("a part that is common to crashes is blocked before the fifth one") {
  leader Leader;
  const auto Crashes = Leader.crashUntilBlocked(true);
  CHECK(Leader.Blocked == std::vector{Crashing});
  CHECK(Crashes < 5);
}

// Guards against a part that crashes servers before the answer's head is out.
TEST_CASE("prompts that only waited are blocked after five crashes") {
  leader Leader;
  const auto Crashes = Leader.crashUntilBlocked(false);
  CHECK(Leader.Blocked == std::vector{Crashing});
  CHECK(Crashes == 5);
}

// Guards against blocking shared parts on the evidence of one prompt.
TEST_CASE("repeats of one prompt block its last part only") {
  leader Leader;
  std::vector<part_id> Blocked;
  for (int Crash = 0; Crash < 3; ++Crash) {
    Blocked = Leader.crash({{Common, 5, 2000}});
    Leader.pass(Pause);
  }
  CHECK(Blocked == std::vector<part_id>{2000});
}

// Guards against a plain request that crashes servers whenever it comes.
TEST_CASE(
    "a plain request is blocked when it crashed servers at three moments") {
  constexpr part_id Booking = 88;
  leader Leader;
  for (int Repeat = 1; Repeat <= 2; ++Repeat) {
    // Two attempts, each beside a sound request.
    CHECK(Leader.crashPlain({Crashing, Booking}).empty());
    Leader.pass(std::chrono::milliseconds(20));
    CHECK(Leader.crashPlain({Crashing, Booking}).empty());
    Leader.pass(std::chrono::milliseconds(200));
    Leader.answer(Booking);
    Leader.pass(std::chrono::seconds(4));
  }
  CHECK(Leader.crashPlain({Crashing, Booking}) == std::vector{Crashing});
}

// Guards against sound requests that stay blocked for crashes of another one.
TEST_CASE("a request that ran beside the crashing one is released") {
  constexpr part_id Booking = 5;
  leader Leader;
  for (int Moment = 0; Moment < 3; ++Moment) {
    (void)Leader.crashPlain({Booking, Crashing});
    Leader.pass(Pause);
  }
  crash_report Empty;
  Empty.Epoch = Epoch;
  auto Blocked = Leader.send(Empty).Blocked;
  // The evidence on both is the same; another crash tells them apart.
  REQUIRE(Blocked.size() == 1);
  const auto Wrong = Blocked[0] == Booking;
  if (Wrong)
    Leader.answer(Booking);
  Leader.pass(Pause);
  Blocked = Leader.crashPlain({Crashing});
  CHECK(std::find(Blocked.begin(), Blocked.end(), Booking) == Blocked.end());
  CHECK(Blocked == std::vector{Crashing});
}

// Guards against parts that are blocked because one request is repeated.
TEST_CASE("repeats of one request with a prompt block only the request") {
  leader Leader;
  std::vector<part_id> Blocked;
  for (int Crash = 0; Crash < 3; ++Crash) {
    crash_report Report;
    Report.Epoch = Epoch;
    Report.Broken = {
        {"s" + std::to_string(Crash), {Common, 5, 2000}, true, Crashing}};
    Blocked = Leader.send(Report).Blocked;
    Leader.pass(Pause);
  }
  CHECK(Blocked == std::vector{Crashing});
}

// Guards against a prompt that crashes servers in more than three repeats.
TEST_CASE(
    "three repeats of a request that only waited are enough to block it") {
  leader Leader;
  std::vector<part_id> Blocked;
  for (int Repeat = 0; Repeat < 4; ++Repeat) {
    CHECK(Blocked.empty());
    for (int Attempt = 0; Attempt < 3; ++Attempt) {
      crash_report Report;
      Report.Epoch = Epoch;
      Report.Broken = {{"s" + std::to_string(3 * Repeat + Attempt),
                        {Common, 5, 2000},
                        false,
                        Crashing}};
      Blocked = Leader.send(Report).Blocked;
      Leader.pass(std::chrono::milliseconds(60));
    }
    Leader.pass(std::chrono::seconds(4));
  }
  CHECK(Blocked == std::vector{Crashing});
}

// Guards against evidence that is lost while there is no leader.
TEST_CASE("crashes that are reported late count at their own times") {
  leader Leader;
  Leader.pass(std::chrono::seconds(30));
  for (const auto Age : {12, 8, 4})
    (void)Leader.crashPlain({Crashing}, std::chrono::seconds(Age));
  Leader.pass(Pause);
  crash_report Empty;
  Empty.Epoch = Epoch;
  CHECK(Leader.send(Empty).Blocked == std::vector{Crashing});
}

// Guards against innocent parts being blocked because many servers fail at
// once.
TEST_CASE("servers that fail at the same moment block nothing") {
  leader Leader;
  for (int Moment = 0; Moment < 2; ++Moment) {
    for (int Crash = 0; Crash < 30; ++Crash)
      CHECK(Leader.crash({{Common, 5, 2000}, {Common, 6, 2001}}).empty());
    Leader.pass(std::chrono::seconds(5));
  }
}

// Guards against parts being blocked that servers answer between crashes.
TEST_CASE("a part that is answered after a crash is not blocked for it") {
  leader Leader;
  for (part_id Crash = 0; Crash < 100; ++Crash) {
    const auto Prompt = 1000 + Crash;
    CHECK(Leader.crash({{Common, 5, Prompt}}).empty());
    Leader.pass(Pause);
    Leader.answer(Common);
    Leader.answer(5);
  }
}

// Guards against a list for all gateways that grows with each crash.
TEST_CASE("the watched parts stay few in a storm of crashes") {
  leader Leader;
  crash_report Empty;
  Empty.Epoch = Epoch;
  for (part_id Crash = 0; Crash < 300; ++Crash) {
    std::vector<std::vector<part_id>> Prompts;
    for (part_id Prompt = 0; Prompt < 100; ++Prompt)
      Prompts.push_back({Common, 2 + Prompt, 1000 + Crash * 100 + Prompt});
    (void)Leader.crash(Prompts);
    Leader.pass(std::chrono::milliseconds(60));
    CHECK(Leader.send(Empty).Watched.size() <= 256);
    Leader.answer(Common);
  }
}

// Guards against verdicts that are lost, or come back, with a change of leader.
TEST_CASE("a new leader adopts the blocked parts that gateways know") {
  leader Leader;
  crash_report Report;
  Report.Blocked = {Crashing};
  Report.Epoch = Epoch + 1;
  CHECK(Leader.send(Report).Blocked == std::vector{Crashing});
  Leader.answer(Crashing);
  Report.Epoch = Epoch;
  CHECK(Leader.send(Report).Blocked.empty());
}

// Guards against a part that stays blocked for ever or crashes more servers.
TEST_CASE("a blocked part is tried again by one request at growing intervals") {
  leader Leader;
  crash_report Adopted;
  Adopted.Blocked = {Crashing};
  (void)Leader.send(Adopted);
  int Probes = 0;
  crash_report Empty;
  Empty.Epoch = Epoch;
  for (int Second = 0; Second < 600; ++Second) {
    Leader.pass(std::chrono::seconds(1));
    for (int Gateway = 0; Gateway < 3; ++Gateway)
      Probes += static_cast<int>(Leader.send(Empty).Probes.size());
  }
  CHECK(Probes == 2);
}

// Guards against wrong verdicts beside rare parts and crashes of other causes.
TEST_CASE(
    "in random traffic only the crashing part is blocked among shared ones") {
  constexpr std::uint64_t Seeds = 200;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    INFO("seed ", Seed);
    seeded_random Random(Seed);
    leader Leader;
    std::vector<part_id> Blocked;
    int Deaths = 0;
    time_point Fifth = time_point::max();
    for (int Step = 0; Step < 400; ++Step) {
      Leader.pass(std::chrono::milliseconds(20 + randomBelow(Random, 200)));
      const auto Group = 100 + randomBelow(Random, 40);
      const auto Own = 10'000 + static_cast<part_id>(Step);
      std::vector<std::vector<part_id>> Prompts;
      for (auto Others = randomBelow(Random, 4); Others > 0; --Others)
        Prompts.push_back({Common, 100 + randomBelow(Random, 40),
                           20'000 + randomBelow(Random, 100'000)});
      const auto Dies = randomBelow(Random, 8) == 0;
      if (Dies)
        Prompts.push_back({Common, Group, Crashing, Own});
      if (Dies || randomBelow(Random, 20) == 0)
        Blocked = Leader.crash(Prompts);
      if (Dies && ++Deaths == 5)
        Fifth = Leader.Now;
      Leader.answer(Common);
      Leader.answer(100 + randomBelow(Random, 40));
      Leader.answer(100 + randomBelow(Random, 40));
      if (std::find(Blocked.begin(), Blocked.end(), Crashing) != Blocked.end())
        break;
    }
    CHECK(Blocked == std::vector{Crashing});
    CHECK(Leader.Now - ContactBound <= Fifth);
  }
}
