/// \file Cascade trials over seeds.
#pragma once

#include "bench_report.h"
#include "cascade_trial.h"

namespace acacianotch::bench {

/// Measures of one scenario over seeds.
struct cascade_summary {
  spread OverLargest;    ///< Cost over that of always-largest.
  spread OverHindsight;  ///< Cost over that of the best plan in hindsight.
  spread AboveTarget;    ///< Share of passed answers minus the target.
  spread WorstPhase;     ///< Least of that over the phases.
  spread LargestAbove;   ///< AboveTarget of always-largest.
  spread CheapestAbove;  ///< AboveTarget of always-cheapest.
  spread CheapestCost;   ///< Cost of always-cheapest over always-largest.
  spread HindsightAbove; ///< AboveTarget of the best plan in hindsight.
  spread HindsightCost;  ///< Its cost over always-largest.
  spread Explored;       ///< Share of requests spent on learning.
  spread Rated;          ///< Ratings per request.

  auto add(const cascade_scenario &Scenario, const cascade_score &Score)
      -> void {
    const double Target = Scenario.Rating.Target;
    OverLargest.add(Score.Learnt.Cost / Score.Largest.Cost);
    OverHindsight.add(Score.Learnt.Cost / Score.Hindsight.Cost);
    AboveTarget.add(Score.Learnt.quality() - Target);
    double Worst = 1;
    for (const auto &Phase : Score.Phases)
      Worst = std::min(Worst, Phase.quality() - Target);
    WorstPhase.add(Worst);
    LargestAbove.add(Score.Largest.quality() - Target);
    CheapestAbove.add(Score.Cheapest.quality() - Target);
    CheapestCost.add(Score.Cheapest.Cost / Score.Largest.Cost);
    HindsightAbove.add(Score.Hindsight.quality() - Target);
    HindsightCost.add(Score.Hindsight.Cost / Score.Largest.Cost);
    const auto Decisions = static_cast<double>(Score.Counters.Decisions);
    Explored.add(static_cast<double>(Score.Counters.Explorations) / Decisions);
    Rated.add(static_cast<double>(Score.Counters.Ratings) / Decisions);
  }

  [[nodiscard]] auto json() const -> nlohmann::json {
    return {{"cost_over_largest", OverLargest.json()},
            {"cost_over_hindsight", OverHindsight.json()},
            {"quality_above_target", AboveTarget.json()},
            {"worst_phase_above_target", WorstPhase.json()},
            {"always_largest_above_target", LargestAbove.json()},
            {"always_cheapest_above_target", CheapestAbove.json()},
            {"always_cheapest_over_largest", CheapestCost.json()},
            {"hindsight_above_target", HindsightAbove.json()},
            {"hindsight_over_largest", HindsightCost.json()},
            {"explored_share", Explored.json()},
            {"ratings_per_request", Rated.json()}};
  }
};

/// Runs \p Seeds trials of \p Scenario from \p FirstSeed on.
inline auto runCascade(const cascade_scenario &Scenario, std::size_t Seeds,
                       std::uint64_t FirstSeed, std::size_t Requests)
    -> cascade_summary {
  // Seeds of one trial's random sources are consecutive.
  constexpr std::uint64_t SeedStep = 1000;
  cascade_summary Summary;
  for (std::size_t Index = 0; Index < Seeds; ++Index) {
    cascade_trial Trial(Scenario, FirstSeed + (Index * SeedStep));
    Summary.add(Scenario, Trial.run(Requests));
  }
  return Summary;
}

} // namespace acacianotch::bench
