/// \file Sequential test of a version against its predecessor.
///
/// Entries count evidence with evidence_recorder and send reports. The owner of
/// the rollout merges them with evidence_aggregator and calls
/// version_test::evaluate() with the totals. Entries select the version of a
/// new session with selectsCanary().
#pragma once

#include "board/evidence_board.h"
#include "core/clock_type.h"
#include "core/enum_table.h"
#include "core/result.h"

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace acacianotch {

/// Settings of the test of one rollout. A version is bad if it is worse than
/// its predecessor by a margin.
struct version_test_settings {
  double ErrorMargin = 0.1;    ///< Increase of the share of failed requests.
  double FirstTokenFactor = 2; ///< Increase of the time to first token.
  double PassMargin = 0.2;     ///< Decrease of the share of passed answers.
  double FalseStop = 0.0005;   ///< Probability of stopping an equal version.
  double FalseAdvance = 0.01;  ///< Of advancing a bad version, per stage.
  std::vector<double> Shares{0.01, 0.05, 0.25, 0.5}; ///< Of new sessions.
  std::uint64_t StageRequests = 100; ///< Minimum canary requests per stage.
  duration StageTime = std::chrono::seconds(60); ///< Minimum time per stage.
  std::uint64_t Baseline = 2000; ///< Minimum predecessor requests per class.
  bool NeedRatings = true;       ///< Whether a stage needs ratings to advance.
};

/// Next action of the rollout.
enum class version_verdict : std::uint8_t {
  invalid, ///< Not set.
  keep,    ///< Keep the current share.
  advance, ///< Go to the next share, or to a full rollout after the last one.
  stop,    ///< Withdraw the version.
};

/// Names of version verdicts in logs and commands.
inline constexpr enum_table<version_verdict, 4> VersionVerdictNames{{{
    {version_verdict::invalid, "invalid"},
    {version_verdict::keep, "continue"},
    {version_verdict::advance, "advance"},
    {version_verdict::stop, "stop"},
}}};

/// A verdict with its reason.
struct version_decision {
  version_verdict Verdict = version_verdict::invalid;
  std::string Reason; ///< Metric and class, for operators.
};

/// Compared metrics. The first three test for the margin. The others test for a
/// version that is much worse, which is detected with fewer requests.
enum class test_metric : std::uint8_t {
  errors,
  first_token,
  ratings,
  many_errors,
  poor_ratings,
};

/// Names of the metrics in reasons.
inline constexpr enum_table<test_metric, 5> TestMetricNames{{{
    {test_metric::errors, "errors"},
    {test_metric::first_token, "time to first token"},
    {test_metric::ratings, "ratings"},
    {test_metric::many_errors, "errors"},
    {test_metric::poor_ratings, "ratings"},
}}};

constexpr std::size_t TestMetricCount = 5;

/// Log likelihood ratios of one batch of evidence, for a bad version against an
/// equal one.
struct batch_ratio {
  std::array<double, TestMetricCount> Log{};
  std::array<std::uint64_t, TestMetricCount> Count{}; ///< Observations.
};

/// Counters of the predecessor in one class, discounted by age.
struct discounted_counters {
  double Requests = 0;
  double Errors = 0;
  double Rated = 0;
  double Passed = 0;
  std::array<double, arm_counters::Buckets> FirstToken{};

  /// Adds \p Delta and discounts older counts to at most \p RequestLimit
  /// requests and \p RatingLimit ratings in total.
  auto add(const arm_counters &Delta, double RequestLimit, double RatingLimit)
      -> void;
};

/// Evidence on the predecessor in one class.
struct predecessor_record {
  discounted_counters Long;   ///< Over a long window, which is precise.
  discounted_counters Recent; ///< Over a short window, which is up to date.

  /// Adds \p Delta and discounts older evidence.
  auto add(const arm_counters &Delta) -> void;
};

/// \return the ratios of the canary's evidence \p Delta given \p Predecessor.
[[nodiscard]] auto batchRatio(const version_test_settings &Settings,
                              const predecessor_record &Predecessor,
                              const arm_counters &Delta) -> batch_ratio;

/// Anytime-valid evidence that a version is bad on one metric, in one class or
/// over all classes. It is a mixture over the batches from which on the version
/// may be bad; for an equal version its expectation never exceeds 1.
class evidence_process {
public:
  /// Adds a batch with the log likelihood ratio \p Log.
  auto add(double Log) -> void;

  /// \return the evidence; 0 before the first batch.
  [[nodiscard]] auto value() const -> double { return Value; }

private:
  double Value = 0;
  double Batches = 0;
};

/// \return whether a new session, or a request without a session, uses the
/// version under test. The result for a \p Key is stable, and a larger share
/// only adds keys. \p Rollout makes the selections of rollouts independent.
[[nodiscard]] auto selectsCanary(std::string_view Rollout, std::string_view Key,
                                 double Share) -> bool;

/// Sequential test of one rollout. It has no clock: the caller passes the time,
/// so that the test can run in the replicated state machine.
class version_test {
public:
  /// \return the test; `bad_settings` if a value is out of range.
  [[nodiscard]] static auto create(version_test_settings Settings)
      -> result<version_test>;

  /// Evaluates the merged \p Totals at \p Now. Totals must never decrease. A
  /// stop is final.
  [[nodiscard]] auto evaluate(const evidence_counters &Totals, time_point Now)
      -> version_decision;

  /// \return the share of new sessions for the version under test: 0 before the
  /// predecessor's baseline is complete and after a stop, 1 after the last
  /// stage.
  [[nodiscard]] auto share() const -> double;

  /// \return the current stage; the number of shares after the last stage.
  [[nodiscard]] auto stage() const -> std::size_t { return Stage; }

private:
  using metric_processes = std::array<evidence_process, TestMetricCount>;

  struct class_state {
    class_counters Seen;
    predecessor_record Predecessor;
    metric_processes Processes;
  };

  explicit version_test(version_test_settings Value)
      : Settings(std::move(Value)) {}

  auto addClass(class_state &State, const class_counters &Totals,
                batch_ratio &PooledRatio) -> void;
  auto addEvidence(const evidence_counters &Totals) -> void;
  [[nodiscard]] auto detectRegression() const -> version_decision;
  /// \return why the stage cannot advance; empty if it can.
  [[nodiscard]] auto missingEvidence(time_point Now) const -> std::string;
  auto enterStage(time_point Now) -> void;

  version_test_settings Settings;
  std::map<std::string, class_state> Classes;
  metric_processes Pooled;
  /// Log likelihood ratios of the stage over all classes.
  std::array<double, TestMetricCount> StageLog{};
  std::uint64_t StageCount = 0; ///< Canary requests in the stage.
  std::size_t Stage = 0;
  bool Started = false;
  time_point StageStartedAt{};
  version_decision Stopped;
};

} // namespace acacianotch
