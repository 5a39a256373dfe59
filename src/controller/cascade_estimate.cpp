/// \file Estimates of pass rates from ratings and the catalogue.
#include "controller/cascade_estimate.h"

#include <algorithm>
#include <cmath>

namespace acacianotch {

namespace {

// Ratings that an expectation is worth against a candidate's own ratings.
constexpr double PassPriorWeight = 40;
constexpr double OtherPriorWeight = 10;
// Ratings that the catalogue's estimate is worth against the cell's offset.
constexpr double OffsetPriorWeight = 10;
constexpr double ConfirmPrior = 0.95;
// An answer that follows a low rating belongs to a harder request than usual.
constexpr double RescueLogit = -0.7;

auto logit(double Rate) -> double {
  const double Clamped = std::clamp(Rate, 0.01, 0.99);
  return std::log(Clamped / (1 - Clamped));
}

auto fromLogit(double Value) -> double { return 1 / (1 + std::exp(-Value)); }

auto blend(const pass_rate &Rate, double Prior, double PriorWeight)
    -> rate_estimate {
  const double Weight = Rate.weight() + PriorWeight;
  const double Mean =
      ((Rate.mean() * Rate.weight()) + (Prior * PriorWeight)) / Weight;
  // One imaginary pass and failure keep the variance above 0 when all ratings
  // agree.
  const double Smooth = ((Mean * Weight) + 1) / (Weight + 2);
  return {Mean, Smooth * (1 - Smooth) / (Weight + 1)};
}

/// How much easier the cell is than the catalogue's estimates say, as a logit.
auto cellOffset(const cascade_board &Board, const cascade_cell &Cell)
    -> double {
  double Sum = 0;
  double Total = 0;
  for (std::size_t Index = 0; Index < Cell.Records.size(); ++Index) {
    const auto &Pass = Cell.Records[Index].Pass;
    const double Known = logit(Board.Candidates[Index].Quality);
    // The variance of a logit is 1 / (n p (1 - p)).
    const double Rate = std::clamp(Pass.mean(), 0.02, 0.98);
    const double Weight = Pass.weight() * Rate * (1 - Rate);
    Sum += Weight * (logit(Pass.mean()) - Known);
    Total += Weight;
  }
  return Sum / (Total + (OffsetPriorWeight * 0.1));
}

} // namespace

auto estimateCell(const cascade_board &Board, const cascade_cell &Cell)
    -> std::vector<candidate_estimate> {
  const double Offset = cellOffset(Board, Cell);
  const auto Count = Board.Candidates.size();
  std::vector<double> Expected;
  for (const auto &Candidate : Board.Candidates)
    Expected.push_back(logit(Candidate.Quality) + Offset);
  std::vector<candidate_estimate> Estimates(Count);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const auto &Record = Cell.Records[Index];
    auto &Estimate = Estimates[Index];
    Estimate.Pass =
        blend(Record.Pass, fromLogit(Expected[Index]), PassPriorWeight);
    Estimate.Confirm = blend(Record.Confirm, ConfirmPrior, OtherPriorWeight);
    for (std::size_t Other = 0; Other < Count; ++Other)
      Estimate.Rescue.push_back(blend(Record.Rescue[Other],
                                      fromLogit(Expected[Other] + RescueLogit),
                                      OtherPriorWeight));
  }
  return Estimates;
}

} // namespace acacianotch
