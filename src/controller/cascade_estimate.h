/// \file Estimates of pass rates from ratings and the catalogue.
#pragma once

#include "board/cascade_board.h"

#include <vector>

namespace acacianotch {

/// Estimate of a pass rate with its variance.
struct rate_estimate {
  double Mean = 0;     ///< 0..1.
  double Variance = 0; ///< Of Mean as an estimate.
};

/// Estimates for one candidate in one cell.
struct candidate_estimate {
  rate_estimate Pass;                   ///< See candidate_record.
  rate_estimate Confirm;                ///< See candidate_record.
  std::vector<rate_estimate> Escalated; ///< See candidate_record.
};

/// Additive model of the logits of pass rates: the catalogue's estimate, plus
/// its error for the candidate, plus the ease of the cell relative to other
/// cells.
struct quality_model {
  std::vector<double> Candidates; ///< Catalogue's logit plus its error.
  std::vector<double> Cells;      ///< Ease of each cell, as a logit.
};

/// Fits the model to all ratings in \p Board.
[[nodiscard]] auto fitQuality(const cascade_board &Board) -> quality_model;

/// \return one estimate per candidate of cell \p Index. With few ratings in the
/// cell, the estimate of a candidate is close to that of \p Model.
[[nodiscard]] auto estimateCell(const cascade_board &Board, std::size_t Index,
                                const quality_model &Model)
    -> std::vector<candidate_estimate>;

} // namespace acacianotch
