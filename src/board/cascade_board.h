/// \file Shared state of one cascade: estimates and plans for the candidates of
/// a route.
#pragma once

#include "board/pass_rate.h"
#include "core/clock_type.h"
#include "core/enum_table.h"
#include "core/id_type.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acacianotch {

/// One candidate version of a route, as the catalogue describes it.
struct cascade_candidate {
  version_ref Version; ///< Model and version.
  double Quality{};    ///< Catalogue's quality estimate, 0..1.
  double InputCost{};  ///< Micro-units per 1,000 input tokens.
  double OutputCost{}; ///< Micro-units per 1,000 output tokens.
};

/// Settings of one cascade.
struct cascade_settings {
  double QualityTarget = 0.9; ///< Minimum share of passed answers, 0..1.
  double RatingCost = 0;      ///< Micro-units per rating.
  /// Safety margin above the target, in standard deviations of the estimate.
  double SafetyDeviations = 1;
  /// Subtracted from quality estimates while ratings are not trusted.
  double FallbackMargin = 0.03;
  /// Share of the cost that may be spent on exploring other plans.
  double ExplorationShare = 0.01;
  duration PlanInterval = std::chrono::seconds(1); ///< Time between plans.
};

/// How a request runs: on one candidate, and on a second one if the first
/// answer fails its rating.
struct cascade_plan {
  std::size_t First = 0;                 ///< Candidate of the first attempt.
  std::optional<std::size_t> Escalation; ///< Candidate of the second attempt.
  /// Whether a missing rating escalates like a failed one.
  bool EscalateUnrated = false;

  auto operator==(const cascade_plan &) const -> bool = default;
};

/// Two plans and the share of requests that take the second one.
struct cascade_mix {
  cascade_plan Main;       ///< Plan of most requests.
  cascade_plan Upgrade;    ///< Plan of the others; never of lower quality.
  double UpgradeShare = 0; ///< 0..1.
};

/// Pass rates of one candidate in one cell.
struct candidate_record {
  pass_rate Pass;    ///< Of first answers.
  pass_rate Confirm; ///< Of second ratings of first answers that passed.
  /// Of the answers of candidate [i] after this candidate failed its rating.
  std::vector<pass_rate> Escalated;
};

/// Statistics and plans of a cell: the requests with the same features.
struct cascade_cell {
  bool Streaming = false;  ///< Whether callers need the first token at once.
  double Requests = 0;     ///< Decisions made.
  double Traffic = 0;      ///< Decisions, discounted by age.
  double InputTokens = 0;  ///< Mean input tokens of a request.
  double OutputTokens = 0; ///< Mean output tokens of an answer.
  std::vector<candidate_record> Records; ///< One per candidate.
  cascade_mix Mix;                       ///< Plans in effect.
  double ExpectedCost = 0; ///< Micro-units per request of the main plan.
  std::optional<cascade_plan> Exploration; ///< Plan to explore, if any.
  /// Expected loss per explored request in micro-units; quality counts at its
  /// marginal cost.
  double ExplorationLoss = 0;
  double ExplorationBudget = 0; ///< Micro-units available for exploration.
  /// Number of ratings that repay their cost, for ratings of variance 1.
  double RatingGoal = 0;
};

/// Whether ratings can be used.
enum class rating_health : std::uint8_t {
  invalid, ///< Not set.
  trusted, ///< Ratings arrive and are plausible.
  absent,  ///< Most ratings do not arrive.
  wrong,   ///< Ratings arrive but are implausible.
};

/// Names of rating health in logs and metrics.
inline constexpr enum_table<rating_health, 4> RatingHealthNames{{{
    {rating_health::invalid, "invalid"},
    {rating_health::trusted, "trusted"},
    {rating_health::absent, "absent"},
    {rating_health::wrong, "wrong"},
}}};

/// Health of the rating service and the statistics behind it.
struct rating_record {
  rating_health Health = rating_health::trusted; ///< In effect.
  double MissingShare = 0;  ///< Moving average of missing ratings, 0..1.
  double Shift = 0;         ///< Moving average of passes minus expected passes.
  double WindowWeight = 0;  ///< Ratings in Shift, at most its window.
  double Run = 0;           ///< Equal ratings in a row.
  double RunSurprisal = 0;  ///< Negative log probability of the run.
  bool RunPassed = false;   ///< Whether the ratings of the run pass.
  double PositiveCusum = 0; ///< Cumulative sum of passes above the estimates.
  double NegativeCusum = 0; ///< Cumulative sum of passes below the estimates.
};

/// Counters for metrics.
struct cascade_counters {
  std::uint64_t Decisions = 0;     ///< Requests decided.
  std::uint64_t Explorations = 0;  ///< Decisions that explore a plan.
  std::uint64_t Escalations = 0;   ///< Second attempts.
  std::uint64_t Ratings = 0;       ///< Ratings that arrived.
  std::uint64_t Missing = 0;       ///< Ratings that did not arrive.
  std::uint64_t HealthChanges = 0; ///< Changes of rating health.
};

/// Shared state of one cascade.
struct cascade_board {
  cascade_settings Settings;
  std::vector<cascade_candidate> Candidates; ///< Cheapest first.
  std::vector<cascade_cell> Cells;
  std::map<std::string, std::size_t, std::less<>> CellByName;
  rating_record Rating;
  cascade_counters Counters;
};

} // namespace acacianotch
