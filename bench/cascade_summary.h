/// \file Cascade trials over seeds.
#pragma once

#include "bench_report.h"
#include "cascade_trial.h"

namespace acacianotch::bench {

/// Measures of one scenario over seeds.
struct cascade_summary {
  spread CostOverLargest;    ///< Cost over that of always-largest.
  spread CostOverHindsight;  ///< Cost over that of the best plan in hindsight.
  spread QualityAboveTarget; ///< Share of passed answers minus the target.
  spread WorstPhaseAboveTarget;    ///< Minimum over the phases.
  spread LargestAboveTarget;       ///< Of always-largest.
  spread CheapestAboveTarget;      ///< Of always-cheapest.
  spread CheapestCostOverLargest;  ///< Its cost over always-largest.
  spread HindsightAboveTarget;     ///< Of the best plan in hindsight.
  spread HindsightCostOverLargest; ///< Its cost over always-largest.
  spread ExploredShare;            ///< Share of requests used for exploration.
  spread RatingsPerRequest;

  auto add(const cascade_scenario &Scenario, const cascade_score &Score)
      -> void {
    const double Target = Scenario.Rating.Target;
    CostOverLargest.add(Score.Learnt.Cost / Score.Largest.Cost);
    CostOverHindsight.add(Score.Learnt.Cost / Score.Hindsight.Cost);
    QualityAboveTarget.add(Score.Learnt.quality() - Target);
    double Worst = 1;
    for (const auto &Phase : Score.Phases)
      Worst = std::min(Worst, Phase.quality() - Target);
    WorstPhaseAboveTarget.add(Worst);
    LargestAboveTarget.add(Score.Largest.quality() - Target);
    CheapestAboveTarget.add(Score.Cheapest.quality() - Target);
    CheapestCostOverLargest.add(Score.Cheapest.Cost / Score.Largest.Cost);
    HindsightAboveTarget.add(Score.Hindsight.quality() - Target);
    HindsightCostOverLargest.add(Score.Hindsight.Cost / Score.Largest.Cost);
    const auto Decisions = static_cast<double>(Score.Counters.Decisions);
    ExploredShare.add(static_cast<double>(Score.Counters.Explorations) /
                      Decisions);
    RatingsPerRequest.add(static_cast<double>(Score.Counters.Ratings) /
                          Decisions);
  }

  [[nodiscard]] auto json() const -> nlohmann::json {
    return {{"cost_over_largest", CostOverLargest.json()},
            {"cost_over_hindsight", CostOverHindsight.json()},
            {"quality_above_target", QualityAboveTarget.json()},
            {"worst_phase_above_target", WorstPhaseAboveTarget.json()},
            {"always_largest_above_target", LargestAboveTarget.json()},
            {"always_cheapest_above_target", CheapestAboveTarget.json()},
            {"always_cheapest_over_largest", CheapestCostOverLargest.json()},
            {"hindsight_above_target", HindsightAboveTarget.json()},
            {"hindsight_over_largest", HindsightCostOverLargest.json()},
            {"explored_share", ExploredShare.json()},
            {"ratings_per_request", RatingsPerRequest.json()}};
  }
};

/// Runs \p Seeds trials of \p Scenario from \p FirstSeed on.
inline auto runCascade(const cascade_scenario &Scenario, std::size_t Seeds,
                       std::uint64_t FirstSeed, std::size_t Requests)
    -> cascade_summary {
  // A trial uses consecutive seeds for its random generators.
  constexpr std::uint64_t SeedStep = 1000;
  cascade_summary Summary;
  for (std::size_t Index = 0; Index < Seeds; ++Index) {
    cascade_trial Trial(Scenario, FirstSeed + (Index * SeedStep));
    Summary.add(Scenario, Trial.run(Requests));
  }
  return Summary;
}

} // namespace acacianotch::bench
