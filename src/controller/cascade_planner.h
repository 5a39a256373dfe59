/// \file Selection of the lowest-cost plans for a quality target.
#pragma once

#include "board/cascade_board.h"
#include "controller/cascade_estimate.h"

#include <span>
#include <vector>

namespace acacianotch {

/// A plan with its expected cost and quality in one cell.
struct plan_option {
  cascade_plan Plan;
  double Cost = 0;     ///< Micro-units per request, including ratings.
  double Quality = 0;  ///< Expected share of passed answers.
  double Variance = 0; ///< Variance of Quality as an estimate.
};

/// The options of one cell.
struct cell_options {
  double Weight = 0; ///< Relative traffic, in any unit.
  std::vector<plan_option> Options;
};

/// Plans for all cells.
struct plan_choice {
  std::vector<cascade_mix> Mixes; ///< One per cell.
  double Cost = 0;                ///< Expected micro-units per request.
  double Quality = 0;             ///< Expected share of passed answers.
  double Deviation = 0;           ///< Standard deviation of Quality.
  /// Extra cost per extra quality; 0 if no better plan is available or needed.
  double MarginalCost = 0;
};

/// Minimises the expected cost subject to an expected quality of at least
/// \p Target over all cells. If the target is unreachable, maximises quality.
/// At most one cell gets a mix of two plans.
[[nodiscard]] auto choosePlans(std::span<const cell_options> Cells,
                               double Target) -> plan_choice;

/// As choosePlans(), with a safety margin of \p Deviations standard deviations
/// of the quality estimate above the target.
[[nodiscard]] auto choosePlansWithMargin(std::span<const cell_options> Cells,
                                         double Target, double Deviations)
    -> plan_choice;

/// \return the options of cell \p Index: all plans while ratings are trusted,
/// otherwise single candidates with the fallback margin.
[[nodiscard]] auto planOptions(const cascade_board &Board, std::size_t Index,
                               const quality_model &Model) -> cell_options;

/// Updates the plans and the rating goals of all cells of \p Board.
auto replan(cascade_board &Board) -> void;

} // namespace acacianotch
