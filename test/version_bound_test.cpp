/// \file Bounds on the cascade and on version tests, from the design page.
#include "version_bounds.h"

#include <doctest/doctest.h>

using namespace acacianotch;
using namespace acacianotch::bench;

// Guards against a cascade that pays for more quality than the target, or that
// reduces the cost by missing the target. cascade_noisy_bound_test.cpp checks
// noisy ratings.
TEST_CASE(
    "the cascade meets the target at little more than the cost of the best "
    "plan in hindsight") {
  for (const auto *Name : {"steady", "drift", "wrong_estimates",
                           "failing_ratings", "slow_ratings"}) {
    CAPTURE(Name);
    const auto Summary = boundCascade(Name);
    if (!ChecksBounds)
      continue;
    CHECK(Summary.QualityAboveTarget.mean() >= 0);
    CHECK(Summary.CostOverLargest.max() <= MaxCostOverLargest);
    CHECK(Summary.CostOverHindsight.mean() <= MaxCostOverHindsight);
  }
}

// Guards against trusting a rating service that is absent or wrong: every trial
// must meet the target, at no more than half the cost of the largest model.
TEST_CASE("the cascade meets the target without a usable rating service") {
  for (const auto *Name :
       {"ratings_gone", "ratings_inverted", "ratings_all_pass",
        "ratings_all_fail", "never_rated"}) {
    CAPTURE(Name);
    const auto Summary = boundCascade(Name);
    if (!ChecksBounds)
      continue;
    CHECK(Summary.QualityAboveTarget.min() >= 0);
    CHECK(Summary.CostOverLargest.max() <= MaxCostOverLargest);
  }
}

// Guards against a bad version that serves many requests before the stop.
// Versions that can exceed 50 requests by chance are checked in
// exposure_*_bound_test.cpp.
TEST_CASE("a clearly bad version is stopped within 50 requests") {
  for (const auto *Name : {"broken", "class_broken", "slow"}) {
    CAPTURE(Name);
    const auto Summary = boundRollouts(Name);
    if (!ChecksBounds)
      continue;
    CHECK(Summary.Stops == BoundRollouts);
    CHECK(Summary.Exposed.max() <= MaxExposedRequests);
  }
}

// Guards against a version test that detects a kind of bad version late or
// never, including kinds for which single rollouts exceed the bound by chance.
TEST_CASE("every bad version is stopped, on average within 50 requests") {
  for (const auto &Scenario : versionScenarios()) {
    if (!Scenario.Bad)
      continue;
    CAPTURE(Scenario.Name);
    const auto Summary = boundRollouts(Scenario.Name);
    if (!ChecksBounds)
      continue;
    CHECK(Summary.Stops == BoundRollouts);
    CHECK(Summary.Exposed.mean() <= MaxExposedRequests);
  }
}

// Guards against stopping a version that is as good as its predecessor, also
// while a fault affects both versions. The benchmark runs enough rollouts to
// measure a false stop rate of 1 in 1,000.
TEST_CASE("no good version is stopped") {
  for (const auto &Scenario : versionScenarios()) {
    if (Scenario.Bad)
      continue;
    CAPTURE(Scenario.Name);
    const auto Summary = boundRollouts(Scenario.Name);
    if (!ChecksBounds)
      continue;
    CHECK(Summary.Stops == 0);
    CHECK(Summary.Finished == BoundRollouts);
  }
}
