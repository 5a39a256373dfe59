/// \file Lowest-cost plans for a quality target.
#include "controller/cascade_planner.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

namespace acacianotch {

namespace {

using option_list = std::vector<plan_option>;

/// A step from one option of a cell to the next better one.
struct upgrade_step {
  std::size_t Cell = 0;
  std::size_t To = 0; ///< Index in the cell's hull.
  double Cost = 0;    ///< Extra cost over all traffic.
  double Quality = 0; ///< Extra quality over all traffic.
};

auto slope(const plan_option &From, const plan_option &To) -> double {
  return (To.Cost - From.Cost) / (To.Quality - From.Quality);
}

/// \return the options on the lower convex hull of cost over quality. Others
/// cost more than a mix of two options on it.
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

auto upgradeSteps(const std::vector<option_list> &Hulls,
                  std::span<const cell_options> Cells, double Total)
    -> std::vector<upgrade_step> {
  std::vector<upgrade_step> Steps;
  for (std::size_t Cell = 0; Cell < Hulls.size(); ++Cell) {
    const auto &Hull = Hulls[Cell];
    const double Share = Cells[Cell].Weight / Total;
    for (std::size_t To = 1; To < Hull.size(); ++To)
      Steps.push_back({Cell, To, Share * (Hull[To].Cost - Hull[To - 1].Cost),
                       Share * (Hull[To].Quality - Hull[To - 1].Quality)});
  }
  // Within one cell the slopes grow, so sorting keeps the order of its steps.
  std::stable_sort(Steps.begin(), Steps.end(),
                   [](const auto &A, const auto &B) {
                     return A.Cost * B.Quality < B.Cost * A.Quality;
                   });
  return Steps;
}

/// Position of every cell on its hull; one cell may lie between two options.
struct hull_position {
  std::vector<std::size_t> At;
  std::size_t Mixed = 0;
  double MixedShare = 0;
  double Slope = 0;
};

auto climb(const std::vector<option_list> &Hulls,
           std::span<const cell_options> Cells, double Target)
    -> hull_position {
  const double Total = totalWeight(Cells);
  hull_position Position{std::vector<std::size_t>(Hulls.size()), 0, 0, 0};
  double Quality = 0;
  for (std::size_t Cell = 0; Cell < Hulls.size(); ++Cell)
    Quality += Cells[Cell].Weight / Total * Hulls[Cell].front().Quality;
  for (const auto &Step : upgradeSteps(Hulls, Cells, Total)) {
    if (Quality >= Target || Step.Quality <= 0)
      break;
    Position.Slope = Step.Cost / Step.Quality;
    if (Quality + Step.Quality > Target) {
      Position.Mixed = Step.Cell;
      Position.MixedShare = (Target - Quality) / Step.Quality;
      break;
    }
    Position.At[Step.Cell] = Step.To;
    Quality += Step.Quality;
  }
  return Position;
}

auto describe(const std::vector<option_list> &Hulls,
              std::span<const cell_options> Cells,
              const hull_position &Position) -> plan_choice {
  plan_choice Choice;
  const double Total = totalWeight(Cells);
  double Variance = 0;
  for (std::size_t Cell = 0; Cell < Hulls.size(); ++Cell) {
    const auto &Hull = Hulls[Cell];
    const auto At = Position.At[Cell];
    const bool Mixed = Position.MixedShare > 0 && Cell == Position.Mixed;
    const double Upgraded = Mixed ? Position.MixedShare : 0;
    const auto &Main = Hull[At];
    const auto &Next = Hull[Mixed ? At + 1 : At];
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
  Choice.Slope = Position.Slope;
  return Choice;
}

auto chooseOnHulls(const std::vector<option_list> &Hulls,
                   std::span<const cell_options> Cells, double Target)
    -> plan_choice {
  return describe(Hulls, Cells, climb(Hulls, Cells, Target));
}

auto hullsOf(std::span<const cell_options> Cells) -> std::vector<option_list> {
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

/// The least of what the catalogue and trusted ratings say about a candidate.
auto fallbackOption(const cascade_board &Board, const cascade_cell &Cell,
                    const std::vector<candidate_estimate> &Estimates,
                    std::size_t Index) -> plan_option {
  auto Option = singleOption(Board, Cell, Estimates, Index);
  const double Known = Board.Candidates[Index].Quality;
  Option.Quality =
      std::min(Known, Option.Quality) - Board.Settings.FallbackMargin;
  Option.Variance = 0;
  return Option;
}

auto escalationOption(const cascade_board &Board, const cascade_cell &Cell,
                      const std::vector<candidate_estimate> &Estimates,
                      const cascade_plan &Plan) -> plan_option {
  const auto &[Pass, Confirm, Rescues] = Estimates[Plan.First];
  const auto Second = *Plan.Escalation;
  const auto &Rescue = Rescues[Second];
  const double Missing = Board.Rating.MissingShare;
  const double Rated = 1 - Missing;
  const double Unrated =
      Plan.EscalateUnrated ? Estimates[Second].Pass.Mean : Pass.Mean;
  const double Escalated =
      (Rated * (1 - Pass.Mean)) + (Plan.EscalateUnrated ? Missing : 0);
  plan_option Option{Plan, 0, 0, 0};
  Option.Cost = candidateCost(Board, Cell, Plan.First) +
                Board.Settings.RatingCost +
                (Escalated * candidateCost(Board, Cell, Second));
  Option.Quality =
      (Rated * ((Pass.Mean * Confirm.Mean) + ((1 - Pass.Mean) * Rescue.Mean))) +
      (Missing * Unrated);
  const auto Square = [](double Value) { return Value * Value; };
  Option.Variance = (Square(Confirm.Mean - Rescue.Mean) * Pass.Variance) +
                    (Square(Pass.Mean) * Confirm.Variance) +
                    (Square(1 - Pass.Mean) * Rescue.Variance);
  return Option;
}

} // namespace

auto choosePlans(std::span<const cell_options> Cells, double Target)
    -> plan_choice {
  return chooseOnHulls(hullsOf(Cells), Cells, Target);
}

auto choosePlansSafely(std::span<const cell_options> Cells, double Target,
                       double Deviations) -> plan_choice {
  const auto Hulls = hullsOf(Cells);
  auto Choice = chooseOnHulls(Hulls, Cells, Target);
  // The margin depends on the plans and these on the margin; a few rounds
  // settle it well below the margin itself.
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

/// Sets how many ratings repay their cost. One rating more in a cell with
/// share W of the traffic, variance V per rating and N ratings lowers the
/// deviation D of the estimated quality by W^2 V / (2 N^2 D). The safety margin
/// falls with it, and with the margin the cost of all requests until the
/// rating is outdated.
auto setRatingGoals(cascade_board &Board, const plan_choice &Choice) -> void {
  constexpr double Horizon = 100'000; // requests
  constexpr double LeastGoal = 60;    // ratings
  constexpr double MostGoal = 8'000;  // ratings
  const auto &Settings = Board.Settings;
  double Traffic = 0;
  for (const auto &Cell : Board.Cells)
    Traffic += Cell.Traffic;
  const double Gain = Horizon * Choice.Slope * Settings.SafetyDeviations;
  const double Price = 2 * std::max(Choice.Deviation, 1e-4) *
                       std::max(Settings.RatingCost, 1e-3);
  const double Goal = std::sqrt(Gain / Price);
  for (auto &Cell : Board.Cells)
    Cell.RatingGoal =
        std::clamp(Cell.Traffic / Traffic * Goal, LeastGoal, MostGoal);
}

/// \return the cost of \p Option with its quality priced at \p Slope.
auto pricedCost(const plan_option &Option, double Slope) -> double {
  return Option.Cost - (Slope * Option.Quality);
}

auto sameAttempts(const cascade_plan &A, const cascade_plan &B) -> bool {
  return A.First == B.First && A.Escalation == B.Escalation;
}

/// Selects the plan that is worth a trial: one that costs more by its
/// estimates, but less if its quality is better by twice its deviation.
auto setExploration(cascade_cell &Cell, const cell_options &Options,
                    double Slope) -> void {
  constexpr double Optimism = 2; // standard deviations
  double InUse = std::numeric_limits<double>::max();
  for (const auto &Option : Options.Options) {
    InUse = std::min(InUse, pricedCost(Option, Slope));
    if (Option.Plan == Cell.Mix.Main)
      Cell.ExpectedCost = Option.Cost;
  }
  double Best = InUse;
  Cell.Exploration.reset();
  for (const auto &Option : Options.Options) {
    const double Priced = pricedCost(Option, Slope);
    const double Hoped =
        Priced - (Optimism * Slope * std::sqrt(Option.Variance));
    if (sameAttempts(Option.Plan, Cell.Mix.Main) ||
        sameAttempts(Option.Plan, Cell.Mix.Upgrade))
      continue;
    if (Hoped >= Best)
      continue;
    Best = Hoped;
    Cell.Exploration = Option.Plan;
    Cell.ExplorationLoss = Priced - InUse;
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
  const auto Choice = choosePlansSafely(Options, Settings.QualityTarget,
                                        Settings.SafetyDeviations);
  for (std::size_t Index = 0; Index < Board.Cells.size(); ++Index) {
    auto &Cell = Board.Cells[Index];
    Cell.Mix = Choice.Mixes[Index];
    setExploration(Cell, Options[Index], Choice.Slope);
  }
  setRatingGoals(Board, Choice);
}

} // namespace acacianotch
