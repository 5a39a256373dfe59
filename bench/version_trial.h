/// \file Trials of version tests: entries with traffic, delayed and duplicated
/// reports, and a version that may be bad.
#pragma once

#include "controller/version_test.h"
#include "fake_models.h"
#include "fake_rating.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace acacianotch::bench {

/// Behaviour of a version in one class.
struct version_behaviour {
  double ErrorRate = 0.01;
  double FirstToken = 1; ///< Factor on the class's time to first token.
  double PassRate = 0.9;
};

/// Faults that affect both arms.
enum class common_fault : std::uint8_t { none, slow, errors, ratings };

/// One scenario of the version test benchmark.
struct version_scenario {
  std::string Name;
  bool Bad = true;
  /// Behaviour of the version under test by class; that of the predecessor is
  /// the default.
  std::array<version_behaviour, 3> Canary{};
  double FaultFrom = 0;      ///< Seconds at which the fault begins.
  double FaultTo = 0;        ///< Seconds until which it lasts.
  std::size_t FromStage = 0; ///< Stage at which the version turns bad.
  common_fault Fault = common_fault::none; ///< Of both arms.
};

/// Outcome of one rollout.
struct rollout_score {
  double Exposed = 0; ///< Requests on the version while it was bad.
  bool Stopped = false;
  bool Finished = false; ///< Rolled out.
  double Seconds = 0;
};

inline auto versionScenarios() -> std::vector<version_scenario> {
  const version_behaviour Equal;
  const std::array Same{Equal, Equal, Equal};
  const version_behaviour Errors{0.21, 1, 0.9};
  const version_behaviour Broken{1, 1, 0.9};
  const version_behaviour Slow{0.01, 2.5, 0.9};
  const version_behaviour Poor{0.01, 1, 0.5};
  const version_behaviour Within{0.02, 1.1, 0.87};
  return {
      {"errors", true, {Errors, Errors, Errors}},
      {"broken", true, {Broken, Broken, Broken}},
      {"slow", true, {Slow, Slow, Slow}},
      {"quality", true, {Poor, Poor, Poor}},
      {"class_broken", true, {Equal, Broken, Equal}},
      {"class_slow", true, {Equal, Slow, Equal}},
      {"class_quality", true, {Equal, {0.01, 1, 0.2}, Equal}},
      {"turns_bad_at_5_percent", true, {Errors, Errors, Errors}, 0, 0, 1},
      {"equal", false, {Equal, Equal, Equal}},
      {"within_margin", false, {Within, Within, Within}},
      {"both_slower", false, Same, 90, 130, 0, common_fault::slow},
      {"both_failing", false, Same, 90, 110, 0, common_fault::errors},
      {"ratings_inverted", false, Same, 90, 130, 0, common_fault::ratings},
  };
}

/// Test that stops when a share differs by half the margin after a fixed number
/// of canary requests.
class fixed_threshold_test {
public:
  explicit fixed_threshold_test(version_test_settings Value)
      : Settings(std::move(Value)) {}

  [[nodiscard]] auto evaluate(const evidence_counters &Totals, time_point Now)
      -> version_decision {
    class_counters Sum;
    for (const auto &[Class, Counters] : Totals) {
      Sum.Predecessor.add(Counters.Predecessor);
      Sum.Canary.add(Counters.Canary);
    }
    if (Sum.Predecessor.Requests < Settings.Baseline) {
      StageStart = Now;
      return {version_verdict::keep, ""};
    }
    Started = true;
    if (Sum.Canary.Requests >= MinRequests && bad(Sum)) {
      Stopped = true;
      return {version_verdict::stop, "threshold"};
    }
    const bool Ready =
        Now - StageStart >= Settings.StageTime &&
        Sum.Canary.Requests - StageStartRequests >= Settings.StageRequests;
    if (Stage >= Settings.Shares.size() || !Ready)
      return {version_verdict::keep, ""};
    ++Stage;
    StageStart = Now;
    StageStartRequests = Sum.Canary.Requests;
    return {version_verdict::advance, ""};
  }

  [[nodiscard]] auto share() const -> double {
    if (!Started || Stopped)
      return 0;
    return Stage < Settings.Shares.size() ? Settings.Shares[Stage] : 1;
  }
  [[nodiscard]] auto stage() const -> std::size_t { return Stage; }

private:
  static constexpr std::uint64_t MinRequests = 20;

