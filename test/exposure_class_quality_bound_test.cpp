/// \file Bound on the exposure to a version with poor answers in one class.
#include "version_bounds.h"

#include <doctest/doctest.h>

using namespace acacianotch::bench;

// Guards against a single rollout in which a version that answers badly in one
// class reaches more than 50 requests.
TEST_CASE("no rollout exposes over 50 requests to a version with poor answers "
          "in one class") {
  const auto Summary = boundRollouts("class_quality");
  if (!ChecksBounds)
    return;
  CHECK(Summary.Stops == BoundRollouts);
  CHECK(Summary.Exposed.max() <= MostExposed);
}
