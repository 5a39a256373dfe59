/// \file Cascade: the lowest-cost candidate that meets a quality target.
///
/// Not thread-safe. The request path calls, in this order:
///  1. decide() before the request runs. Streaming requests get a decision
///     without escalation.
///  2. recordTokens() after each attempt, with its token counts.
///  3. recordFirstRating() with the rating of the first answer, if the decision
///     requests one. If the plan has an escalation, the answer is held until
///     this rating arrives, and the second attempt runs if the result says so.
///  4. recordDeliveredRating() with the rating of the delivered answer, if
///     recordFirstRating() requested one. It is obtained in the background.
/// Each rating request has exactly one outcome and costs one rating. The
/// outcome is `missing` if no rating arrives within the caller's time limit.
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
  std::size_t Cell = 0;                 ///< Index of the request's cell.
  cascade_plan Plan;                    ///< Indices into the candidates.
  std::optional<rating_request> Rating; ///< Rating of the first answer.
  rating_health Health = rating_health::invalid; ///< At the decision.
};

/// What follows the rating of the first answer.
struct escalation_decision {
  bool Escalate = false;                ///< Run the second attempt.
  std::optional<rating_request> Rating; ///< Rating of the delivered answer.
};

/// Chooses among the candidates of one route, or of one request class of a
/// route whose quality target depends on the class. The clock and the random
/// source must outlive it.
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

  /// \return the plan for a request with \p Features and whether to rate its
  /// first answer.
  [[nodiscard]] auto decide(const request_features &Features)
      -> cascade_decision {
    const auto Index = findOrCreateCell(Board, Features);
    observeRequest(Board.Cells[Index], Features);
    planIfDue();
    auto &Cell = Board.Cells[Index];
    const auto Plan = choosePlan(Cell);
    cascade_decision Decision{Index, Plan, std::nullopt, Board.Rating.Health};
    if (Plan.Escalation ||
        sampled(ratedShare(Cell, Cell.Records[Plan.First].Pass, 1)))
      Decision.Rating =
          rating_request{rating_kind::first, Index, Plan.First, Plan.First};
    return Decision;
  }

  /// Records the token counts of one attempt of \p Decision.
  auto recordTokens(const cascade_decision &Decision, double InputTokens,
                    double OutputTokens) -> void {
    auto &Cell = Board.Cells[Decision.Cell];
    Cell.InputTokens += (InputTokens - Cell.InputTokens) * TokenSmoothing;
    Cell.OutputTokens += (OutputTokens - Cell.OutputTokens) * TokenSmoothing;
  }

  /// Records the rating of the first answer. \p Decision must request a rating.
  /// \return whether to escalate, and whether to rate the delivered answer.
  [[nodiscard]] auto recordFirstRating(const cascade_decision &Decision,
                                       rating_outcome Outcome)
      -> escalation_decision {
    assert(Decision.Rating.has_value());
    recordRating(Board, History, *Decision.Rating, Outcome);
    escalation_decision Result;
    if (!Decision.Plan.Escalation)
      return Result;
    Result.Escalate = escalates(Decision.Plan, Outcome);
    if (Result.Escalate)
      ++Board.Counters.Escalations;
    Result.Rating = deliveredRating(Decision, Outcome);
    return Result;
  }

  /// Records the rating of the delivered answer that recordFirstRating()
  /// requested.
  auto recordDeliveredRating(const rating_request &Request,
                             rating_outcome Outcome) -> void {
    recordRating(Board, History, Request, Outcome);
  }

  /// \return the state, for metrics and dumps.
  [[nodiscard]] auto board() const -> const cascade_board & { return Board; }

private:
  // Smoothing factor of the moving averages of token counts.
  static constexpr double TokenSmoothing = 0.01;
  static constexpr double TrafficDecay = 0.98; // per plan interval
  // Share of answers to rate once the rating goal is met, to detect changes.
  static constexpr double MinRatedShare = 0.1;
  // Share of answers to rate while ratings are not trusted, to detect recovery.
  static constexpr double ProbeShare = 0.05;
  // Limits the effect of exploration on the planned quality and cost.
  static constexpr double MaxExploredShare = 0.05;
  // Per plan interval; discounts ratings of plans that are not in use.
  static constexpr double RecordDecay = 0.9995;

  cascade(const clock &ClockSource, random &RandomSource)
      : Clock(&ClockSource), Random(&RandomSource) {}

  auto observeRequest(cascade_cell &Cell, const request_features &Features)
      -> void {
    Cell.Requests += 1;
    Cell.Traffic += 1;
    Cell.InputTokens +=
        (Features.InputTokens - Cell.InputTokens) * TokenSmoothing;
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
        Record.Pass.decay(RecordDecay);
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
    if (Explores && sampled(MaxExploredShare)) {
      Cell.ExplorationBudget -= Cell.ExplorationLoss;
      ++Board.Counters.Explorations;
      return *Cell.Exploration;
    }
    return sampled(Cell.Mix.UpgradeShare) ? Cell.Mix.Upgrade : Cell.Mix.Main;
  }

  /// \return the share of answers to rate for the estimate \p Rate. \p Effect
  /// is the change of the cell's quality per change of \p Rate.
  [[nodiscard]] auto ratedShare(const cascade_cell &Cell, const pass_rate &Rate,
                                double Effect) const -> double {
    if (Board.Rating.Health != rating_health::trusted)
      return ProbeShare;
    // Rates near 0 or 1 have a low variance and need fewer ratings. The clamp
    // keeps the goal above 0 when all ratings agree.
    const double Rated = std::clamp(Rate.mean(), 0.05, 0.95);
    const double Goal =
        Cell.RatingGoal * Effect * std::sqrt(Rated * (1 - Rated));
    return Rate.weight() < Goal ? 1 : MinRatedShare;
  }

  [[nodiscard]] auto escalates(const cascade_plan &Plan,
                               rating_outcome Outcome) const -> bool {
    // A pass carries no information while ratings are implausible.
    if (Board.Rating.Health == rating_health::wrong)
      return true;
    if (Outcome == rating_outcome::missing)
      return Plan.EscalateUnrated;
    return Outcome == rating_outcome::failed;
  }

  /// \return the rating to request for the answer that is delivered, if any.
  [[nodiscard]] auto deliveredRating(const cascade_decision &Decision,
                                     rating_outcome Outcome)
      -> std::optional<rating_request> {
    const bool Trusted = Board.Rating.Health == rating_health::trusted;
    if (Outcome == rating_outcome::missing || !Trusted)
      return std::nullopt;
    const auto First = Decision.Plan.First;
    rating_request Request{rating_kind::confirm, Decision.Cell, First, First};
    if (Outcome == rating_outcome::failed) {
      Request.Kind = rating_kind::escalated;
      Request.Rated = *Decision.Plan.Escalation;
    }
    const auto &Cell = Board.Cells[Decision.Cell];
    const double Pass = Cell.Records[First].Pass.mean();
    const bool Confirms = Request.Kind == rating_kind::confirm;
    if (!sampled(ratedShare(Cell, recordFor(Board, Request),
                            Confirms ? Pass : 1 - Pass)))
      return std::nullopt;
    return Request;
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
