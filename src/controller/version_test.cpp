/// \file Sequential test of a version against its predecessor.
#include "controller/version_test.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace acacianotch {

namespace {

// Weight of the evidence pooled over all classes; the single classes share the
// rest.
constexpr double PooledWeight = 0.5;
// Weights of the metrics in their order; they sum to 1.
constexpr std::array<double, TestMetricCount> MetricWeights{0.25, 0.25, 0.25,
                                                            0.125, 0.125};

auto settingsError(std::string Reason) -> failure {
  return failure::of(errc::bad_settings, std::move(Reason));
}

auto inOpenUnitInterval(double Value) -> bool { return Value > 0 && Value < 1; }

auto validShares(const std::vector<double> &Shares) -> bool {
  const bool Sorted = std::is_sorted(Shares.begin(), Shares.end());
  return !Shares.empty() && Sorted && Shares.front() > 0 && Shares.back() <= 1;
}

auto metricName(std::size_t Index) -> std::string {
  return std::string(TestMetricNames.name(static_cast<test_metric>(Index)));
}

} // namespace

auto evidence_process::add(double Log) -> void {
  // The version may be bad from any batch on. Most of the prior is on the first
  // batch; the rest is spread over the later ones as 1 / (n (n + 1)), which
  // sums to one half from n = 2 on.
  constexpr double FirstBatchPrior = 0.8;
  Batches += 1;
  const double StartPrior =
      Batches == 1 ? FirstBatchPrior
                   : 2 * (1 - FirstBatchPrior) / (Batches * (Batches + 1));
  Value = (Value + StartPrior) * std::exp(Log);
}

auto selectsCanary(std::string_view Rollout, std::string_view Key, double Share)
    -> bool {
  const auto Seed = XXH3_64bits(Rollout.data(), Rollout.size());
  const auto Hash = XXH3_64bits_withSeed(Key.data(), Key.size(), Seed);
  constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
  return static_cast<double>(Hash >> 11U) * Scale < Share;
}

auto version_test::create(version_test_settings Settings)
    -> result<version_test> {
  if (!inOpenUnitInterval(Settings.ErrorMargin) ||
      !inOpenUnitInterval(Settings.PassMargin))
    return settingsError("error and pass margins must be between 0 and 1");
  if (!(Settings.FirstTokenFactor >= 1.25 && Settings.FirstTokenFactor <= 100))
    return settingsError(
        "the factor on time to first token must be in 1.25..100");
  if (!inOpenUnitInterval(Settings.FalseStop) ||
      !inOpenUnitInterval(Settings.FalseAdvance))
    return settingsError("error probabilities must be between 0 and 1");
  if (!validShares(Settings.Shares))
    return settingsError("shares must grow from above 0 to at most 1");
  return version_test(std::move(Settings));
}

auto version_test::share() const -> double {
  if (!Started || Stopped.Verdict == version_verdict::stop)
    return 0;
  return Stage < Settings.Shares.size() ? Settings.Shares[Stage] : 1;
}

auto version_test::enterStage(time_point Now) -> void {
  StageLog = {};
  StageCount = 0;
  StageStartedAt = Now;
}

auto version_test::addClass(class_state &State, const class_counters &Totals,
                            batch_ratio &PooledRatio) -> void {
  auto PredecessorDelta = Totals.Predecessor;
  PredecessorDelta.subtract(State.Seen.Predecessor);
  // The predecessor's part of a batch is added first, so that a change of load
  // that affects both arms does not count against the canary.
  State.Predecessor.add(PredecessorDelta);
  State.Seen.Predecessor = Totals.Predecessor;
  if (State.Predecessor.Long.Requests < static_cast<double>(Settings.Baseline))
    return;
  auto CanaryDelta = Totals.Canary;
  CanaryDelta.subtract(State.Seen.Canary);
  State.Seen.Canary = Totals.Canary;
  const auto Ratio = batchRatio(Settings, State.Predecessor, CanaryDelta);
  for (std::size_t Metric = 0; Metric < TestMetricCount; ++Metric) {
    if (Ratio.Count[Metric] == 0)
      continue;
    State.Processes[Metric].add(Ratio.Log[Metric]);
    PooledRatio.Log[Metric] += Ratio.Log[Metric];
    PooledRatio.Count[Metric] += Ratio.Count[Metric];
  }
  StageCount += CanaryDelta.Requests;
}

