/// \file Tests of the evaluation of service rollouts and of confidence limits
/// in the model cascade.
#include "controller/model_cascade.h"
#include "controller/rollout_evaluator.h"
#include "core/random_type.h"

#include <doctest/doctest.h>

#include <cmath>

using namespace acacianotch;

namespace {

constexpr std::uint64_t StartMs = 1'000'000;
constexpr std::uint32_t DurationMs = 20'000;

auto running() -> service_rollout {
  service_rollout Rollout;
  Rollout.Service = "chat";
  Rollout.To = "v2";
  Rollout.StartedMs = StartMs;
  Rollout.DurationMs = DurationMs;
  return Rollout;
}

auto counts(version_arm Arm, std::uint64_t Requests, std::uint64_t Errors,
            double Microseconds = 1000, std::string Route = "r/0")
    -> arm_counts {
  arm_counts Counts;
  Counts.Arm = Arm;
  Counts.Route = std::move(Route);
  Counts.Requests = Requests;
  Counts.Errors = Errors;
  Counts.Timed = Requests - Errors;
  Counts.LogTime = static_cast<double>(Counts.Timed) * std::log(Microseconds);
  return Counts;
}

auto evaluate(const service_rollout &Rollout, std::vector<arm_counts> Counts,
              std::uint64_t AfterMs) -> rollout_step {
  service_evidence Evidence;
  Evidence.To = "v2";
  Evidence.Counts = std::move(Counts);
  return evaluateRollout({}, Rollout, Evidence, StartMs + AfterMs).Step;
}

constexpr auto Old = version_arm::serving;
constexpr auto New = version_arm::candidate;

} // namespace

