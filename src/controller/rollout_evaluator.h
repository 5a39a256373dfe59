/// \file Evaluation of service rollouts: when one shifts, completes or stops.
#pragma once

#include "catalogue/routing_type.h"

#include <cstdint>
#include <string>

namespace acacianotch {

/// Settings of the evaluation.
struct rollout_evaluator_settings {
  /// Share of the duration after which all new work goes to the new version.
  /// Until then, about half of the duration, sessions stay on their version.
  double ShiftTimeShare = 0.53;
  /// Time in milliseconds in which gateways report their existing sessions,
  /// from when the first gateway knows servers of the new version. The others
  /// read the backend list within 1,500 ms and then report twice.
  std::uint32_t CollectMs = 2400;
  /// Share of the duration after which a version that is not known to be
  /// healthy is shifted or stopped by its mean times alone, because a later
  /// shift could not complete in time.
  double DecisionTimeShare = 0.7;
  /// Share of the duration after which the rollout completes. Work on the
  /// predecessor ends between the shift and the completion.
  double CompleteTimeShare = 0.9;
  /// Least share of the duration between the shift and the completion. The
  /// answers before a late shift do not show how the version bears all work.
  double ShiftedTimeShare = 0.15;
  /// Duration in milliseconds if the command states none.
  std::uint32_t DefaultDurationMs = 20'000;
  /// Minimum measured times of the new version before it can count as healthy.
  std::uint64_t MinHealthyTimes = 25;
  /// Minimum failures before errors can stop a rollout.
  std::uint64_t MinErrors = 4;
  /// Tolerated increase of the error rate over the predecessor's.
  double ErrorMargin = 0.05;
  /// Probability that one evaluation for errors stops a good version.
  double FalseStop = 1e-4;
  /// Minimum times of each version before one measure can stop a rollout.
  std::uint64_t MinTimes = 12;
  /// Tolerated ratio of the geometric mean times of the new version and its
  /// predecessor while both serve at the same load, over all measures and for a
  /// single one.
  double SlowFactor = 1.3;
  double MeasureSlowFactor = 1.7;
  /// The same after the shift, when the two were measured at different loads,
  /// over all measures and for a single one.
  double ShiftedSlowFactor = 2.0;
  double ShiftedMeasureSlowFactor = 4.0;
  /// Standard errors by which the ratio must exceed the tolerated one to stop a
  /// rollout.
  double SlowDeviations = 3;
  /// Standard errors by which the tolerated ratio must exceed the ratio of a
  /// healthy version.
  double HealthyDeviations = 3;
};

/// Next step of a rollout.
enum class rollout_step : std::uint8_t {
  keep,     ///< No change.
  open,     ///< Gives the new version its share of new sessions.
  shift,    ///< Sends all new work to the new version.
  complete, ///< Ends the rollout; the predecessor is no longer needed.
  stop,     ///< Aborts the rollout; the new version is bad.
};

inline constexpr enum_table<rollout_step, 5> RolloutStepNames{{{
    {rollout_step::keep, "keep"},
    {rollout_step::open, "open"},
    {rollout_step::shift, "shift"},
    {rollout_step::complete, "complete"},
    {rollout_step::stop, "stop"},
}}};

/// Next step of a rollout with its reason.
struct rollout_decision {
  rollout_step Step = rollout_step::keep;
  std::string Reason;
};

/// \return the largest share of new sessions that a new version gets before the
/// shift, if a bad one may get \p ExposureShare of all requests.
[[nodiscard]] auto maxCandidateShare(double ExposureShare) -> double;

/// \return the load of a new version before the shift whose predecessor has
/// \p Servers servers, 0 if unknown. Each of its servers gets the work of one
/// of the predecessor's, or less where that exceeds maxCandidateShare().
[[nodiscard]] auto planCandidateLoad(double ExposureShare, std::size_t Servers)
    -> candidate_load;

/// \return the probability of at least \p Errors failures among \p Requests
/// requests at an error rate of \p Rate.
[[nodiscard]] auto binomialTail(std::uint64_t Requests, std::uint64_t Errors,
                                double Rate) -> double;

/// Evaluates a running rollout at the log time \p NowMs, per route and in
/// total.
[[nodiscard]] auto evaluateRollout(const rollout_evaluator_settings &Settings,
                                   const service_rollout &Rollout,
                                   const service_evidence &Evidence,
                                   std::uint64_t NowMs) -> rollout_decision;

} // namespace acacianotch