  [[nodiscard]] static auto share(std::uint64_t Part, std::uint64_t Whole)
      -> double {
    return Whole == 0 ? 0
                      : static_cast<double>(Part) / static_cast<double>(Whole);
  }

  [[nodiscard]] static auto median(const arm_counters &Arm) -> double {
    std::uint64_t Seen = 0;
    for (std::size_t Bucket = 0; Bucket < arm_counters::Buckets; ++Bucket) {
      Seen += Arm.FirstToken[Bucket];
      if (2 * Seen >= Arm.Requests - Arm.Errors)
        return static_cast<double>(Bucket);
    }
    return 0;
  }

  [[nodiscard]] auto bad(const class_counters &Sum) const -> bool {
    const auto &Old = Sum.Predecessor;
    const auto &New = Sum.Canary;
    const double Errors =
        share(New.Errors, New.Requests) - share(Old.Errors, Old.Requests);
    const double Passes =
        share(Old.Passed, Old.Rated) - share(New.Passed, New.Rated);
    const bool Rated = New.Rated >= MinRequests;
    const double Buckets = std::log(Settings.FirstTokenFactor) / std::log(1.25);
    const bool Slow =
        New.Errors < New.Requests && median(New) - median(Old) > Buckets / 2;
    return Errors > Settings.ErrorMargin / 2 || Slow ||
           (Rated && Passes > Settings.PassMargin / 2);
  }

  version_test_settings Settings;
  bool Started = false;
  bool Stopped = false;
  std::size_t Stage = 0;
  std::uint64_t StageStartRequests = 0;
  time_point StageStart{};
};

/// Settings of the benchmark's rollouts. The margins are differences that 50
/// requests can show; see docs/policy-versions.md.
inline auto rolloutSettings() -> version_test_settings {
  version_test_settings Settings;
  Settings.Shares = {0.01, 0.05, 0.25};
  Settings.ErrorMargin = 0.15;
  Settings.PassMargin = 0.3;
  Settings.StageTime = std::chrono::seconds(30);
  Settings.StageRequests = 60;
  return Settings;
}

