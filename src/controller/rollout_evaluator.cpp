/// \file Evaluation of service rollouts: when one shifts, completes or stops.
#include "controller/rollout_evaluator.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>

namespace acacianotch {

namespace {

/// Counts of both arms on one route.
struct arm_pair {
  arm_counts Serving;
  arm_counts Candidate;
};

auto hasExcessErrors(const rollout_evaluator_settings &Settings,
                     const arm_pair &Pair) -> bool {
  const auto &New = Pair.Candidate;
  if (New.Errors < Settings.MinErrors)
    return false;
  const auto &Old = Pair.Serving;
  const auto ExpectedRate = static_cast<double>(Old.Errors + 1) /
                            static_cast<double>(Old.Requests + 2);
  const auto Rate = std::min(0.95, ExpectedRate + Settings.ErrorMargin);
  return binomialTail(New.Requests, New.Errors, Rate) < Settings.FalseStop;
}

/// Difference of the mean logarithms of the times of two versions.
struct time_difference {
  double Mean = 0;
  double Variance = 0;          ///< Of the mean.
  std::uint64_t Candidates = 0; ///< Times of the new version behind it.

  [[nodiscard]] auto deviation() const -> double { return std::sqrt(Variance); }
};

auto meanVariance(const arm_counts &Counts) -> double {
  // A few equal times do not show that all times are equal.
  constexpr double MinSampleVariance = 0.2;
  const auto Count = static_cast<double>(Counts.Timed);
  const auto Mean = Counts.LogTime / Count;
  return std::max(Counts.LogTimeSquares / Count - Mean * Mean,
                  MinSampleVariance) /
         Count;
}

auto compareTimes(const arm_pair &Pair, std::uint64_t MinTimes)
    -> std::optional<time_difference> {
  const auto &New = Pair.Candidate;
  const auto &Old = Pair.Serving;
  if (New.Timed < MinTimes || Old.Timed < MinTimes)
    return std::nullopt;
  return time_difference{New.LogTime / static_cast<double>(New.Timed) -
                             Old.LogTime / static_cast<double>(Old.Timed),
                         meanVariance(New) + meanVariance(Old), New.Timed};
}

/// \return the difference over all routes and measures, each weighted by its
/// precision; none if nothing can be compared.
auto compareAllTimes(const std::map<std::string, arm_pair> &Pairs)
    -> std::optional<time_difference> {
  constexpr std::uint64_t MinTimesOfOne = 3;
  double Weights = 0;
  time_difference Pooled;
  for (const auto &[Route, Pair] : Pairs) {
    const auto One = compareTimes(Pair, MinTimesOfOne);
    if (Route.empty() || !One)
      continue;
    Weights += 1 / One->Variance;
    Pooled.Mean += One->Mean / One->Variance;
    Pooled.Candidates += One->Candidates;
  }
  if (Weights <= 0)
    return std::nullopt;
  Pooled.Mean /= Weights;
  Pooled.Variance = 1 / Weights;
  return Pooled;
}

auto toleratedRatio(const rollout_evaluator_settings &Settings, bool Shifted)
    -> double {
  return Shifted ? Settings.ShiftedSlowFactor : Settings.SlowFactor;
}

auto isTooSlow(const rollout_evaluator_settings &Settings,
               const std::optional<time_difference> &Difference,
               double Tolerated, std::uint64_t MinTimes) -> bool {
  return Difference && Difference->Candidates >= MinTimes &&
         Difference->Mean - Settings.SlowDeviations * Difference->deviation() >
             std::log(Tolerated);
}

/// \return whether the times show that the new version is not too slow. A
/// version of which too few times are known is not healthy: the answers that
/// are missing may be the slow ones.
auto isHealthy(const rollout_evaluator_settings &Settings,
               const std::optional<time_difference> &Difference,
               double Tolerated) -> bool {
  return Difference && Difference->Candidates >= Settings.MinHealthyTimes &&
         Difference->Mean +
                 Settings.HealthyDeviations * Difference->deviation() <=
             std::log(Tolerated);
}

auto timeText(const std::string &Measure, const time_difference &Difference)
    -> std::string {
  constexpr double Percent = 100;
  return "times on " + (Measure.empty() ? "all" : Measure) + ": " +
         std::to_string(std::lround(Percent * std::exp(Difference.Mean))) +
         "% of the predecessor's, " + std::to_string(Difference.Candidates) +
         " measured";
}

auto errorText(const std::string &Route, const arm_pair &Pair) -> std::string {
  return "errors on " + (Route.empty() ? "all" : Route) + ": " +
         std::to_string(Pair.Candidate.Errors) + " of " +
         std::to_string(Pair.Candidate.Requests) + " failed, predecessor " +
         std::to_string(Pair.Serving.Errors) + " of " +
         std::to_string(Pair.Serving.Requests);
}

/// \return the counts of a rollout by route and measure, with the total under
/// "".
auto pairCounts(const service_evidence &Evidence)
    -> std::map<std::string, arm_pair> {
  std::map<std::string, arm_pair> Pairs;
  auto &All = Pairs[""];
  for (const auto &Row : Evidence.Counts) {
    const auto IsNew = Row.Arm == version_arm::candidate;
    (IsNew ? All.Candidate : All.Serving).add(Row);
    if (Row.Route.empty())
      continue;
    auto &Pair = Pairs[Row.Route];
    (IsNew ? Pair.Candidate : Pair.Serving).add(Row);
  }
  return Pairs;
}

/// \return why the new version is bad; none if it is not known to be.
auto findStopReason(const rollout_evaluator_settings &Settings, bool Shifted,
                    const std::map<std::string, arm_pair> &Pairs,
                    const std::optional<time_difference> &Pooled)
    -> std::optional<std::string> {
  const auto Tolerated =
      Shifted ? Settings.ShiftedMeasureSlowFactor : Settings.MeasureSlowFactor;
  for (const auto &[Route, Pair] : Pairs) {
    if (hasExcessErrors(Settings, Pair))
      return errorText(Route, Pair);
    // Times differ between routes, so they are only compared per route.
    const auto Difference = compareTimes(Pair, Settings.MinTimes);
    if (!Route.empty() &&
        isTooSlow(Settings, Difference, Tolerated, Settings.MinTimes))
      return "too slow: " + timeText(Route, *Difference);
  }
  if (isTooSlow(Settings, Pooled, toleratedRatio(Settings, Shifted),
                Settings.MinHealthyTimes))
    return "too slow: " + timeText("", *Pooled);
  return std::nullopt;
}

auto durationMs(const rollout_evaluator_settings &Settings,
                const service_rollout &Rollout) -> double {
  return static_cast<double>(Rollout.DurationMs == 0
                                 ? Settings.DefaultDurationMs
                                 : Rollout.DurationMs);
}

auto isDecisionDue(const rollout_evaluator_settings &Settings,
                   const service_rollout &Rollout, double ElapsedMs) -> bool {
  return !Rollout.Shifted && ElapsedMs >= Settings.DecisionTimeShare *
                                              durationMs(Settings, Rollout);
}

auto decideByMean(const rollout_evaluator_settings &Settings,
                  const time_difference &Difference) -> rollout_decision {
  const auto Text = timeText("", Difference);
  if (Difference.Mean > std::log(Settings.SlowFactor))
    return {rollout_step::stop, "not known to be healthy in time: " + Text};
  return {rollout_step::shift, "healthy by its mean times: " + Text};
}

/// \return when the shift or the completion is due, in milliseconds after the
/// start.
auto nextStepDue(const rollout_evaluator_settings &Settings,
                 const service_rollout &Rollout) -> double {
  const auto Duration = durationMs(Settings, Rollout);
  if (!Rollout.Shifted)
    return Settings.ShiftTimeShare * Duration;
  const auto ShiftedAfter = static_cast<double>(
      Rollout.ShiftedMs - std::min(Rollout.StartedMs, Rollout.ShiftedMs));
  return std::max(Settings.CompleteTimeShare * Duration,
                  ShiftedAfter + Settings.ShiftedTimeShare * Duration);
}

} // namespace

// The permitted exposure is a share of all requests in the rollout's duration,
// of which the new version gets none while sessions are collected.
auto maxCandidateShare(double ExposureShare) -> double {
  constexpr double ExposureMultiple = 1.5;
  return std::min(ExposureMultiple * ExposureShare, 1.0);
}

// A version under less load than its predecessor looks faster than it is, and
// under more load slower. A request at a single server cannot avoid work that
// waits there, whereas the predecessor's requests can.
auto planCandidateLoad(double ExposureShare, std::size_t Servers)
    -> candidate_load {
  constexpr double MinServers = 2;
  const auto MaxShare = maxCandidateShare(ExposureShare);
  if (Servers == 0)
    return {MaxShare, 0};
  const auto All = static_cast<double>(Servers);
  const auto Count = std::max(std::round(MaxShare * All), MinServers);
  return {std::min(Count / All, MaxShare), static_cast<std::uint32_t>(Count)};
}

auto binomialTail(std::uint64_t Requests, std::uint64_t Errors, double Rate)
    -> double {
  if (Errors == 0)
    return 1;
  if (Rate <= 0)
    return 0;
  const auto Count = static_cast<double>(Requests);
  double Sum = 0;
  for (auto Failures = Errors; Failures <= Requests; ++Failures) {
    const auto Failed = static_cast<double>(Failures);
    const auto LogCoefficient = std::lgamma(Count + 1) -
                                std::lgamma(Failed + 1) -
                                std::lgamma(Count - Failed + 1);
    Sum += std::exp(LogCoefficient + Failed * std::log(Rate) +
                    (Count - Failed) * std::log1p(-Rate));
  }
  return std::min(Sum, 1.0);
}

auto evaluateRollout(const rollout_evaluator_settings &Settings,
                     const service_rollout &Rollout,
                     const service_evidence &Evidence, std::uint64_t NowMs)
    -> rollout_decision {
  const auto Pairs = pairCounts(Evidence);
  const auto Pooled = compareAllTimes(Pairs);
  if (auto Reason = findStopReason(Settings, Rollout.Shifted, Pairs, Pooled))
    return {rollout_step::stop, std::move(*Reason)};
  if (Rollout.Collecting) {
    if (Evidence.ListedMs != 0 &&
        NowMs >= Evidence.ListedMs + Settings.CollectMs)
      return {rollout_step::open, "sessions under way are known"};
    return {};
  }
  const auto Elapsed =
      static_cast<double>(NowMs - std::min(NowMs, Rollout.StartedMs));
  if (isDecisionDue(Settings, Rollout, Elapsed) && Pooled &&
      Pooled->Candidates >= Settings.MinHealthyTimes)
    return decideByMean(Settings, *Pooled);
  if (Elapsed < nextStepDue(Settings, Rollout) ||
      !isHealthy(Settings, Pooled, toleratedRatio(Settings, Rollout.Shifted)))
    return {};
  return {Rollout.Shifted ? rollout_step::complete : rollout_step::shift,
          "healthy: " + timeText("", *Pooled)};
}

} // namespace acacianotch
