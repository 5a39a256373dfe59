/// \file Lowest-cost plans for a quality target.
#pragma once

#include "board/cascade_board.h"
#include "controller/cascade_estimate.h"

#include <span>
#include <vector>

namespace acacianotch {

/// A plan with its expected cost and quality in one cell.
struct plan_option {
  cascade_plan Plan;
  double Cost = 0;     ///< Micro-units per request, with ratings.
  double Quality = 0;  ///< Expected share of passed answers.
  double Variance = 0; ///< Variance of Quality as an estimate.
};

/// The options of one cell.
struct cell_options {
  double Weight = 0; ///< Share of traffic; any scale.
  std::vector<plan_option> Options;
};

/// Plans for all cells.
struct plan_choice {
  std::vector<cascade_mix> Mixes; ///< One per cell.
  double Cost = 0;                ///< Expected micro-units per request.
  double Quality = 0;             ///< Expected share of passed answers.
  double Deviation = 0;           ///< Standard deviation of Quality.
  double Slope = 0; ///< Extra cost per extra quality; 0 if none is for sale.
};

/// Minimises expected cost subject to an expected quality of at least
/// \p Target over all cells. If no plan reaches it, maximises quality. At most
/// one cell gets two plans.
[[nodiscard]] auto choosePlans(std::span<const cell_options> Cells,
                               double Target) -> plan_choice;

/// As choosePlans(), but keeps \p Deviations standard deviations of the
/// quality estimate above the target.
[[nodiscard]] auto choosePlansSafely(std::span<const cell_options> Cells,
                                     double Target, double Deviations)
    -> plan_choice;

/// \return the options of cell \p Index under the state of \p Board: all plans
/// while ratings are trusted, single candidates with a safety margin otherwise.
[[nodiscard]] auto planOptions(const cascade_board &Board, std::size_t Index,
                               const quality_model &Model) -> cell_options;

/// Writes the mix of every cell of \p Board, and the number of ratings that
/// repay their cost.
auto replan(cascade_board &Board) -> void;

} // namespace acacianotch
