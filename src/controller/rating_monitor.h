/// \file Health of the rating service: detects missing and implausible ratings.
#pragma once

#include "board/cascade_board.h"

namespace acacianotch {

/// Records whether a requested rating arrived and updates the health.
auto observeArrival(rating_record &Record, bool Arrived) -> void;

/// Records the verdict of a rating and updates the health. \p Expected is the
/// pass rate predicted by older, trusted ratings or by the catalogue.
auto observeVerdict(rating_record &Record, bool Passed, double Expected)
    -> void;

/// Records the verdict of a rating and the current \p Estimate of its pass
/// rate. \return whether pass rates over all requests have drifted from the
/// estimates.
[[nodiscard]] auto observeDrift(rating_record &Record, bool Passed,
                                double Estimate) -> bool;

} // namespace acacianotch
