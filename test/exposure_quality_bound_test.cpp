/// \file Bound on the exposure to a version with poor answers.
#include "version_bounds.h"

#include <doctest/doctest.h>

using namespace acacianotch::bench;

// Guards against any rollout in which a version with poor answers to half of
// the requests serves more than 50 requests.
TEST_CASE(
    "no rollout exposes over 50 requests to a version with poor answers") {
  const auto Summary = boundRollouts("quality");
  if (!ChecksBounds)
    return;
  CHECK(Summary.Stops == BoundRollouts);
  CHECK(Summary.Exposed.max() <= MaxExposedRequests);
}
