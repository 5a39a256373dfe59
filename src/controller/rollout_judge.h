/// \file When a service's rollout shifts, completes or stops.
#pragma once

#include "catalogue/routing_type.h"

#include <cstdint>
#include <string>

namespace acacianotch {

/// Settings of the judgement.
struct rollout_judge_settings {
  /// Share of the duration after which all new work goes to the new version.
  /// Half of it leaves sessions on their version while the rollout is young.
  double ShiftAt = 0.53;
  /// Time in which gateways report the sessions under way after the first of
  /// them knows servers of the new version, milliseconds: the others read the
  /// list within 1,500, then report twice.
  std::uint32_t CollectMs = 2400;
  /// Share of the duration after which it completes; work on the predecessor
  /// ends between the two.
  double CompleteAt = 0.9;
  /// Duration in milliseconds if the order names none.
  std::uint32_t DefaultDurationMs = 20'000;
  std::uint64_t MinRequests = 25; ///< On the new version before the shift.
  std::uint64_t MinErrors = 4;    ///< Failures that can stop a rollout.
  double ErrorMargin =
      0.05;                ///< Error rate above the predecessor's that passes.
  double FalseStop = 1e-4; ///< Probability of each false stop for errors.
  std::uint64_t MinTimed = 12; ///< Timed answers that can stop a rollout.
  double SlowFactor = 2.5;     ///< Geometric mean over the predecessor's.
};

enum class rollout_step : std::uint8_t {
  keep,     ///< Nothing changes.
  open,     ///< The new version gets its share of new sessions.
  shift,    ///< All new work goes to the new version.
  complete, ///< The predecessor may go.
  stop,     ///< The new version is bad.
};

inline constexpr enum_table<rollout_step, 5> RolloutStepNames{{{
    {rollout_step::keep, "keep"},
    {rollout_step::open, "open"},
    {rollout_step::shift, "shift"},
    {rollout_step::complete, "complete"},
    {rollout_step::stop, "stop"},
}}};

/// What to do and why.
struct rollout_judgement {
  rollout_step Step = rollout_step::keep;
  std::string Reason;
};

/// \return the probability of at least \p Errors failures among \p Requests
/// requests at an error rate of \p Rate.
[[nodiscard]] auto binomialTail(std::uint64_t Requests, std::uint64_t Errors,
                                double Rate) -> double;

/// Judges a running rollout at log time \p NowMs by routes and in total.
[[nodiscard]] auto judgeRollout(const rollout_judge_settings &Settings,
                                const service_rollout &Rollout,
                                const service_evidence &Evidence,
                                std::uint64_t NowMs) -> rollout_judgement;

} // namespace acacianotch
