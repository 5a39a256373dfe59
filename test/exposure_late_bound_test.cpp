/// \file Bound on the exposure to a version that turns bad late.
#include "version_bounds.h"

#include <doctest/doctest.h>

using namespace acacianotch::bench;

// Guards against a single rollout in which a version that turns bad at the
// second share reaches more than 50 requests.
TEST_CASE(
    "no rollout exposes over 50 requests to a version that turns bad late") {
  const auto Summary = boundRollouts("turns_bad_at_5_percent");
  if (!ChecksBounds)
    return;
  CHECK(Summary.Stops == BoundRollouts);
  CHECK(Summary.Exposed.max() <= MostExposed);
}
