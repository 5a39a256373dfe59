/// \file Bound on the exposure to a version that is slow in one class.
#include "version_bounds.h"

#include <doctest/doctest.h>

using namespace acacianotch::bench;

// Guards against any rollout in which a version that is 2.5 times slower in one
// class serves more than 50 requests.
TEST_CASE("no rollout exposes over 50 requests to a version that is slow in "
          "one class") {
  const auto Summary = boundRollouts("class_slow");
  if (!ChecksBounds)
    return;
  CHECK(Summary.Stops == BoundRollouts);
  CHECK(Summary.Exposed.max() <= MaxExposedRequests);
}
