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

  /// Feeds \p Count requests whose first answers are rated by \p Outcome.
  template <typename function>
  auto feed(int Count, bool Streaming, function Outcome) -> void {
    for (int Index = 0; Index < Count; ++Index) {
      const auto Decision = decide(Streaming);
      if (!Decision.Rating)
        continue;
      const auto Step = Cascade.afterFirst(Decision, Outcome(Decision.Plan));
      if (Step.Rating)
        Cascade.rated(*Step.Rating, rating_outcome::passed);
    }
  }
};

auto option(std::size_t First, double Cost, double Quality) -> plan_option {
  return {{First, std::nullopt, false}, Cost, Quality, 0};
}

} // namespace

// Guards against a plan that misses the target or pays for an upgrade where it
// buys the least quality.
TEST_CASE("the planner upgrades where quality is cheapest") {
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

// Guards against an unreachable target: the best plan must be used rather than
// none or the cheapest.
TEST_CASE("an unreachable target uses the best candidate") {
  const std::vector<cell_options> Cells{
      {1, {option(0, 1, 0.5), option(1, 5, 0.9), option(2, 9, 0.8)}}};
  const auto Choice = choosePlans(Cells, 0.99);
  CHECK(Choice.Mixes[0].Main.First == 1);
  CHECK(Choice.Quality == doctest::Approx(0.9));
}

// Guards against a margin that ignores how little is known: an uncertain
// estimate must buy more quality than a certain one.
TEST_CASE("uncertain estimates keep a distance from the target") {
  std::vector<cell_options> Cells{{1, {option(0, 1, 0.8), option(1, 10, 1)}}};
  CHECK(choosePlansSafely(Cells, 0.9, 2).Quality == doctest::Approx(0.9));
  Cells[0].Options[0].Variance = 0.0004;
  CHECK(choosePlansSafely(Cells, 0.9, 2).Quality > 0.92);
}

// Guards against holding back the first token of a streaming caller until a
// rating arrives.
TEST_CASE("streaming callers never get an escalation") {
  fixture Fixture;
  for (int Index = 0; Index < 2000; ++Index)
    REQUIRE_FALSE(Fixture.decide(true).Plan.Escalation.has_value());
}

// Guards against delivering an answer with a low rating although the plan
// escalates, and against waiting for a rating that does not exist.
TEST_CASE("a low rating escalates and a pass does not") {
  fixture Fixture;
  auto Decision = Fixture.decide(false);
  while (!Decision.Plan.Escalation)
    Decision = Fixture.decide(false);
  REQUIRE(Decision.Rating.has_value());
  CHECK(Fixture.Cascade.afterFirst(Decision, rating_outcome::failed).Escalate);
  CHECK_FALSE(
      Fixture.Cascade.afterFirst(Decision, rating_outcome::passed).Escalate);
  CHECK(
      Fixture.Cascade.afterFirst(Decision, rating_outcome::missing).Escalate ==
      Decision.Plan.EscalateUnrated);
}

// Guards against escalation plans while ratings do not arrive: each request
// would wait for its time limit.
TEST_CASE("a rating service that is gone stops escalation until it is back") {
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

// Guards against learning from a rating service that passes everything: the
// cheapest candidate would look perfect.
TEST_CASE("ratings that always pass are not believed") {
  fixture Fixture;
  Fixture.feed(2000, true, [](auto) { return rating_outcome::passed; });
  CHECK(Fixture.Cascade.board().Rating.Health == rating_health::wrong);
  const auto &Cell = Fixture.Cascade.board().Cells[0];
  CHECK(Cell.Records[0].Pass.mean() < 0.75);
  CHECK(Cell.Mix.Main.First > 0);
}

// Guards against unbounded memory when callers invent class names.
TEST_CASE("the number of cells is bounded") {
  fixture Fixture;
  for (int Index = 0; Index < 1000; ++Index) {
    const auto Class = "class" + std::to_string(Index);
    const auto Decision =
        Fixture.Cascade.decide({Class, Index % 2 == 0, Index % 3 == 0, 1, 1});
    REQUIRE(Decision.Cell < 64);
  }
  CHECK(Fixture.Cascade.board().Cells.size() <= 64);
}

// Guards against settings that would make every decision meaningless.
TEST_CASE("unusable cascade settings are rejected") {
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
