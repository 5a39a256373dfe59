/// \file Trials of the cascade against fixed plans on the same requests.
#pragma once

#include "controller/cascade.h"
#include "fake_models.h"
#include "fake_rating.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace acacianotch::bench {

/// A part of a trial with constant conditions.
struct trial_phase {
  double Share = 1; ///< Of the trial's requests.
  double Shift = 0; ///< Added to the difficulty.
  rating_mode Mode = rating_mode::normal;
};

/// One scenario of the cascade benchmark.
struct cascade_scenario {
  std::string Name;
  rating_service_settings Rating;
  std::vector<trial_phase> Phases;
  /// Error of the catalogue's quality estimate per model.
  std::array<double, ModelCount> EstimateError{};
  /// Whether the rating service works throughout, so that the cost targets
  /// apply.
  bool RatingsWork = true;
};

/// Cost and quality of a policy over some requests.
struct policy_score {
  double Requests = 0;
  double Cost = 0;   ///< Micro-units, with all attempts and ratings.
  double Passed = 0; ///< Expected passes by a correct rating service.

  [[nodiscard]] auto quality() const -> double { return Passed / Requests; }
};

/// Scores of one trial.
struct cascade_score {
  policy_score Learnt;
  policy_score Largest;
  policy_score Cheapest;
  policy_score Hindsight;
  std::vector<policy_score> Phases; ///< Of the learnt policy.
  cascade_counters Counters;
};

inline auto cascadeScenarios() -> std::vector<cascade_scenario> {
  const rating_service_settings Normal;
  rating_service_settings Noisy = Normal;
  Noisy.Noise = 0.08;
  Noisy.Target = 0.82;
  rating_service_settings Failing = Normal;
  Failing.Failure = 0.05;
  rating_service_settings Slow = Normal;
  Slow.MeanDelay = 4;
  const auto Fault = [](rating_mode Mode) {
    return std::vector<trial_phase>{
        {0.4, 0, rating_mode::normal}, {0.3, 0, Mode}, {0.3, 0, {}}};
  };
  return {
      {"steady", Normal, {{}}, {}, true},
      {"drift",
       Normal,
       {{0.3, 0, {}}, {0.3, 0.25, {}}, {0.2, 0.4, {}}, {0.2, -0.2, {}}},
       {},
       true},
      {"wrong_estimates", Normal, {{}}, {0.10, -0.05, 0.02}, true},
      {"noisy_ratings", Noisy, {{}}, {}, true},
      {"failing_ratings", Failing, {{}}, {}, true},
      {"slow_ratings", Slow, {{}}, {}, true},
      {"ratings_gone", Normal, Fault(rating_mode::unavailable), {}, false},
      {"ratings_inverted", Normal, Fault(rating_mode::inverted), {}, false},
      {"ratings_all_pass", Normal, Fault(rating_mode::all_pass), {}, false},
      {"ratings_all_fail", Normal, Fault(rating_mode::all_fail), {}, false},
      {"never_rated", Normal, {{1, 0, rating_mode::unavailable}}, {}, false},
  };
}

/// \return the expected pass rate of \p Model over all requests.
inline auto meanQuality(const fake_route &Route,
                        const rating_service_settings &Rating,
                        std::size_t Model) -> double {
  double Good = 0;
  for (const auto &Kind : Route.Kinds)
    fake_route::integrate(Kind, 0, [&](double Weight, double Difficulty) {
      Good += Kind.Share * Weight * Route.Models[Model].goodRate(Difficulty);
    });
  return Rating.Noise + (Good * (1 - (2 * Rating.Noise)));
}

