/// \file Estimates of pass rates from ratings and the catalogue.
#pragma once

#include "board/cascade_board.h"

#include <vector>

namespace acacianotch {

/// A pass rate with its uncertainty.
struct rate_estimate {
  double Mean = 0;     ///< 0..1.
  double Variance = 0; ///< Of Mean.
};

/// Estimates for one candidate in one cell.
struct candidate_estimate {
  rate_estimate Pass;                ///< See candidate_record.
  rate_estimate Confirm;             ///< See candidate_record.
  std::vector<rate_estimate> Rescue; ///< See candidate_record.
};

/// \return one estimate per candidate of \p Cell. Candidates with few ratings
/// follow the others: a cell is as much harder or easier for them as it is for
/// those with many.
[[nodiscard]] auto estimateCell(const cascade_board &Board,
                                const cascade_cell &Cell)
    -> std::vector<candidate_estimate>;

} // namespace acacianotch
