/// \file Sequential test of a version against its predecessor.
///
/// Entries count with evidence_recorder and report; the owner of the rollout
/// merges with evidence_ledger and calls version_test::evaluate() with the
/// totals. Entries choose the version of a new session with selectsCanary().
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

/// Settings of one rollout. A version is bad if it is worse than its
/// predecessor by a margin.
struct version_test_settings {
  double ErrorMargin = 0.1;    ///< Added to the share of failed requests.
  double FirstTokenFactor = 2; ///< On the time to first token.
  double PassMargin = 0.2;     ///< Taken from the share of passed answers.
  double FalseStop = 0.0005;   ///< Probability of stopping an equal version.
  double FalseAdvance = 0.01;  ///< Same for advancing a bad one, per stage.
  std::vector<double> Shares{0.01, 0.05, 0.25, 0.5}; ///< Of new sessions.
  std::uint64_t StageRequests = 100; ///< Least canary requests per stage.
  duration StageTime = std::chrono::seconds(60); ///< Least time per stage.
  std::uint64_t Baseline = 2000; ///< Least predecessor requests per class.
  bool NeedRatings = true;       ///< Whether a stage needs ratings to advance.
};

/// What the rollout should do.
enum class version_verdict : std::uint8_t {
  invalid, ///< Not set.
  keep,    ///< Stay at the present share.
  advance, ///< Go to the next share; after the last one, roll out.
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
  std::string Reason; ///< Measure, class and figures, for people.
};

/// What is compared. The first three test for the margin, the others for a
/// version that is much worse, which shows sooner.
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

constexpr std::size_t TestMetrics = 5;

/// Log likelihood ratios, bad over equal, of one batch of evidence.
struct batch_ratio {
  std::array<double, TestMetrics> Log{};
  std::array<std::uint64_t, TestMetrics> Count{}; ///< Observations.
};

/// Discounted counters of the predecessor in one class.
struct discounted_counters {
  double Requests = 0;
  double Errors = 0;
  double Rated = 0;
  double Passed = 0;
  std::array<double, arm_counters::Buckets> FirstToken{};

  /// Adds \p Delta and keeps about \p RequestLimit requests and
  /// \p RatingLimit ratings.
  auto add(const arm_counters &Delta, double RequestLimit, double RatingLimit)
      -> void;
};

/// Evidence on the predecessor in one class: precise, and up to date.
struct predecessor_record {
  discounted_counters Long;
  discounted_counters Recent;

  /// Adds \p Delta and discounts what is older.
  auto add(const arm_counters &Delta) -> void;
};

/// \return the ratios of the canary evidence \p Delta given \p Known.
[[nodiscard]] auto batchRatio(const version_test_settings &Settings,
                              const predecessor_record &Known,
                              const arm_counters &Delta) -> batch_ratio;

/// Evidence against one metric in one class or over all, valid at any time.
/// It is a mixture over the batches from which on the version may be bad:
/// under an equal version its expectation never exceeds 1.
class evidence_process {
public:
  /// Adds a batch with log likelihood ratio \p Log.
  auto add(double Log) -> void;

  /// \return the evidence; 0 before the first batch.
  [[nodiscard]] auto value() const -> double { return Value; }

private:
  double Value = 0;
  double Batches = 0;
};

/// Whether a new session or sessionless request takes the version under test.
/// The same \p Key always gives the same answer, and a larger share only adds
/// keys. \p Rollout separates rollouts from each other.
[[nodiscard]] auto selectsCanary(std::string_view Rollout, std::string_view Key,
                                 double Share) -> bool;

/// Sequential test of one rollout, without clock: the caller passes the time,
/// so that it can run in the replicated state machine.
class version_test {
public:
  /// \return the test; `bad_settings` if a value is out of range.
  [[nodiscard]] static auto create(version_test_settings Settings)
      -> result<version_test>;

  /// Evaluates the merged \p Totals at \p Now. Totals never decrease. After a
  /// stop, the verdict stays.
  [[nodiscard]] auto evaluate(const evidence_counters &Totals, time_point Now)
      -> version_decision;

  /// \return the share of new sessions for the version under test: 0 until
  /// the predecessor's baseline is known and after a stop, 1 when rolled out.
  [[nodiscard]] auto share() const -> double;

  /// \return the current stage; equal to the number of shares when rolled out.
  [[nodiscard]] auto stage() const -> std::size_t { return Stage; }

private:
  using metric_processes = std::array<evidence_process, TestMetrics>;

  struct class_state {
    class_counters Seen;
    predecessor_record Known;
    metric_processes Processes;
  };

  explicit version_test(version_test_settings Value)
      : Settings(std::move(Value)) {}

  auto addClass(class_state &State, const class_counters &Totals,
                batch_ratio &Pooled) -> void;
  auto addEvidence(const evidence_counters &Totals) -> void;
  [[nodiscard]] auto findBad() const -> version_decision;
  [[nodiscard]] auto missing(time_point Now) const -> std::string;
  auto enterStage(time_point Now) -> void;

  version_test_settings Settings;
  std::map<std::string, class_state> Classes;
  metric_processes Pooled;
  std::array<double, TestMetrics> StageLog{}; ///< Of the stage, all classes.
  std::uint64_t StageCount = 0;               ///< Canary requests of the stage.
  std::size_t Stage = 0;
  bool Started = false;
  time_point StageSince{};
  version_decision Stopped;
};

} // namespace acacianotch
