/// \file Tests of the cascade.
#include "controller/cascade.h"

#include <doctest/doctest.h>

using namespace acacianotch;

namespace {

auto candidates() -> std::vector<cascade_candidate> {
  return {{{"small", "1"}, 0.7, 10, 10},
          {{"medium", "1"}, 0.85, 40, 40},
          {{"large", "1"}, 0.95, 200, 200}};
}

auto settings() -> cascade_settings {
  cascade_settings Settings;
  Settings.QualityTarget = 0.9;
  Settings.RatingCost = 5;
  return Settings;
}

using test_cascade = cascade<virtual_clock, seeded_random>;

struct fixture {
  virtual_clock Clock;
  seeded_random Random{7};
  test_cascade Cascade =
      test_cascade::create(settings(), candidates(), Clock, Random).value();

  auto decide(bool Streaming) -> cascade_decision {
    Clock.advance(std::chrono::milliseconds(20));
    return Cascade.decide({"draft", false, Streaming, 500, 500});
  }

  /// Runs \p Count requests; \p Outcome gives the ratings of first answers.
  template <typename function>
  auto feed(int Count, bool Streaming, function Outcome) -> void {
    for (int Index = 0; Index < Count; ++Index) {
      const auto Decision = decide(Streaming);
      if (!Decision.Rating)
        continue;
      const auto Result =
          Cascade.recordFirstRating(Decision, Outcome(Decision.Plan));
      if (Result.Rating)
        Cascade.recordDeliveredRating(*Result.Rating, rating_outcome::passed);
    }
  }
};

auto option(std::size_t First, double Cost, double Quality) -> plan_option {
  return {{First, std::nullopt, false}, Cost, Quality, 0};
}

} // namespace

// Guards against a plan that misses the target, or that upgrades a cell in
// which extra quality costs more than in another.
TEST_CASE("the planner upgrades the cell with the lowest cost of quality") {
  const std::vector<cell_options> Cells{
      {1, {option(0, 1, 0.8), option(1, 10, 0.9)}},
      {1, {option(0, 1, 0.4), option(1, 10, 0.9)}}};
  const auto Choice = choosePlans(Cells, 0.8);
  CHECK(Choice.Quality == doctest::Approx(0.8));
  CHECK(Choice.Mixes[0].Main.First == 0);
  CHECK(Choice.Mixes[0].UpgradeShare == 0);
  CHECK(Choice.Mixes[1].Upgrade.First == 1);
  CHECK(Choice.Mixes[1].UpgradeShare == doctest::Approx(0.8));
  CHECK(Choice.Cost == doctest::Approx(4.6));
}

// Guards against a planner that chooses no plan, or the cheapest one, when the
// target is unreachable; it must choose the plan with the highest quality.
TEST_CASE("an unreachable target uses the best candidate") {
  const std::vector<cell_options> Cells{
      {1, {option(0, 1, 0.5), option(1, 5, 0.9), option(2, 9, 0.8)}}};
  const auto Choice = choosePlans(Cells, 0.99);
  CHECK(Choice.Mixes[0].Main.First == 1);
  CHECK(Choice.Quality == doctest::Approx(0.9));
}

// Guards against a safety margin that ignores the variance of estimates: with a
// variance, the planned quality must be above the target.
TEST_CASE("uncertain estimates get a safety margin above the target") {
  std::vector<cell_options> Cells{{1, {option(0, 1, 0.8), option(1, 10, 1)}}};
  CHECK(choosePlansWithMargin(Cells, 0.9, 2).Quality == doctest::Approx(0.9));
  Cells[0].Options[0].Variance = 0.0004;
  CHECK(choosePlansWithMargin(Cells, 0.9, 2).Quality > 0.92);
}

// Guards against delaying the first token of a stream until a rating arrives.
TEST_CASE("streaming requests never get an escalation") {
  fixture Fixture;
  for (int Index = 0; Index < 2000; ++Index)
    REQUIRE_FALSE(Fixture.decide(true).Plan.Escalation.has_value());
}

// Guards against delivering an answer that failed its rating although the plan
// has an escalation, and against waiting for a rating that is missing.
TEST_CASE("a failed rating escalates and a passed one does not") {
  fixture Fixture;
  auto Decision = Fixture.decide(false);
  while (!Decision.Plan.Escalation)
    Decision = Fixture.decide(false);
  REQUIRE(Decision.Rating.has_value());
  CHECK(Fixture.Cascade.recordFirstRating(Decision, rating_outcome::failed)
            .Escalate);
  CHECK_FALSE(
      Fixture.Cascade.recordFirstRating(Decision, rating_outcome::passed)
          .Escalate);
  CHECK(Fixture.Cascade.recordFirstRating(Decision, rating_outcome::missing)
            .Escalate == Decision.Plan.EscalateUnrated);
}

// Guards against plans with an escalation while ratings do not arrive: each
// request would wait for the rating's time limit.
TEST_CASE("an absent rating service stops escalation until it recovers") {
  fixture Fixture;
  Fixture.feed(300, false, [](auto) { return rating_outcome::missing; });
  CHECK(Fixture.Cascade.board().Rating.Health == rating_health::absent);
  CHECK_FALSE(Fixture.decide(false).Plan.Escalation.has_value());
  seeded_random Truth(3);
  Fixture.feed(4000, false, [&](const cascade_plan &Plan) {
    const double Quality = candidates()[Plan.First].Quality;
    return randomUnit(Truth) < Quality ? rating_outcome::passed
                                       : rating_outcome::failed;
  });
  CHECK(Fixture.Cascade.board().Rating.Health == rating_health::trusted);
}

// Guards against estimates from a rating service that passes every answer: the
// cheapest candidate would appear to be perfect.
TEST_CASE("ratings that always pass are not trusted") {
  fixture Fixture;
  Fixture.feed(2000, true, [](auto) { return rating_outcome::passed; });
  CHECK(Fixture.Cascade.board().Rating.Health == rating_health::wrong);
  const auto &Cell = Fixture.Cascade.board().Cells[0];
  CHECK(Cell.Records[0].Pass.mean() < 0.75);
  CHECK(Cell.Mix.Main.First > 0);
}

// Guards against unbounded memory when callers send arbitrary class names.
TEST_CASE("the number of cells is limited") {
  fixture Fixture;
  for (int Index = 0; Index < 1000; ++Index) {
    const auto Class = "class" + std::to_string(Index);
    const auto Decision =
        Fixture.Cascade.decide({Class, Index % 2 == 0, Index % 3 == 0, 1, 1});
    REQUIRE(Decision.Cell < 64);
  }
  CHECK(Fixture.Cascade.board().Cells.size() <= 64);
}

// Guards against a cascade with settings for which no valid plan exists.
TEST_CASE("invalid cascade settings are rejected") {
  virtual_clock Clock;
  seeded_random Random(1);
  const auto Create = [&](cascade_settings Settings, auto Candidates) {
    return test_cascade::create(Settings, Candidates, Clock, Random).ok();
  };
  CHECK(Create(settings(), candidates()));
  CHECK_FALSE(Create(settings(), std::vector<cascade_candidate>{}));
  auto Reversed = candidates();
  std::swap(Reversed[0], Reversed[2]);
  CHECK_FALSE(Create(settings(), Reversed));
  auto Settings = settings();
  Settings.QualityTarget = 1.5;
  CHECK_FALSE(Create(Settings, candidates()));
}
