/// \file Estimates of pass rates from ratings and the catalogue.
#include "controller/cascade_estimate.h"

#include <algorithm>
#include <cmath>

namespace acacianotch {

namespace {

// Weight of the prior against a candidate's own ratings, in ratings.
constexpr double PassPriorWeight = 40;
constexpr double ConditionalPriorWeight = 10;
// Precision of the prior that the catalogue's error, or a cell's ease, is 0:
// equal to about 50 and 10 ratings at a pass rate of 0.88.
constexpr double CatalogueErrorPrecision = 5;
constexpr double EasePrecision = 1;
constexpr int FitRounds = 5;
constexpr double ConfirmPrior = 0.95;
// Requests whose first answer failed its rating are harder than the average.
constexpr double EscalationLogit = -0.7;

auto logit(double Rate) -> double {
  const double Clamped = std::clamp(Rate, 0.01, 0.99);
  return std::log(Clamped / (1 - Clamped));
}

auto fromLogit(double Value) -> double { return 1 / (1 + std::exp(-Value)); }

auto blendWithPrior(const pass_rate &Rate, double Prior, double PriorWeight)
    -> rate_estimate {
  const double Weight = Rate.weight() + PriorWeight;
  const double Mean =
      ((Rate.mean() * Rate.weight()) + (Prior * PriorWeight)) / Weight;
  // One pseudo-count each for pass and failure keeps the variance above 0 when
  // all ratings agree.
  const double SmoothedMean = ((Mean * Weight) + 1) / (Weight + 2);
  return {Mean, SmoothedMean * (1 - SmoothedMean) / (Weight + 1)};
}

/// Weighted mean of residuals, shrunk towards 0.
struct residual_mean {
  double Sum = 0;
  double Precision = 0;

  auto add(const pass_rate &Pass, double Predicted) -> void {
    // The variance of a logit is 1 / (n p (1 - p)).
    const double Rate = std::clamp(Pass.mean(), 0.02, 0.98);
    const double Weight = Pass.weight() * Rate * (1 - Rate);
    Sum += Weight * (logit(Rate) - Predicted);
    Precision += Weight;
  }
  [[nodiscard]] auto value(double PriorPrecision) const -> double {
    return Sum / (Precision + PriorPrecision);
  }
};

auto fitCells(const cascade_board &Board, quality_model &Model) -> void {
  for (std::size_t Cell = 0; Cell < Board.Cells.size(); ++Cell) {
    residual_mean Ease;
    for (std::size_t Index = 0; Index < Model.Candidates.size(); ++Index)
      Ease.add(Board.Cells[Cell].Records[Index].Pass, Model.Candidates[Index]);
    Model.Cells[Cell] = Ease.value(EasePrecision);
  }
}

auto fitCandidates(const cascade_board &Board, quality_model &Model) -> void {
  for (std::size_t Index = 0; Index < Model.Candidates.size(); ++Index) {
    const double CatalogueLogit = logit(Board.Candidates[Index].Quality);
    residual_mean CatalogueError;
    for (std::size_t Cell = 0; Cell < Board.Cells.size(); ++Cell)
      CatalogueError.add(Board.Cells[Cell].Records[Index].Pass,
                         CatalogueLogit + Model.Cells[Cell]);
    Model.Candidates[Index] =
        CatalogueLogit + CatalogueError.value(CatalogueErrorPrecision);
  }
}

} // namespace

auto fitQuality(const cascade_board &Board) -> quality_model {
  quality_model Model;
  Model.Cells.resize(Board.Cells.size());
  for (const auto &Candidate : Board.Candidates)
    Model.Candidates.push_back(logit(Candidate.Quality));
  for (int Round = 0; Round < FitRounds; ++Round) {
    fitCells(Board, Model);
    fitCandidates(Board, Model);
  }
  return Model;
}

auto estimateCell(const cascade_board &Board, std::size_t Index,
                  const quality_model &Model)
    -> std::vector<candidate_estimate> {
  const auto Count = Board.Candidates.size();
  std::vector<candidate_estimate> Estimates(Count);
  const auto Expected = [&](std::size_t Candidate, double LogitOffset) {
    return fromLogit(Model.Candidates[Candidate] + Model.Cells[Index] +
                     LogitOffset);
  };
  for (std::size_t First = 0; First < Count; ++First) {
    const auto &Record = Board.Cells[Index].Records[First];
    auto &Estimate = Estimates[First];
    Estimate.Pass =
        blendWithPrior(Record.Pass, Expected(First, 0), PassPriorWeight);
    Estimate.Confirm =
        blendWithPrior(Record.Confirm, ConfirmPrior, ConditionalPriorWeight);
    for (std::size_t Second = 0; Second < Count; ++Second)
      Estimate.Escalated.push_back(blendWithPrior(
          Record.Escalated[Second], Expected(Second, EscalationLogit),
          ConditionalPriorWeight));
  }
  return Estimates;
}

} // namespace acacianotch
