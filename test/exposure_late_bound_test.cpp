/// \file Bound on the exposure to a version that becomes bad in a later stage.
#include "version_bounds.h"

#include <doctest/doctest.h>

using namespace acacianotch::bench;

// Guards against any rollout in which a version that becomes bad in the second
// stage serves more than 50 requests from then on.
TEST_CASE(
    "no rollout exposes over 50 requests to a version that turns bad late") {
  const auto Summary = boundRollouts("turns_bad_at_5_percent");
  if (!ChecksBounds)
    return;
  CHECK(Summary.Stops == BoundRollouts);
  CHECK(Summary.Exposed.max() <= MaxExposedRequests);
}