auto version_test::addEvidence(const evidence_counters &Totals) -> void {
  batch_ratio Ratio;
  for (const auto &[Class, Counters] : Totals)
    addClass(Classes[Class], Counters, Ratio);
  for (std::size_t Metric = 0; Metric < TestMetricCount; ++Metric) {
    if (Ratio.Count[Metric] == 0)
      continue;
    Pooled[Metric].add(Ratio.Log[Metric]);
    StageLog[Metric] += Ratio.Log[Metric];
  }
}

auto version_test::detectRegression() const -> version_decision {
  // A weighted mean of evidence processes is an evidence process as well, so
  // the probability that it ever reaches 1 / FalseStop for an equal version is
  // at most FalseStop.
  double Sum = 0;
  double LargestContribution = 0;
  std::string Reason;
  const auto Add = [&](const metric_processes &Processes, double Weight,
                       const std::string &Scope) {
    for (std::size_t Metric = 0; Metric < TestMetricCount; ++Metric) {
      const double Contribution =
          Weight * MetricWeights[Metric] * Processes[Metric].value();
      Sum += Contribution;
      if (Contribution <= LargestContribution)
        continue;
      LargestContribution = Contribution;
      Reason = metricName(Metric) + " " + Scope;
    }
  };
  Add(Pooled, PooledWeight, "over all classes");
  const auto Count =
      static_cast<double>(std::max<std::size_t>(Classes.size(), 1));
  for (const auto &[Class, State] : Classes)
    Add(State.Processes, (1 - PooledWeight) / Count, "in class " + Class);
  if (Sum * Settings.FalseStop < 1)
    return {version_verdict::keep, ""};
  return {version_verdict::stop,
          "worse than the predecessor by the margin: " + Reason};
}

auto version_test::missingEvidence(time_point Now) const -> std::string {
  if (Now - StageStartedAt < Settings.StageTime)
    return "least time of the stage has not passed";
  if (StageCount < Settings.StageRequests)
    return "too few canary requests in the stage";
  const double RequiredLog = std::log(Settings.FalseAdvance);
  const std::size_t RequiredMetrics = Settings.NeedRatings ? 3 : 2;
  for (std::size_t Metric = 0; Metric < RequiredMetrics; ++Metric)
    if (StageLog[Metric] > RequiredLog)
      return "not enough evidence on " + metricName(Metric);
  return "";
}

auto version_test::evaluate(const evidence_counters &Totals, time_point Now)
    -> version_decision {
  if (Stopped.Verdict == version_verdict::stop)
    return Stopped;
  addEvidence(Totals);
  if (!Started) {
    Started =
        std::any_of(Classes.begin(), Classes.end(), [this](const auto &Item) {
          return Item.second.Predecessor.Long.Requests >=
                 static_cast<double>(Settings.Baseline);
        });
    enterStage(Now);
    return {version_verdict::keep, "waiting for the predecessor's baseline"};
  }
  auto Decision = detectRegression();
  if (Decision.Verdict == version_verdict::stop) {
    Stopped = Decision;
    return Decision;
  }
  if (Stage >= Settings.Shares.size())
    return {version_verdict::keep, "rolled out"};
  auto Missing = missingEvidence(Now);
  if (!Missing.empty())
    return {version_verdict::keep, std::move(Missing)};
  ++Stage;
  enterStage(Now);
  return {version_verdict::advance, "no worse than the predecessor"};
}

} // namespace acacianotch
