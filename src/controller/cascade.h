/// \file Cascade: the lowest-cost candidate that meets a quality target.
///
/// Use from the request path, on one thread:
///  1. decide() before the request runs. A streaming caller gets a decision
///     without escalation.
///  2. answered() after each attempt, with its token counts.
///  3. If the decision has an order, rate the first answer and call
///     afterFirst(). If the decision has an escalation, hold the answer until
///     then and run the second attempt if the step says so.
///  4. If the step has an order, rate that answer in the background and call
///     rated().
/// Every order that was sent gets exactly one outcome; `missing` after the
/// caller's own time limit. Each order costs one rating.
#pragma once

#include "controller/cascade_planner.h"
#include "controller/cascade_records.h"
#include "core/clock_type.h"
#include "core/random_type.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <optional>
#include <utility>

namespace acacianotch {

/// How one request runs.
struct cascade_decision {
  std::size_t Cell = 0;               ///< Cell of the request.
  cascade_plan Plan;                  ///< Indices into the candidates.
  std::optional<rating_order> Rating; ///< Rating of the first answer.
  rating_health Health = rating_health::invalid; ///< At the decision.
};

/// What follows the rating of the first answer.
struct cascade_step {
  bool Escalate = false;              ///< Run the second attempt.
  std::optional<rating_order> Rating; ///< Rating of the delivered answer.
};

/// Chooses among the candidates of one route (or of one class of a route whose
/// quality target comes from the class). Keeps a pointer to the clock and the
/// random source, which must outlive it.
template <clock_source clock, random_source random> class cascade {
public:
  /// \p Candidates are ordered from cheapest to most expensive.
  /// \return the cascade; `bad_settings` if a value is out of range.
  [[nodiscard]] static auto
  create(cascade_settings Settings,
         const std::vector<cascade_candidate> &Candidates, const clock &Clock,
         random &Random) -> result<cascade> {
    if (auto Checked = checkCascade(Settings, Candidates); !Checked)
      return Checked.error();
    cascade Result(Clock, Random);
    Result.Board.Settings = Settings;
    Result.Board.Candidates = Candidates;
    return Result;
  }

  /// \return how a request with \p Features runs.
  [[nodiscard]] auto decide(const request_features &Features)
      -> cascade_decision {
    const auto Index = cellFor(Board, Features);
    observeRequest(Board.Cells[Index], Features);
    planIfDue();
    auto &Cell = Board.Cells[Index];
    const auto Plan = choosePlan(Cell);
    cascade_decision Decision{Index, Plan, std::nullopt, Board.Rating.Health};
    if (Plan.Escalation ||
        sampled(ratedShare(Cell, Cell.Records[Plan.First].Pass, 1)))
      Decision.Rating =
          rating_order{rating_kind::first, Index, Plan.First, Plan.First};
    return Decision;
  }

  /// Records the token counts of one attempt of \p Decision.
  auto answered(const cascade_decision &Decision, double InputTokens,
                double OutputTokens) -> void {
    auto &Cell = Board.Cells[Decision.Cell];
    Cell.InputTokens += (InputTokens - Cell.InputTokens) * TokenStep;
    Cell.OutputTokens += (OutputTokens - Cell.OutputTokens) * TokenStep;
  }

  /// Records the rating of the first answer; call only if the decision has an
  /// order.
  /// \return what follows.
  [[nodiscard]] auto afterFirst(const cascade_decision &Decision,
                                rating_outcome Outcome) -> cascade_step {
    assert(Decision.Rating.has_value());
    recordRating(Board, History, *Decision.Rating, Outcome);
    cascade_step Step;
    if (!Decision.Plan.Escalation)
      return Step;
    Step.Escalate = escalates(Decision.Plan, Outcome);
    if (Step.Escalate)
      ++Board.Counters.Escalations;
    Step.Rating = deliveredRating(Decision, Outcome);
    return Step;
  }

  /// Records the outcome of a step's order.
  auto rated(const rating_order &Order, rating_outcome Outcome) -> void {
    recordRating(Board, History, Order, Outcome);
  }

  /// \return the state, for metrics and dumps.
  [[nodiscard]] auto board() const -> const cascade_board & { return Board; }

private:
  static constexpr double TokenStep = 0.01;
  static constexpr double TrafficDecay = 0.98; // per plan interval
  // Share of answers rated beyond the goal, to notice changes.
  static constexpr double LeastRated = 0.1;
  // Share of requests rated while no rating is trusted, to notice recovery.
  static constexpr double ProbeShare = 0.05;
  // Limits the effect of trials on the quality and cost that were planned.
  static constexpr double MostExplored = 0.05;
  // Per plan interval; outdates ratings of plans that are not in use.
  static constexpr double RecordDecay = 0.9995;

  cascade(const clock &ClockSource, random &RandomSource)
      : Clock(&ClockSource), Random(&RandomSource) {}

  auto observeRequest(cascade_cell &Cell, const request_features &Features)
      -> void {
    Cell.Requests += 1;
    Cell.Traffic += 1;
    Cell.InputTokens += (Features.InputTokens - Cell.InputTokens) * TokenStep;
    ++Board.Counters.Decisions;
  }

  auto planIfDue() -> void {
    const auto Now = Clock->now();
    const bool Current = PlannedCells == Board.Cells.size() &&
                         PlannedHealth == Board.Rating.Health &&
                         Now - PlannedAt < Board.Settings.PlanInterval;
    if (Current)
      return;
    replan(Board);
    for (auto &Cell : Board.Cells) {
      Cell.Traffic *= TrafficDecay;
      for (auto &Record : Cell.Records)
        Record.Pass.age(RecordDecay);
    }
    PlannedAt = Now;
    PlannedCells = Board.Cells.size();
    PlannedHealth = Board.Rating.Health;
  }

  [[nodiscard]] auto sampled(double Share) -> bool {
    return Share > 0 && randomUnit(*Random) < Share;
  }

  [[nodiscard]] auto choosePlan(cascade_cell &Cell) -> cascade_plan {
    Cell.ExplorationBudget +=
        Board.Settings.ExplorationShare * Cell.ExpectedCost;
    const bool Trusted = Board.Rating.Health == rating_health::trusted;
    const bool Explores = Trusted && Cell.Exploration &&
                          Cell.ExplorationBudget >= Cell.ExplorationLoss;
    if (Explores && sampled(MostExplored)) {
      Cell.ExplorationBudget -= Cell.ExplorationLoss;
      ++Board.Counters.Explorations;
      return *Cell.Exploration;
    }
    return sampled(Cell.Mix.UpgradeShare) ? Cell.Mix.Upgrade : Cell.Mix.Main;
  }

  /// \p Effect is the change of the cell's quality per change of \p Rate.
  [[nodiscard]] auto ratedShare(const cascade_cell &Cell, const pass_rate &Rate,
                                double Effect) const -> double {
    if (Board.Rating.Health != rating_health::trusted)
      return ProbeShare;
    // A rate near 0 or 1 is known better than its ratings alone show.
    const double Rated = std::clamp(Rate.mean(), 0.05, 0.95);
    const double Goal =
        Cell.RatingGoal * Effect * std::sqrt(Rated * (1 - Rated));
    return Rate.weight() < Goal ? 1 : LeastRated;
  }

  [[nodiscard]] auto escalates(const cascade_plan &Plan,
                               rating_outcome Outcome) const -> bool {
    // A pass means nothing once the ratings are known to be wrong.
    if (Board.Rating.Health == rating_health::wrong)
      return true;
    if (Outcome == rating_outcome::missing)
      return Plan.EscalateUnrated;
    return Outcome == rating_outcome::failed;
  }

  [[nodiscard]] auto deliveredRating(const cascade_decision &Decision,
                                     rating_outcome Outcome)
      -> std::optional<rating_order> {
    const bool Trusted = Board.Rating.Health == rating_health::trusted;
    if (Outcome == rating_outcome::missing || !Trusted)
      return std::nullopt;
    const auto First = Decision.Plan.First;
    rating_order Order{rating_kind::confirm, Decision.Cell, First, First};
    if (Outcome == rating_outcome::failed) {
      Order.Kind = rating_kind::rescue;
      Order.Rated = *Decision.Plan.Escalation;
    }
    const auto &Cell = Board.Cells[Decision.Cell];
    const double Pass = Cell.Records[First].Pass.mean();
    const bool Confirms = Order.Kind == rating_kind::confirm;
    if (!sampled(ratedShare(Cell, recordFor(Board, Order),
                            Confirms ? Pass : 1 - Pass)))
      return std::nullopt;
    return Order;
  }

  const clock *Clock;
  random *Random;
  cascade_board Board;
  record_history History;
  time_point PlannedAt{};
  std::size_t PlannedCells = 0;
  rating_health PlannedHealth = rating_health::invalid;
};

} // namespace acacianotch