/// Exact options of one request kind in one phase.
inline auto exactOptions(const fake_route &Route,
                         const rating_service_settings &Rating,
                         const request_kind &Kind, const trial_phase &Phase)
    -> cell_options {
  const double Noise = Rating.Noise;
  const double Missing = Rating.missingShare();
  const auto Pass = [&](std::size_t Model, double Difficulty) {
    return Noise +
           ((1 - (2 * Noise)) * Route.Models[Model].goodRate(Difficulty));
  };
  const auto Cost = [&](std::size_t Model) {
    return Route.Models[Model].cost(Kind.Input.mean(), Kind.Output.mean());
  };
  cell_options Result{Kind.Share, {}};
  const auto AddPlan = [&](const cascade_plan &Plan) {
    plan_option Option{Plan, Cost(Plan.First), 0, 0};
    if (Plan.Escalation)
      Option.Cost += Rating.Cost;
    fake_route::integrate(
        Kind, Phase.Shift, [&](double Weight, double Difficulty) {
          const double First = Pass(Plan.First, Difficulty);
          if (!Plan.Escalation) {
            Option.Quality += Weight * First;
            return;
          }
          const double Good = Route.Models[Plan.First].goodRate(Difficulty);
          const double Second = Pass(*Plan.Escalation, Difficulty);
          // Passes the first and then an independent second rating.
          const double Both =
              (Good * (1 - Noise) * (1 - Noise)) + ((1 - Good) * Noise * Noise);
          const double Unrated = Plan.EscalateUnrated ? Second : First;
          Option.Quality +=
              Weight * (((1 - Missing) * (Both + ((1 - First) * Second))) +
                        (Missing * Unrated));
          const double Escalated = ((1 - Missing) * (1 - First)) +
                                   (Plan.EscalateUnrated ? Missing : 0);
          Option.Cost += Weight * Escalated * Cost(*Plan.Escalation);
        });
    Result.Options.push_back(Option);
  };
  for (std::size_t First = 0; First < ModelCount; ++First)
    AddPlan({First, std::nullopt, false});
  if (Kind.Streaming || Phase.Mode != rating_mode::normal)
    return Result;
  for (std::size_t First = 0; First < ModelCount; ++First)
    for (std::size_t Second = First + 1; Second < ModelCount; ++Second)
      for (const bool Unrated : {false, true})
        AddPlan({First, Second, Unrated});
  return Result;
}

/// \return the best fixed plans for \p Phase, knowing all pass rates.
inline auto hindsightPlans(const fake_route &Route,
                           const rating_service_settings &Rating,
                           const trial_phase &Phase) -> plan_choice {
  std::vector<cell_options> Cells;
  for (const auto &Kind : Route.Kinds)
    Cells.push_back(exactOptions(Route, Rating, Kind, Phase));
  return choosePlans(Cells, Rating.Target);
}

/// Runs one trial; the same seed gives the same result.
class cascade_trial {
public:
  cascade_trial(const cascade_scenario &Which, std::uint64_t Seed)
      : Scenario(Which), WorkloadRandom(Seed), PolicyRandom(Seed + 1),
        RatingRandom(Seed + 2) {}

  [[nodiscard]] auto run(std::size_t Requests) -> cascade_score {
    auto Cascade = createCascade();
    for (const auto &Phase : Scenario.Phases)
      runPhase(Cascade, Phase,
               static_cast<std::size_t>(Phase.Share *
                                        static_cast<double>(Requests)));
    while (!Queue.empty()) {
      Clock.set(Queue.begin()->first);
      deliverDue(Cascade, Scenario.Phases.back());
    }
    for (const auto &Phase : Score.Phases) {
      Score.Learnt.Requests += Phase.Requests;
      Score.Learnt.Cost += Phase.Cost;
      Score.Learnt.Passed += Phase.Passed;
    }
    Score.Counters = Cascade.board().Counters;
    return Score;
  }

private:
  using learnt_cascade = cascade<virtual_clock, seeded_random>;

  /// A requested rating whose outcome is pending.
  struct pending_rating {
    cascade_decision Decision;
    std::optional<rating_request> Background; ///< Set for a background rating.
    fake_request Request;
    rating_outcome Outcome = rating_outcome::missing;
    std::size_t Phase = 0;
  };

  static constexpr double RequestsPerSecond = 50;

  [[nodiscard]] auto createCascade() -> learnt_cascade {
    std::vector<cascade_candidate> Candidates;
    for (std::size_t Model = 0; Model < ModelCount; ++Model) {
      const auto &Fake = Route.Models[Model];
      const double Quality = meanQuality(Route, Scenario.Rating, Model) +
                             Scenario.EstimateError[Model];
      Candidates.push_back({{Fake.Name, "1"},
                            std::min(Quality, 1.0),
                            Fake.InputCost,
                            Fake.OutputCost});
    }
    cascade_settings Settings;
    Settings.QualityTarget = Scenario.Rating.Target;
    Settings.RatingCost = Scenario.Rating.Cost;
    return learnt_cascade::create(Settings, Candidates, Clock, PolicyRandom)
        .value();
  }

  auto runPhase(learnt_cascade &Cascade, const trial_phase &Phase,
                std::size_t Requests) -> void {
    const auto Best = hindsightPlans(Route, Scenario.Rating, Phase);
    Score.Phases.emplace_back();
    for (std::size_t Index = 0; Index < Requests; ++Index) {
      Clock.advance(seconds(-std::log(1 - randomUnit(WorkloadRandom)) /
                            RequestsPerSecond));
      deliverDue(Cascade, Phase);
      const auto Request = Route.draw(WorkloadRandom, Phase.Shift);
      scoreFixed(Request, Phase, Best);
      runRequest(Cascade, Phase, Request);
    }
  }