/// Runs one rollout under \p test; the same seed gives the same traffic.
template <typename test> class rollout_trial {
public:
  rollout_trial(const version_scenario &Which, std::uint64_t Seed, test &Tested)
      : Scenario(Which), Random(Seed), Test(Tested),
        Rollout("rollout" + std::to_string(Seed)) {
    for (std::size_t Index = 0; Index < Entries; ++Index)
      Recorders.emplace_back(node_id("entry" + std::to_string(Index)), 1);
  }

  [[nodiscard]] auto run() -> rollout_score {
    const auto Step = std::chrono::milliseconds(500);
    const time_point End{std::chrono::seconds(MaxSeconds)};
    std::size_t Stage = 0;
    while (Clock.now() < End && !Score.Stopped && !Score.Finished) {
      // Entries apply a verdict with a delay of half a second.
      sendRequests(Step, Share);
      Share = Test.share();
      Stage = Test.stage();
      Bad = Scenario.Bad && Stage >= Scenario.FromStage;
      Clock.advance(Step);
      runEvents();
      for (auto &Recorder : Recorders)
        sendReport(Recorder);
      const auto Decision = Test.evaluate(Aggregator.totals(), Clock.now());
      Score.Stopped = Decision.Verdict == version_verdict::stop;
      Score.Finished = Test.stage() >= rolloutSettings().Shares.size();
    }
    if (Score.Stopped)
      sendRequests(Step, Share);
    Score.Seconds =
        static_cast<double>(Clock.now().time_since_epoch().count()) / 1e6;
    return Score;
  }

private:
  static constexpr std::size_t Entries = 6;
  static constexpr double RequestsPerSecond = 100;
  static constexpr std::int64_t MaxSeconds = 600;
  static constexpr double PredecessorRated = 0.25;

  struct finished_event {
    std::size_t Entry;
    std::size_t Class;
    test_arm Arm;
    bool Failed;
    duration FirstToken;
  };
  struct rated_event {
    std::size_t Entry;
    std::size_t Class;
    test_arm Arm;
    bool Passed;
  };
  using event = std::variant<finished_event, rated_event, evidence_report>;

  [[nodiscard]] static auto className(std::size_t Class) -> std::string_view {
    constexpr std::array<std::string_view, 3> Names{"chat", "draft", "tag"};
    return Names[Class];
  }

  [[nodiscard]] auto drawClass() -> std::size_t {
    const double Point = randomUnit(Random);
    return Point < 0.4 ? 0 : Point < 0.75 ? 1 : 2;
  }

  auto sendRequests(duration Step, double CanaryShare) -> void {
    const double Count =
        RequestsPerSecond * static_cast<double>(Step.count()) / 1e6;
    for (double Index = 0; Index < Count; ++Index)
      sendRequest(CanaryShare);
  }

  auto sendRequest(double CanaryShare) -> void {
    const auto Key = std::to_string(Random());
    const bool Canary = selectsCanary(Rollout, Key, CanaryShare);
    const auto Arm = Canary ? test_arm::canary : test_arm::predecessor;
    const auto Class = drawClass();
    const auto Entry = randomBelow(Random, Entries);
    const version_behaviour Normal;
    const auto &Behaviour = Canary && Bad             ? Scenario.Canary[Class]
                            : Canary && !Scenario.Bad ? Scenario.Canary[Class]
                                                      : Normal;
    if (Canary && Bad)
      Score.Exposed += 1;
    const bool Failed =
        randomUnit(Random) <
        (faulty(common_fault::errors) ? 0.3 : Behaviour.ErrorRate);
    const auto FirstToken = drawFirstToken(Class, Behaviour);
    Queue.emplace(Clock.now() + FirstToken,
                  finished_event{Entry, Class, Arm, Failed, FirstToken});
    const bool Rated =
        !Failed && (Canary || randomUnit(Random) < PredecessorRated);
    if (!Rated || randomUnit(Random) < 0.05)
      return;
    const bool Good = randomUnit(Random) < Behaviour.PassRate;
    const bool Passed = Good != faulty(common_fault::ratings);
    const auto Delay = seconds(-2 * std::log(1 - randomUnit(Random)));
    Queue.emplace(Clock.now() + FirstToken + Delay,
                  rated_event{Entry, Class, Arm, Passed});
  }

  [[nodiscard]] auto faulty(common_fault Fault) const -> bool {
    const double Now =
        static_cast<double>(Clock.now().time_since_epoch().count()) / 1e6;
    return Fault == Scenario.Fault && Now >= Scenario.FaultFrom &&
           Now < Scenario.FaultTo;
  }

  [[nodiscard]] auto drawFirstToken(std::size_t Class,
                                    const version_behaviour &Behaviour)
      -> duration {
    constexpr std::array<double, 3> Medians{0.2, 0.4, 0.15}; // seconds
    const double Factor = faulty(common_fault::slow) ? 3 : 1;
    return seconds(Medians[Class] * Behaviour.FirstToken * Factor *
                   std::exp(0.5 * drawNormal(Random)));
  }

  /// Sends a report, which may be lost, delayed or duplicated.
  auto sendReport(evidence_recorder &Recorder) -> void {
    const auto Report = Recorder.report();
    const auto Delay = [this] {
      const bool Late = randomUnit(Random) < 0.05;
      return seconds((Late ? 3 : 0.1) * -std::log(1 - randomUnit(Random)));
    };
    if (randomUnit(Random) < 0.05)
      return;
    if (randomUnit(Random) < 0.05)
      Queue.emplace(Clock.now() + Delay(), Report);
    Queue.emplace(Clock.now() + Delay(), Report);
  }

  auto runEvents() -> void {
    while (!Queue.empty() && Queue.begin()->first <= Clock.now()) {
      const auto Event = std::move(Queue.begin()->second);
      Queue.erase(Queue.begin());
      std::visit([this](const auto &Item) { handle(Item); }, Event);
    }
  }

  auto handle(const finished_event &Event) -> void {
    Recorders[Event.Entry].recordRequest(className(Event.Class), Event.Arm,
                                         Event.Failed, Event.FirstToken);
  }
  auto handle(const rated_event &Event) -> void {
    Recorders[Event.Entry].recordRating(className(Event.Class), Event.Arm,
                                        Event.Passed);
  }
  auto handle(const evidence_report &Report) -> void {
    static_cast<void>(Aggregator.merge(Report).ok());
  }

  const version_scenario &Scenario;
  seeded_random Random;
  test &Test;
  std::string Rollout;
  virtual_clock Clock;
  std::vector<evidence_recorder> Recorders;
  evidence_aggregator Aggregator;
  std::multimap<time_point, event> Queue;
  rollout_score Score;
  double Share = 0;
  bool Bad = false;
};

} // namespace acacianotch::bench
