/// \file The cases that the policy benchmark measures and the bound test
/// checks.
#pragma once

#include "policy_scenario.h"

#include <string>
#include <vector>

namespace acacianotch::policy {

/// Bounds of design section 1.4.
constexpr double ShortBesideLongBound = 1.2;
constexpr double OverloadGoodputBound = 0.95;
constexpr double SlowedBound = 1.5;

/// Short work alone, with random pauses of a few seconds.
inline auto shortAlone() -> scenario {
  scenario Scenario;
  Scenario.ShortDemand = 0.35;
  Scenario.PauseShare = 0.2;
  return Scenario;
}

/// The same with long work whose demand alone equals the capacity.
inline auto shortBesideLong() -> scenario {
  auto Scenario = shortAlone();
  Scenario.LongDemand = 1.0;
  return Scenario;
}

/// Five times the capacity.
inline auto overload() -> scenario {
  scenario Scenario;
  Scenario.ShortDemand = 5.0;
  return Scenario;
}

/// Five times the capacity of short and long work together.
inline auto mixedOverload() -> scenario {
  scenario Scenario;
  Scenario.ShortDemand = 2.5;
  Scenario.LongDemand = 2.5;
  return Scenario;
}

/// Demand that changes within seconds between a third of the capacity and
/// five times the capacity.
inline auto spikes() -> scenario {
  scenario Scenario;
  Scenario.ShortDemand = 5.0;
  Scenario.LowDemandFactor = 0.07;
  return Scenario;
}

/// Moderate demand on healthy backend servers.
inline auto healthy() -> scenario {
  scenario Scenario;
  Scenario.ShortDemand = 0.6;
  return Scenario;
}

/// The same with a tenth of the backend servers 10 times slower, a different
/// tenth every 10 seconds.
inline auto slowed() -> scenario {
  auto Scenario = healthy();
  Scenario.SlowShare = 0.1;
  return Scenario;
}

/// One benchmark case: a scenario under the policies or under a baseline.
struct policy_case {
  std::string Name;
  std::string Policy;
  scenario Scenario;
};

/// \return \p Scenario under the policies with \p Change applied.
template <typename change>
auto baseline(scenario Scenario, change Change) -> scenario {
  Change(Scenario.Choice);
  return Scenario;
}

inline auto roundRobin(policy_choice &Choice) -> void {
  Choice.PlacementMode = placement_mode::round_robin;
  Choice.Outliers = false;
  Choice.Hedging = false;
}

inline auto leastOutstanding(policy_choice &Choice) -> void {
  Choice.PlacementMode = placement_mode::least_outstanding;
  Choice.Outliers = false;
  Choice.Hedging = false;
}

inline auto noAdmission(policy_choice &Choice) -> void {
  Choice.Admission = false;
}

inline auto noHedging(policy_choice &Choice) -> void { Choice.Hedging = false; }

inline auto noOutliers(policy_choice &Choice) -> void {
  Choice.Outliers = false;
}

inline auto noLongCap(policy_choice &Choice) -> void { Choice.LongCap = false; }

inline auto noAffinity(policy_choice &Choice) -> void {
  Choice.Affinity = false;
}

/// \return all cases of the benchmark.
inline auto allCases() -> std::vector<policy_case> {
  return {
      {"short_alone", "policy", shortAlone()},
      {"short_beside_long", "policy", shortBesideLong()},
      {"short_beside_long", "no_long_cap",
       baseline(shortBesideLong(), noLongCap)},
      {"overload", "policy", overload()},
      {"overload", "no_admission", baseline(overload(), noAdmission)},
      {"overload", "round_robin", baseline(overload(), roundRobin)},
      {"overload", "least_outstanding", baseline(overload(), leastOutstanding)},
      {"mixed_overload", "policy", mixedOverload()},
      {"mixed_overload", "no_admission",
       baseline(mixedOverload(), noAdmission)},
      {"spikes", "policy", spikes()},
      {"spikes", "no_admission", baseline(spikes(), noAdmission)},
      {"healthy", "policy", healthy()},
      {"healthy", "round_robin", baseline(healthy(), roundRobin)},
      {"healthy", "least_outstanding", baseline(healthy(), leastOutstanding)},
      {"healthy", "no_affinity", baseline(healthy(), noAffinity)},
      {"slowed", "policy", slowed()},
      {"slowed", "no_hedging", baseline(slowed(), noHedging)},
      {"slowed", "no_outliers", baseline(slowed(), noOutliers)},
      {"slowed", "round_robin", baseline(slowed(), roundRobin)},
      {"slowed", "least_outstanding", baseline(slowed(), leastOutstanding)},
  };
}

/// \return the mean number of candidates and comparisons per placement
/// decision.
inline auto stepsPerDecision(int Backends, std::uint64_t Seed) -> double {
  constexpr int Decisions = 2'000;
  virtual_clock Clock;
  seeded_random Random(Seed);
  backend_board Board;
  std::vector<backend_handle> Members;
  Members.reserve(static_cast<std::size_t>(Backends));
  for (int Index = 0; Index < Backends; ++Index)
    Members.push_back(Board.put(
        {backend_id("b-" + std::to_string(Index)), zone_id("a"), 16, false}));
  placement<virtual_clock, seeded_random> Placement(
      Clock, Random, Board, node_id("entry"), zone_id("a"));
  Placement.update(Members);
  for (int Decision = 0; Decision < Decisions; ++Decision)
    (void)Placement.pick({Random(), {}, false});
  return static_cast<double>(Placement.steps()) / Decisions;
}

} // namespace acacianotch::policy
