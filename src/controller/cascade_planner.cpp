/// \file Selection of the lowest-cost plans for a quality target.
#include "controller/cascade_planner.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

namespace acacianotch {

namespace {

using option_list = std::vector<plan_option>;

/// Edge of a cell's hull: the upgrade from one option to the next better one.
struct hull_edge {
  std::size_t Cell = 0;
  std::size_t To = 0; ///< Index of the better option in the hull.
  double Cost = 0;    ///< Extra cost over all traffic.
  double Quality = 0; ///< Extra quality over all traffic.
};

auto slope(const plan_option &From, const plan_option &To) -> double {
  return (To.Cost - From.Cost) / (To.Quality - From.Quality);
}

/// \return the options on the lower convex hull of cost over quality. Any other
/// option costs at least as much as a mix of two options on the hull.
auto convexHull(option_list Options) -> option_list {
  std::sort(Options.begin(), Options.end(), [](const auto &A, const auto &B) {
    return A.Cost != B.Cost ? A.Cost < B.Cost : A.Quality > B.Quality;
  });
  option_list Hull;
  for (const auto &Option : Options) {
    if (!Hull.empty() && Option.Quality <= Hull.back().Quality)
      continue;
    while (Hull.size() > 1 && slope(Hull[Hull.size() - 2], Hull.back()) >=
                                  slope(Hull.back(), Option))
      Hull.pop_back();
    Hull.push_back(Option);
  }
  return Hull;
}

auto totalWeight(std::span<const cell_options> Cells) -> double {
  double Total = 0;
  for (const auto &Cell : Cells)
    Total += Cell.Weight;
  return Total;
}

auto sortedHullEdges(const std::vector<option_list> &Hulls,
                     std::span<const cell_options> Cells, double Total)
    -> std::vector<hull_edge> {
  std::vector<hull_edge> Edges;
  for (std::size_t Cell = 0; Cell < Hulls.size(); ++Cell) {
    const auto &Hull = Hulls[Cell];
    const double Share = Cells[Cell].Weight / Total;
    for (std::size_t To = 1; To < Hull.size(); ++To)
      Edges.push_back({Cell, To, Share * (Hull[To].Cost - Hull[To - 1].Cost),
                       Share * (Hull[To].Quality - Hull[To - 1].Quality)});
  }
  // Slopes increase along a hull, so sorting preserves the order of its edges.
  std::stable_sort(Edges.begin(), Edges.end(),
                   [](const auto &A, const auto &B) {
                     return A.Cost * B.Quality < B.Cost * A.Quality;
                   });
  return Edges;
}

/// Selected option of each cell on its hull; one cell may mix two options.
struct hull_position {
  std::vector<std::size_t> At;
  std::size_t MixedCell = 0;
  double MixedShare = 0; ///< Share of the next option in MixedCell.
  double MarginalCost = 0;
};

/// Starts with the cheapest option of each cell and follows the edges in the
/// order of their slopes until the expected quality reaches \p Target.
auto upgradeToTarget(const std::vector<option_list> &Hulls,
                     std::span<const cell_options> Cells, double Target)
    -> hull_position {
  const double Total = totalWeight(Cells);
  hull_position Position{std::vector<std::size_t>(Hulls.size()), 0, 0, 0};
  double Quality = 0;
  for (std::size_t Cell = 0; Cell < Hulls.size(); ++Cell)
    Quality += Cells[Cell].Weight / Total * Hulls[Cell].front().Quality;
  for (const auto &Edge : sortedHullEdges(Hulls, Cells, Total)) {
    if (Quality >= Target || Edge.Quality <= 0)
      break;
    Position.MarginalCost = Edge.Cost / Edge.Quality;
    if (Quality + Edge.Quality > Target) {
      Position.MixedCell = Edge.Cell;
      Position.MixedShare = (Target - Quality) / Edge.Quality;
      break;
    }
    Position.At[Edge.Cell] = Edge.To;
    Quality += Edge.Quality;
  }
  return Position;
}

auto toPlanChoice(const std::vector<option_list> &Hulls,
                  std::span<const cell_options> Cells,
                  const hull_position &Position) -> plan_choice {
  plan_choice Choice;
  const double Total = totalWeight(Cells);
  double Variance = 0;
  for (std::size_t Cell = 0; Cell < Hulls.size(); ++Cell) {
    const auto &Hull = Hulls[Cell];
    const auto At = Position.At[Cell];
    const bool IsMixed = Position.MixedShare > 0 && Cell == Position.MixedCell;
    const double Upgraded = IsMixed ? Position.MixedShare : 0;
    const auto &Main = Hull[At];
    const auto &Next = Hull[IsMixed ? At + 1 : At];
    const double Share = Cells[Cell].Weight / Total;
    Choice.Mixes.push_back({Main.Plan, Next.Plan, Upgraded});
    Choice.Cost +=
        Share * (((1 - Upgraded) * Main.Cost) + (Upgraded * Next.Cost));
    Choice.Quality +=
        Share * (((1 - Upgraded) * Main.Quality) + (Upgraded * Next.Quality));
    Variance += Share * Share *
                (((1 - Upgraded) * Main.Variance) + (Upgraded * Next.Variance));
  }
  Choice.Deviation = std::sqrt(Variance);
  Choice.MarginalCost = Position.MarginalCost;
  return Choice;
}

auto chooseOnHulls(const std::vector<option_list> &Hulls,
                   std::span<const cell_options> Cells, double Target)
    -> plan_choice {
  return toPlanChoice(Hulls, Cells, upgradeToTarget(Hulls, Cells, Target));
}

auto convexHulls(std::span<const cell_options> Cells)
    -> std::vector<option_list> {
  std::vector<option_list> Hulls;
  for (const auto &Cell : Cells) {
    assert(!Cell.Options.empty());
    Hulls.push_back(convexHull(Cell.Options));
  }
  return Hulls;
}

auto candidateCost(const cascade_board &Board, const cascade_cell &Cell,
                   std::size_t Index) -> double {
  const auto &Candidate = Board.Candidates[Index];
  return ((Cell.InputTokens * Candidate.InputCost) +
          (Cell.OutputTokens * Candidate.OutputCost)) /
         1000;
}

auto singleOption(const cascade_board &Board, const cascade_cell &Cell,
                  const std::vector<candidate_estimate> &Estimates,
                  std::size_t Index) -> plan_option {
  const auto &Pass = Estimates[Index].Pass;
  return {{Index, std::nullopt, false},
          candidateCost(Board, Cell, Index),
          Pass.Mean,
          Pass.Variance};
}

/// \return the option of a single candidate while ratings are not trusted. Its
/// quality is the lower of the catalogue's value and the estimate, less the
/// fallback margin.
auto fallbackOption(const cascade_board &Board, const cascade_cell &Cell,
                    const std::vector<candidate_estimate> &Estimates,
                    std::size_t Index) -> plan_option {
  auto Option = singleOption(Board, Cell, Estimates, Index);
  const double CatalogueQuality = Board.Candidates[Index].Quality;
  Option.Quality = std::min(CatalogueQuality, Option.Quality) -
                   Board.Settings.FallbackMargin;
  Option.Variance = 0;
  return Option;
}

auto escalationOption(const cascade_board &Board, const cascade_cell &Cell,
                      const std::vector<candidate_estimate> &Estimates,
                      const cascade_plan &Plan) -> plan_option {
  const auto &[Pass, Confirm, EscalatedPerCandidate] = Estimates[Plan.First];
  const auto Second = *Plan.Escalation;
  const auto &Escalated = EscalatedPerCandidate[Second];
  const double Missing = Board.Rating.MissingShare;
  const double RatedShare = 1 - Missing;
  const double UnratedQuality =
      Plan.EscalateUnrated ? Estimates[Second].Pass.Mean : Pass.Mean;
  const double EscalatedShare =
      (RatedShare * (1 - Pass.Mean)) + (Plan.EscalateUnrated ? Missing : 0);
  plan_option Option{Plan, 0, 0, 0};
  Option.Cost = candidateCost(Board, Cell, Plan.First) +
                Board.Settings.RatingCost +
                (EscalatedShare * candidateCost(Board, Cell, Second));
  Option.Quality = (RatedShare * ((Pass.Mean * Confirm.Mean) +
                                  ((1 - Pass.Mean) * Escalated.Mean))) +
                   (Missing * UnratedQuality);
  const auto Square = [](double Value) { return Value * Value; };
  Option.Variance = (Square(Confirm.Mean - Escalated.Mean) * Pass.Variance) +
                    (Square(Pass.Mean) * Confirm.Variance) +
                    (Square(1 - Pass.Mean) * Escalated.Variance);
  return Option;
}

} // namespace

auto choosePlans(std::span<const cell_options> Cells, double Target)
    -> plan_choice {
  return chooseOnHulls(convexHulls(Cells), Cells, Target);
}

auto choosePlansWithMargin(std::span<const cell_options> Cells, double Target,
                           double Deviations) -> plan_choice {
  const auto Hulls = convexHulls(Cells);
  auto Choice = chooseOnHulls(Hulls, Cells, Target);
  // The margin depends on the plans and the plans on the margin. After a few
  // rounds its changes are small against the margin itself.
  for (int Round = 0; Round < 3; ++Round)
    Choice =
        chooseOnHulls(Hulls, Cells, Target + (Deviations * Choice.Deviation));
  return Choice;
}

auto planOptions(const cascade_board &Board, std::size_t Index,
                 const quality_model &Model) -> cell_options {
  const auto &Cell = Board.Cells[Index];
  cell_options Result{Cell.Traffic, {}};
  const auto Estimates = estimateCell(Board, Index, Model);
  const auto Count = Board.Candidates.size();
  const bool Trusted = Board.Rating.Health == rating_health::trusted;
  for (std::size_t First = 0; First < Count; ++First)
    Result.Options.push_back(
        Trusted ? singleOption(Board, Cell, Estimates, First)
                : fallbackOption(Board, Cell, Estimates, First));
  if (!Trusted || Cell.Streaming)
    return Result;
  for (std::size_t First = 0; First < Count; ++First)
    for (std::size_t Second = First + 1; Second < Count; ++Second)
      for (const bool EscalateUnrated : {false, true})
        Result.Options.push_back(escalationOption(
            Board, Cell, Estimates, {First, Second, EscalateUnrated}));
  return Result;
}

namespace {

/// Sets for each cell the number of ratings that repay their cost. In a cell
/// with share W of the traffic, variance V per rating and N ratings, one more
/// rating reduces the standard deviation D of the estimated quality by
/// W^2 V / (2 N^2 D). This reduces the safety margin, and thereby the cost of
/// all requests until the rating is outdated.
auto setRatingGoals(cascade_board &Board, const plan_choice &Choice) -> void {
  constexpr double Horizon = 100'000; // requests
  constexpr double MinGoal = 60;      // ratings
  constexpr double MaxGoal = 8'000;   // ratings
  const auto &Settings = Board.Settings;
  double Traffic = 0;
  for (const auto &Cell : Board.Cells)
    Traffic += Cell.Traffic;
  const double Gain = Horizon * Choice.MarginalCost * Settings.SafetyDeviations;
  const double Price = 2 * std::max(Choice.Deviation, 1e-4) *
                       std::max(Settings.RatingCost, 1e-3);
  const double Goal = std::sqrt(Gain / Price);
  for (auto &Cell : Board.Cells)
    Cell.RatingGoal =
        std::clamp(Cell.Traffic / Traffic * Goal, MinGoal, MaxGoal);
}

/// \return the cost of \p Option less the value of its quality at
/// \p MarginalCost.
auto netCost(const plan_option &Option, double MarginalCost) -> double {
  return Option.Cost - (MarginalCost * Option.Quality);
}

auto sameAttempts(const cascade_plan &A, const cascade_plan &B) -> bool {
  return A.First == B.First && A.Escalation == B.Escalation;
}

/// Selects the plan to explore by an optimistic bound. By the estimates, the
/// plan costs more than the one in use; it costs less if its quality is two
/// standard deviations higher than estimated.
auto selectExploration(cascade_cell &Cell, const cell_options &Options,
                       double MarginalCost) -> void {
  constexpr double OptimismDeviations = 2;
  double CurrentCost = std::numeric_limits<double>::max();
  for (const auto &Option : Options.Options) {
    CurrentCost = std::min(CurrentCost, netCost(Option, MarginalCost));
    if (Option.Plan == Cell.Mix.Main)
      Cell.ExpectedCost = Option.Cost;
  }
  double BestCost = CurrentCost;
  Cell.Exploration.reset();
  for (const auto &Option : Options.Options) {
    const double NetCost = netCost(Option, MarginalCost);
    const double OptimisticCost = NetCost - (OptimismDeviations * MarginalCost *
                                             std::sqrt(Option.Variance));
    if (sameAttempts(Option.Plan, Cell.Mix.Main) ||
        sameAttempts(Option.Plan, Cell.Mix.Upgrade))
      continue;
    if (OptimisticCost >= BestCost)
      continue;
    BestCost = OptimisticCost;
    Cell.Exploration = Option.Plan;
    Cell.ExplorationLoss = NetCost - CurrentCost;
  }
}

} // namespace

auto replan(cascade_board &Board) -> void {
  if (Board.Cells.empty())
    return;
  std::vector<cell_options> Options;
  const auto Model = fitQuality(Board);
  for (std::size_t Index = 0; Index < Board.Cells.size(); ++Index)
    Options.push_back(planOptions(Board, Index, Model));
  const auto &Settings = Board.Settings;
  const auto Choice = choosePlansWithMargin(Options, Settings.QualityTarget,
                                            Settings.SafetyDeviations);
  for (std::size_t Index = 0; Index < Board.Cells.size(); ++Index) {
    auto &Cell = Board.Cells[Index];
    Cell.Mix = Choice.Mixes[Index];
    selectExploration(Cell, Options[Index], Choice.MarginalCost);
  }
  setRatingGoals(Board, Choice);
}

} // namespace acacianotch