  auto runRequest(learnt_cascade &Cascade, const trial_phase &Phase,
                  const fake_request &Request) -> void {
    const auto &Kind = Route.Kinds[Request.Kind];
    const auto Decision = Cascade.decide({Kind.Class, Kind.Long, Kind.Streaming,
                                          Request.Input, Kind.Output.mean()});
    auto &Sum = Score.Phases.back();
    Sum.Requests += 1;
    addCost(Sum, Request, Decision.Plan.First);
    Cascade.recordTokens(Decision, Request.Input, Request.Output);
    // An answer with an escalation is delivered after its rating.
    if (!Decision.Plan.Escalation)
      deliver(Sum, Request, Decision.Plan.First);
    if (Decision.Rating)
      requestRating(Phase,
                    {Decision, std::nullopt, Request, {}, Score.Phases.size()},
                    Decision.Plan.First);
  }

  auto requestRating(const trial_phase &Phase, pending_rating Pending,
                     std::size_t Rated) -> void {
    Score.Phases[Pending.Phase - 1].Cost += Scenario.Rating.Cost;
    const auto Reply = rate(Scenario.Rating, Phase.Mode,
                            Pending.Request.Good[Rated], RatingRandom);
    Pending.Outcome = Reply.Outcome;
    Queue.emplace(Clock.now() + Reply.Delay, Pending);
  }

  auto deliverDue(learnt_cascade &Cascade, const trial_phase &Phase) -> void {
    while (!Queue.empty() && Queue.begin()->first <= Clock.now()) {
      const auto Pending = Queue.begin()->second;
      Queue.erase(Queue.begin());
      finish(Cascade, Phase, Pending);
    }
  }

  auto finish(learnt_cascade &Cascade, const trial_phase &Phase,
              const pending_rating &Pending) -> void {
    if (Pending.Background) {
      Cascade.recordDeliveredRating(*Pending.Background, Pending.Outcome);
      return;
    }
    const auto &Plan = Pending.Decision.Plan;
    const auto RatingResult =
        Cascade.recordFirstRating(Pending.Decision, Pending.Outcome);
    if (!Plan.Escalation)
      return;
    auto &Sum = Score.Phases[Pending.Phase - 1];
    const auto Delivered =
        RatingResult.Escalate ? *Plan.Escalation : Plan.First;
    if (RatingResult.Escalate)
      addCost(Sum, Pending.Request, *Plan.Escalation);
    deliver(Sum, Pending.Request, Delivered);
    if (!RatingResult.Rating)
      return;
    auto Next = Pending;
    Next.Background = RatingResult.Rating;
    requestRating(Phase, Next, RatingResult.Rating->Rated);
  }

  auto addCost(policy_score &Sum, const fake_request &Request,
               std::size_t Model) -> void {
    Sum.Cost += Route.Models[Model].cost(Request.Input, Request.Output);
  }

  auto deliver(policy_score &Sum, const fake_request &Request,
               std::size_t Model) -> void {
    Sum.Passed += Scenario.Rating.passRate(Request.Good[Model]);
  }

  auto scoreFixed(const fake_request &Request, const trial_phase &Phase,
                  const plan_choice &Best) -> void {
    scorePlan(Score.Largest, Request, Phase, {ModelCount - 1, {}, false});
    scorePlan(Score.Cheapest, Request, Phase, {0, {}, false});
    const auto &Mix = Best.Mixes[Request.Kind];
    const bool Upgraded = randomUnit(RatingRandom) < Mix.UpgradeShare;
    scorePlan(Score.Hindsight, Request, Phase,
              Upgraded ? Mix.Upgrade : Mix.Main);
  }

  auto scorePlan(policy_score &Sum, const fake_request &Request,
                 const trial_phase &Phase, const cascade_plan &Plan) -> void {
    Sum.Requests += 1;
    addCost(Sum, Request, Plan.First);
    auto Delivered = Plan.First;
    if (Plan.Escalation) {
      Sum.Cost += Scenario.Rating.Cost;
      const auto Reply = rate(Scenario.Rating, Phase.Mode,
                              Request.Good[Plan.First], RatingRandom);
      const bool Missing = Reply.Outcome == rating_outcome::missing;
      const bool Low = Reply.Outcome == rating_outcome::failed;
      if (Low || (Missing && Plan.EscalateUnrated)) {
        Delivered = *Plan.Escalation;
        addCost(Sum, Request, Delivered);
      }
    }
    deliver(Sum, Request, Delivered);
  }

  const cascade_scenario &Scenario;
  fake_route Route;
  seeded_random WorkloadRandom;
  seeded_random PolicyRandom;
  seeded_random RatingRandom;
  virtual_clock Clock;
  std::multimap<time_point, pending_rating> Queue;
  cascade_score Score;
};

} // namespace acacianotch::bench
