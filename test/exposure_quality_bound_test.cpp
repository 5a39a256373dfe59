/// \file Bound on the exposure to a version with poor answers.
#include "version_bounds.h"

#include <doctest/doctest.h>

using namespace acacianotch::bench;

// Guards against a single rollout in which a version that answers badly in half
// of the cases reaches more than 50 requests.
TEST_CASE(
    "no rollout exposes over 50 requests to a version with poor answers") {
  const auto Summary = boundRollouts("quality");
  if (!ChecksBounds)
    return;
  CHECK(Summary.Stops == BoundRollouts);
  CHECK(Summary.Exposed.max() <= MostExposed);
}
