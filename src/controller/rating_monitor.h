/// \file Detects a rating service that is gone or wrong.
#pragma once

#include "board/cascade_board.h"

namespace acacianotch {

/// Records whether an ordered rating arrived and updates the health.
auto observeArrival(rating_record &Record, bool Arrived) -> void;

/// Records the verdict of a rating and updates the health. \p Expected is the
/// pass rate that older, trusted ratings or the catalogue predict.
auto observeVerdict(rating_record &Record, bool Passed, double Expected)
    -> void;

/// Records the verdict of a rating against the estimate in use.
/// \return whether the estimates no longer hold over all requests.
[[nodiscard]] auto observeDrift(rating_record &Record, bool Passed,
                                double Estimate) -> bool;

} // namespace acacianotch
