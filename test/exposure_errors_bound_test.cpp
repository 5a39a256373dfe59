/// \file Bound on the exposure to a version with 21% errors.
#include "version_bounds.h"

#include <doctest/doctest.h>

using namespace acacianotch::bench;

// Guards against any rollout in which a version that fails one request in five
// serves more than 50 requests.
TEST_CASE("no rollout exposes over 50 requests to a version with 21% errors") {
  const auto Summary = boundRollouts("errors");
  if (!ChecksBounds)
    return;
  CHECK(Summary.Stops == BoundRollouts);
  CHECK(Summary.Exposed.max() <= MaxExposedRequests);
}
