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

/// Pass rates as logits: the catalogue's estimate, plus the candidate's error
/// against it, plus how much easier the cell is than others.
struct quality_model {
  std::vector<double> Candidates; ///< Catalogue's logit and error.
  std::vector<double> Cells;      ///< Ease of each cell.
};

/// Fits the model to all ratings of \p Board.
[[nodiscard]] auto fitQuality(const cascade_board &Board) -> quality_model;

/// \return one estimate per candidate of cell \p Index. Candidates with few
/// ratings in the cell follow \p Model.
[[nodiscard]] auto estimateCell(const cascade_board &Board, std::size_t Index,
                                const quality_model &Model)
    -> std::vector<candidate_estimate>;

} // namespace acacianotch
