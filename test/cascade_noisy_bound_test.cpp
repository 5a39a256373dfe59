/// \file Bound on the cost of the cascade under noisy ratings.
#include "version_bounds.h"

#include <doctest/doctest.h>

using namespace acacianotch::bench;

// Guards against a cascade that buys too much quality when the rating service
// errs in 8% of its verdicts.
TEST_CASE("the cascade stays near the cost of hindsight with noisy ratings") {
  // Six seeds, as in version_bound_test.cpp, are too few: their mean is below
  // the bound, that of twenty is not.
  constexpr std::size_t Seeds = ChecksBounds ? 20 : 1;
  const auto Summary = boundCascade("noisy_ratings", Seeds);
  if (!ChecksBounds)
    return;
  CHECK(Summary.AboveTarget.mean() >= 0);
  CHECK(Summary.OverLargest.max() <= MostOverLargest);
  CHECK(Summary.OverHindsight.mean() <= MostOverHindsight);
}
