/// \file Version test trials over seeds.
#pragma once

#include "bench_report.h"
#include "version_trial.h"

namespace acacianotch::bench {

/// Measures of one scenario over seeds.
struct version_summary {
  spread Exposed; ///< Requests on the version while it was bad.
  spread Seconds; ///< Until the stop or the end of the rollout.
  std::size_t Stops = 0;
  std::size_t Finished = 0;

  auto add(const rollout_score &Score) -> void {
    Exposed.add(Score.Exposed);
    Seconds.add(Score.Seconds);
    Stops += Score.Stopped ? 1 : 0;
    Finished += Score.Finished ? 1 : 0;
  }

  [[nodiscard]] auto json() const -> nlohmann::json {
    return {{"exposed", Exposed.json()},
            {"seconds", Seconds.json()},
            {"stops", Stops},
            {"rolled_out", Finished}};
  }
};

/// Runs rollouts under the sequential test.
inline auto runSequential(const version_scenario &Scenario, std::size_t Seeds,
                          std::uint64_t FirstSeed) -> version_summary {
  version_summary Summary;
  for (std::size_t Index = 0; Index < Seeds; ++Index) {
    auto Test = version_test::create(rolloutSettings()).value();
    rollout_trial<version_test> Trial(Scenario, FirstSeed + Index, Test);
    Summary.add(Trial.run());
  }
  return Summary;
}

/// Runs rollouts under the fixed-threshold test.
inline auto runThreshold(const version_scenario &Scenario, std::size_t Seeds,
                         std::uint64_t FirstSeed) -> version_summary {
  version_summary Summary;
  for (std::size_t Index = 0; Index < Seeds; ++Index) {
    fixed_threshold_test Test(rolloutSettings());
    rollout_trial<fixed_threshold_test> Trial(Scenario, FirstSeed + Index,
                                              Test);
    Summary.add(Trial.run());
  }
  return Summary;
}

} // namespace acacianotch::bench