// Guards against a good version that never completes.
TEST_CASE("a clean rollout shifts after half its time and then completes") {
  auto Rollout = running();
  const std::vector Clean{counts(Old, 300, 3), counts(New, 40, 0)};
  CHECK(evaluate(Rollout, Clean, 5'000) == rollout_step::keep);
  CHECK(evaluate(Rollout, Clean, 11'000) == rollout_step::shift);
  CHECK(evaluate(Rollout, {counts(Old, 300, 3), counts(New, 4, 0)}, 11'000) ==
        rollout_step::keep);
  Rollout.Shifted = true;
  CHECK(evaluate(Rollout, Clean, 12'000) == rollout_step::keep);
  CHECK(evaluate(Rollout, Clean, 18'500) == rollout_step::complete);
}

// Guards against a version with errors that serves more than 20 requests.
TEST_CASE("a version that fails is stopped early") {
  CHECK(evaluate(running(), {counts(Old, 200, 2), counts(New, 20, 8)}, 2'000) ==
        rollout_step::stop);
  auto Shifted = running();
  Shifted.Shifted = true;
  CHECK(evaluate(Shifted, {counts(Old, 200, 2), counts(New, 100, 30)},
                 18'500) == rollout_step::stop);
}

// Guards against a version that fails on a single route, which is hidden in the
// totals.
TEST_CASE("a version that fails on one route is stopped") {
  CHECK(
      evaluate(running(),
               {counts(Old, 900, 9, 1000, "a/0"), counts(Old, 90, 1, 1000, "b"),
                counts(New, 90, 1, 1000, "a/0"), counts(New, 10, 7, 1000, "b")},
               2'000) == rollout_step::stop);
}

// Guards against a version that is several times slower than its predecessor.
TEST_CASE("a slow version is stopped") {
  CHECK(evaluate(running(),
                 {counts(Old, 200, 0, 1000), counts(New, 20, 0, 6000)},
                 2'000) == rollout_step::stop);
  CHECK(evaluate(running(),
                 {counts(Old, 200, 0, 1000), counts(New, 20, 0, 1500)},
                 2'000) == rollout_step::keep);
}

// Guards against a rollout that completes without measured times.
TEST_CASE("answers without a measured time are no evidence of health") {
  auto Untimed = counts(New, 40, 0);
  Untimed.Timed = 0;
  Untimed.LogTime = 0;
  auto Rollout = running();
  CHECK(evaluate(Rollout, {counts(Old, 300, 3), Untimed}, 11'000) ==
        rollout_step::keep);
  Rollout.Shifted = true;
  CHECK(evaluate(Rollout, {counts(Old, 300, 3), Untimed}, 18'500) ==
        rollout_step::keep);
}

// Guards against a rollout that shifts late and completes at once.
TEST_CASE("a rollout completes only after it has had all work for a while") {
  auto Rollout = running();
  const std::vector Clean{counts(Old, 300, 3), counts(New, 40, 0)};
  Rollout.Shifted = true;
  Rollout.ShiftedMs = StartMs + 17'000;
  CHECK(evaluate(Rollout, Clean, 18'500) == rollout_step::keep);
  CHECK(evaluate(Rollout, Clean, 20'500) == rollout_step::complete);
}

// Guards against a shift to a version of which half of the answers are slow.
TEST_CASE("a version that is slow for half of its answers is stopped") {
  constexpr auto Answers = 40;
  auto Half = counts(New, Answers / 2, 0, 1000);
  const auto Slow = counts(New, Answers / 2, 0, 8000);
  Half.LogTimeSquares =
      Answers / 2.0 *
      (std::pow(std::log(1000), 2) + std::pow(std::log(8000), 2));
  Half.Requests += Slow.Requests;
  Half.Timed += Slow.Timed;
  Half.LogTime += Slow.LogTime;
  CHECK(evaluate(running(), {counts(Old, 200, 0, 1000), Half}, 2'000) ==
        rollout_step::stop);
}

// Guards against a shift to a version that takes 3 times as long half the time.
TEST_CASE("a moderately slow version is stopped before the shift") {
  constexpr auto Answers = 60;
  auto Half = counts(New, Answers, 0, 1000 * std::sqrt(3.0));
  Half.LogTimeSquares =
      Answers / 2.0 *
      (std::pow(std::log(1000), 2) + std::pow(std::log(3000), 2));
  CHECK(evaluate(running(), {counts(Old, 500, 0, 1000), Half}, 2'000) ==
        rollout_step::stop);
  const std::vector Counts{counts(Old, 500, 0, 1000), counts(New, 30, 0, 1400)};
  CHECK(evaluate(running(), Counts, 11'000) == rollout_step::keep);
  CHECK(evaluate(running(), Counts, 14'500) == rollout_step::stop);
}

// Guards against a good version that is shifted too late to complete in time.
TEST_CASE("a version with few answers is shifted by its mean times in time") {
  const std::vector Counts{counts(Old, 500, 0, 1000), counts(New, 30, 0, 1200)};
  CHECK(evaluate(running(), Counts, 11'000) == rollout_step::keep);
  CHECK(evaluate(running(), Counts, 14'500) == rollout_step::shift);
}

// Guards against versions that are compared at different loads.
TEST_CASE("a candidate's servers get as much work as its predecessor's") {
  constexpr double ExposureShare = 0.15;
  const auto MaxShare = maxCandidateShare(ExposureShare);
  for (const std::size_t Servers : {9U, 10U, 18U, 60U, 500U}) {
    const auto Load = planCandidateLoad(ExposureShare, Servers);
    CHECK(Load.Servers >= 1);
    CHECK(Load.Share <= MaxShare);
    const auto Work = Load.Share * static_cast<double>(Servers) / Load.Servers;
    CHECK(Work > 0.95);
    CHECK(Work <= 1 + 1e-9);
  }
  CHECK(planCandidateLoad(ExposureShare, 3) == candidate_load{MaxShare, 2});
  CHECK(planCandidateLoad(ExposureShare, 0).Servers == 0);
}

// Guards against a slow version that no single route has enough answers of.
TEST_CASE("slow answers of several routes count together") {
  std::vector<arm_counts> Counts;
  for (const auto *Route : {"a", "b", "c", "d", "e"}) {
    Counts.push_back(counts(Old, 50, 0, 1000, Route));
    Counts.push_back(counts(New, 6, 0, 4000, Route));
  }
  CHECK(evaluate(running(), Counts, 2'000) == rollout_step::stop);
}

// Guards against good versions that are stopped by chance: both versions have
// an error rate of 3%, and the rollout is evaluated after every request.
TEST_CASE("equal versions are rarely stopped") {
  seeded_random Random(1);
  int Stops = 0;
  constexpr int Rollouts = 300;
  for (int Round = 0; Round < Rollouts; ++Round) {
    auto Serving = counts(Old, 0, 0);
    auto Candidate = counts(New, 0, 0);
    for (int Request = 0; Request < 1500; ++Request) {
      auto &Arm = randomUnit(Random) < 0.1 ? Candidate : Serving;
      ++Arm.Requests;
      Arm.Errors += randomUnit(Random) < 0.03 ? 1U : 0U;
      if (&Arm == &Candidate && evaluate(running(), {Serving, Candidate},
                                         2'000) == rollout_step::stop) {
        ++Stops;
        break;
      }
    }
  }
  CHECK(Stops == 0);
}

TEST_CASE("binomial tails") {
  CHECK(binomialTail(10, 0, 0.1) == doctest::Approx(1));
  CHECK(binomialTail(2, 2, 0.5) == doctest::Approx(0.25));
  CHECK(binomialTail(3, 1, 0.5) == doctest::Approx(0.875));
  CHECK(binomialTail(3, 1, 0) == doctest::Approx(0));
}

// Guards against delivering uncertain answers of small models, and against runs
// that the budget or the latency objective does not allow.
TEST_CASE("the cascade escalates uncertain answers to the largest model") {
  const model_cascade Cascade({60, 0.5});
  cascade_answer Answer{0, 3, 40U, 0.1, true};
  CHECK(Cascade.next(Answer) == 2U);
  Answer.Confidence = 70U;
  CHECK_FALSE(Cascade.next(Answer));
  Answer.Confidence = 40U;
  Answer.MayRepeat = false;
  CHECK_FALSE(Cascade.next(Answer));
  Answer.MayRepeat = true;
  Answer.ElapsedShare = 0.6;
  CHECK_FALSE(Cascade.next(Answer));
  Answer.ElapsedShare = 0.1;
  Answer.Stage = 2;
  CHECK_FALSE(Cascade.next(Answer));
}
