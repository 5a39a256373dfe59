/// \file Evaluation of service rollouts: when one shifts, completes or stops.
#include "controller/rollout_evaluator.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>

namespace acacianotch {

namespace {

/// Counts of both arms on one route.
struct arm_pair {
  arm_counts Serving;
  arm_counts Candidate;
};

auto add(arm_counts &Sum, const arm_counts &More) -> void {
  Sum.Requests += More.Requests;
  Sum.Errors += More.Errors;
  Sum.Timed += More.Timed;
  Sum.LogTime += More.LogTime;
}

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

auto isTooSlow(const rollout_evaluator_settings &Settings, const arm_pair &Pair)
    -> bool {
  const auto &New = Pair.Candidate;
  const auto &Old = Pair.Serving;
  if (New.Timed < Settings.MinTimedAnswers ||
      Old.Timed < Settings.MinTimedAnswers)
    return false;
  const auto Difference = New.LogTime / static_cast<double>(New.Timed) -
                          Old.LogTime / static_cast<double>(Old.Timed);
  return Difference > std::log(Settings.SlowFactor);
}

auto reasonText(const char *Measure, const std::string &Route,
                const arm_pair &Pair) -> std::string {
  return std::string(Measure) + " on " + (Route.empty() ? "all" : Route) +
         ": " + std::to_string(Pair.Candidate.Errors) + " of " +
         std::to_string(Pair.Candidate.Requests) + " failed, predecessor " +
         std::to_string(Pair.Serving.Errors) + " of " +
         std::to_string(Pair.Serving.Requests);
}

} // namespace

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
  std::map<std::string, arm_pair> Pairs;
  auto &All = Pairs[""];
  for (const auto &Row : Evidence.Counts) {
    const auto IsNew = Row.Arm == version_arm::candidate;
    add(IsNew ? All.Candidate : All.Serving, Row);
    if (Row.Route.empty())
      continue;
    auto &Pair = Pairs[Row.Route];
    add(IsNew ? Pair.Candidate : Pair.Serving, Row);
  }
  for (const auto &[Route, Pair] : Pairs) {
    if (hasExcessErrors(Settings, Pair))
      return {rollout_step::stop, reasonText("errors", Route, Pair)};
    // Answer times differ between routes, so they are only compared per route.
    if (!Route.empty() && isTooSlow(Settings, Pair))
      return {rollout_step::stop, reasonText("slow answers", Route, Pair)};
  }
  const auto Duration =
      static_cast<double>(Rollout.DurationMs == 0 ? Settings.DefaultDurationMs
                                                  : Rollout.DurationMs);
  const auto Elapsed =
      static_cast<double>(NowMs - std::min(NowMs, Rollout.StartedMs));
  if (Rollout.Collecting) {
    if (Evidence.ListedMs != 0 &&
        NowMs >= Evidence.ListedMs + Settings.CollectMs)
      return {rollout_step::open, "sessions under way are known"};
    return {};
  }
  if (!Rollout.Shifted) {
    const auto Due = Elapsed >= Settings.ShiftTimeShare * Duration;
    if (Due && All.Candidate.Requests >= Settings.MinRequests)
      return {rollout_step::shift, "the evidence is clean"};
    return {};
  }
  if (Elapsed >= Settings.CompleteTimeShare * Duration)
    return {rollout_step::complete, "the evidence is clean"};
  return {};
}

} // namespace acacianotch
