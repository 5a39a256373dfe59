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
  [[nodiscard]] static auto create(cascade_settings Settings,
                                   std::vector<cascade_candidate> Candidates,
                                   const clock &Clock, random &Random)
      -> result<cascade> {
    if (auto Checked = checkCascade(Settings, Candidates); !Checked)
      return Checked.error();
    cascade Result(Clock, Random);
    Result.Board.Settings = Settings;
    Result.Board.Candidates = std::move(Candidates);
    return Result;
  }

  /// \return how a request with \p Features runs.
  [[nodiscard]] auto decide(const request_features &Features)
      -> cascade_decision {
    const auto Index = cellFor(Board, Features);
    observeRequest(Board.Cells[Index], Features);
    planIfDue();
    const auto &Cell = Board.Cells[Index];
    const auto Plan = choosePlan(Cell);
    cascade_decision Decision{Index, Plan, std::nullopt, Board.Rating.Health};
    if (Plan.Escalation || sampled(firstShare(Cell, Plan.First)))
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
  // Ratings until the sampled share starts to fall, and its lower limit.
  static constexpr double FullRatings = 60;
  static constexpr double LeastRated = 0.02;
  // Share of requests rated while no rating is trusted, to notice recovery.
  static constexpr double ProbeShare = 0.05;
  // Requests per cell spent on learning grow with the logarithm of traffic.
  static constexpr double ExploreScale = 20;
  static constexpr double LeastExplored = 0.004;
  static constexpr double MostExplored = 0.1;

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
    for (auto &Cell : Board.Cells)
      Cell.Traffic *= TrafficDecay;
    PlannedAt = Now;
    PlannedCells = Board.Cells.size();
    PlannedHealth = Board.Rating.Health;
  }

  [[nodiscard]] auto sampled(double Share) -> bool {
    return Share > 0 && randomUnit(*Random) < Share;
  }

  [[nodiscard]] auto choosePlan(const cascade_cell &Cell) -> cascade_plan {
    const auto Share =
        std::clamp(ExploreScale / Cell.Requests, LeastExplored, MostExplored);
    const bool Trusted = Board.Rating.Health == rating_health::trusted;
    if (Trusted && Board.Candidates.size() > 1 && sampled(Share)) {
      ++Board.Counters.Explorations;
      return explorationPlan(Cell);
    }
    return sampled(Cell.Mix.UpgradeShare) ? Cell.Mix.Upgrade : Cell.Mix.Main;
  }

  /// The least rated candidate. A caller that can wait is protected by an
  /// escalation.
  [[nodiscard]] auto explorationPlan(const cascade_cell &Cell) const
      -> cascade_plan {
    const auto Least =
        std::min_element(Cell.Records.begin(), Cell.Records.end(),
                         [](const auto &A, const auto &B) {
                           return A.Pass.ratings() < B.Pass.ratings();
                         });
    const auto First = static_cast<std::size_t>(Least - Cell.Records.begin());
    const auto Last = Board.Candidates.size() - 1;
    if (Cell.Streaming || First == Last)
      return {First, std::nullopt, false};
    return {First, Last, true};
  }

  [[nodiscard]] auto ratedShare(const pass_rate &Rate) const -> double {
    if (Board.Rating.Health != rating_health::trusted)
      return ProbeShare;
    return std::clamp(FullRatings / (Rate.ratings() + 1), LeastRated, 1.0);
  }

  [[nodiscard]] auto firstShare(const cascade_cell &Cell,
                                std::size_t First) const -> double {
    return ratedShare(Cell.Records[First].Pass);
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
    if (!sampled(ratedShare(recordFor(Board, Order))))
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
