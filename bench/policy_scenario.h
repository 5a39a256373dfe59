/// \file Scenarios of the policy benchmark and their results.
#pragma once

#include "policy_entry.h"

namespace acacianotch::policy {

/// One scenario; demand is relative to capacity.
struct scenario {
  std::uint32_t Entries = 3;
  std::uint32_t Backends = 20;
  std::uint32_t Zones = 3;
  engine_options Engine{};
  policy_choice Choice{};
  double ShortDemand = 0.35; ///< Offered short work.
  double LongDemand = 0.0;   ///< Offered long work.
  double SlowShare = 0.0;    ///< Share of slowed backend servers.
  double SlowFactor = 10.0;
  duration SlowPeriod{10'000'000}; ///< Time until others are slowed.
  double DemandVariation = 0.3;    ///< Relative variation of demand.
  double LowDemandFactor = 0.0; ///< Demand factor half of the time, if not 0.
  double PauseShare = 0.0;      ///< Share of time without short work.
  duration WarmUp{10'000'000};
  duration Length{60'000'000};
  duration ShortDeadline{4'000'000};
  duration LongDeadline{180'000'000};
  double IdempotentShare = 0.9;
  double RetryingShare = 0.5; ///< Callers that retry once after RetryAfter.
};

/// Latencies of one kind of work.
struct latency_log {
  std::vector<double> Micros;
  std::uint64_t Good = 0; ///< Completed within the deadline.
  std::uint64_t Late = 0;
  std::uint64_t Rejected = 0;
  std::uint64_t Offered = 0;

  /// \return the latency in ms that \p Share of the requests do not exceed.
  [[nodiscard]] auto quantile(double Share) const -> double {
    if (Micros.empty())
      return 0.0;
    auto Sorted = Micros;
    const auto Rank = static_cast<std::ptrdiff_t>(
        Share * static_cast<double>(Sorted.size() - 1));
    const auto Middle = std::next(Sorted.begin(), Rank);
    std::nth_element(Sorted.begin(), Middle, Sorted.end());
    return *Middle / 1'000.0;
  }
};

/// Results of one run.
struct run_result {
  latency_log Short;
  latency_log Long;
  latency_log SmallAccounts; ///< Short work of all but the large accounts.
  double Goodput = 0.0;      ///< Work completed in time, over capacity.
  double HedgeShare = 0.0;   ///< Hedges per request.
  double RetryShare = 0.0;   ///< Retries of the entry per request.
  std::uint64_t Ejections = 0;
  std::uint64_t Probes = 0;
};

// Service times on an otherwise idle engine are lognormal with this mean;
// prefill is a fifth. Long work takes 20 to 50 times the mean of short work.
constexpr double MeanShortMicros = 400'000.0;
constexpr double Sigma = 0.6;
constexpr double PrefillShare = 0.2;
constexpr double MeanLongFactor = 35.0;
constexpr int Accounts = 10;
constexpr int LargeAccounts = 2;
constexpr double LargeShare = 0.8;
constexpr std::uint64_t Prefixes = 400;

/// Runs one scenario with one seed.
class simulation {
public:
  simulation(const scenario &Values, std::uint64_t Seed)
      : Scenario(Values), DemandRandom{seeded_random(4 * Seed),
                                       seeded_random(4 * Seed + 1)},
        ConditionRandom(4 * Seed + 2), CallerRandom(4 * Seed + 3) {
    addAgents();
    addEntries(Seed);
    Sink.Done = [this](const fake_request &Request, duration) {
      onDone(Request);
    };
    Sink.Rejected = [this](const fake_request &Request,
                           const admission_result &Rejection) {
      onRejected(Request, Rejection);
    };
  }

  auto run() -> run_result {
    changeDemand();
    if (Scenario.SlowShare > 0.0)
      changeSlowBackends();
    if (Scenario.ShortDemand > 0.0)
      nextArrival(false);
    if (Scenario.LongDemand > 0.0)
      nextArrival(true);
    Loop.after(Scenario.WarmUp, [this] { BusyBefore = busyMicros(); });
    Loop.run(end());
    return summary();
  }

private:
  [[nodiscard]] auto end() const -> time_point {
    return time_point{} + Scenario.WarmUp + Scenario.Length;
  }

  auto addAgents() -> void {
    auto Settings = Scenario.Choice.Queue;
    Settings.Slots = Scenario.Engine.Slots;
    if (!Scenario.Choice.LongCap) {
      Settings.LongShare = 1.0;
      Settings.LongPenalty = duration{0};
    }
    // Without admission control, agents do not reject requests either.
    if (!Scenario.Choice.Admission)
      Settings.LaneLimit = Settings.TotalLimit = 1'000'000;
    for (std::uint32_t Index = 0; Index < Scenario.Backends; ++Index)
      Agents.push_back(std::make_unique<fake_agent>(
          Loop, Scenario.Engine, Settings, Scenario.Choice.Admission));
  }

  auto addEntries(std::uint64_t Seed) -> void {
    std::vector<backend_facts> Facts;
    for (std::uint32_t Index = 0; Index < Scenario.Backends; ++Index)
      Facts.push_back({backend_id("backend-" + std::to_string(Index)),
                       zone(Index), Scenario.Engine.Slots, false});
    for (std::uint32_t Index = 0; Index < Scenario.Entries; ++Index) {
      Entries.push_back(std::make_unique<fake_entry>(
          Loop, Agents, Sink, Scenario.Choice, Seed * 100 + Index,
          "entry-" + std::to_string(Index), zone(Index)));
      Entries.back()->setBackends(Facts, Scenario.Engine.NetworkDelay);
    }
  }

  [[nodiscard]] auto zone(std::uint32_t Index) const -> zone_id {
    return zone_id("zone-" + std::to_string(Index % Scenario.Zones));
  }

  // Capacity is defined for full batches, so it includes their slowdown.
  [[nodiscard]] auto fullBatch() const -> double {
    return 1.0 + Scenario.Engine.BatchSlowdown;
  }

  [[nodiscard]] auto capacityPerSecond(double MeanMicros) const -> double {
    const auto Slots = Scenario.Backends * Scenario.Engine.Slots;
    return Slots / (MeanMicros * fullBatch()) * 1e6;
  }

  auto changeDemand() -> void {
    DemandFactor =
        Scenario.LowDemandFactor > 0.0 && randomUnit(ConditionRandom) < 0.5
            ? Scenario.LowDemandFactor
            : 1.0 + Scenario.DemandVariation *
                        (2.0 * randomUnit(ConditionRandom) - 1.0);
    Paused = randomUnit(ConditionRandom) < Scenario.PauseShare;
    const auto HoldMicros = 1'000'000 + randomBelow(ConditionRandom, 2'000'000);
    Loop.after(duration{static_cast<std::int64_t>(HoldMicros)},
               [this] { changeDemand(); });
  }

  auto changeSlowBackends() -> void {
    const auto Count = static_cast<std::uint32_t>(
        std::lround(Scenario.SlowShare * Scenario.Backends));
    const auto From = randomBelow(ConditionRandom, Scenario.Backends);
    for (std::uint32_t Index = 0; Index < Scenario.Backends; ++Index) {
      const auto Offset =
          (Index + Scenario.Backends - From) % Scenario.Backends;
      Agents[Index]->Engine.setSlowdown(Offset < Count ? Scenario.SlowFactor
                                                       : 1.0);
    }
    Loop.after(Scenario.SlowPeriod, [this] { changeSlowBackends(); });
  }

  auto nextArrival(bool Long) -> void {
    const auto Mean = MeanShortMicros * (Long ? MeanLongFactor : 1.0);
    const auto Demand = Long ? Scenario.LongDemand : Scenario.ShortDemand;
    const auto Rate = Demand * DemandFactor * capacityPerSecond(Mean);
    const auto Gap =
        -std::log(1.0 - randomUnit(DemandRandom[Long ? 1 : 0])) / Rate * 1e6;
    Loop.after(duration{static_cast<std::int64_t>(Gap)}, [this, Long] {
      arrive(Long);
      nextArrival(Long);
    });
  }

  auto arrive(bool Long) -> void {
    auto &Random = DemandRandom[Long ? 1 : 0];
    const auto Request = draw(Long, Random);
    const auto Entry = randomBelow(Random, Entries.size());
    if (Paused && !Long)
      return;
    if (counted(Request)) {
      ++log(Long).Offered;
      if (small(Request))
        ++Result.SmallAccounts.Offered;
    }
    Entries[Entry]->submit(Request);
  }

  auto draw(bool Long, seeded_random &Random) -> fake_request {
    fake_request Request;
    const bool Large = randomUnit(Random) < LargeShare;
    const auto Number =
        Large ? randomBelow(Random, LargeAccounts)
              : LargeAccounts + randomBelow(Random, Accounts - LargeAccounts);
    Request.Account = account_id("account-" + std::to_string(Number));
    Request.Long = Long;
    Request.Idempotent = randomUnit(Random) < Scenario.IdempotentShare;
    Request.Prefix = drawPrefix(Random);
    const auto Micros = Long ? longMicros(Random) : shortMicros(Random);
    Request.Prefill = duration{std::llround(Micros * PrefillShare)};
    Request.Decode = duration{std::llround(Micros * (1.0 - PrefillShare))};
    Request.Arrival = Loop.Clock.now();
    Request.Deadline = Request.Arrival +
                       (Long ? Scenario.LongDeadline : Scenario.ShortDeadline);
    return Request;
  }

  // A few prefixes are much more frequent than the rest.
  static auto drawPrefix(seeded_random &Random) -> std::uint64_t {
    const auto Unit = randomUnit(Random);
    const auto Rank =
        static_cast<std::uint64_t>(Unit * Unit * static_cast<double>(Prefixes));
    return (Rank + 1) * 0x9e3779b97f4a7c15U;
  }

  static auto shortMicros(seeded_random &Random) -> double {
    constexpr double TwoPi = 6.283185307179586;
    const auto Radius = std::sqrt(-2.0 * std::log(1.0 - randomUnit(Random)));
    const auto Normal = Radius * std::cos(TwoPi * randomUnit(Random));
    return MeanShortMicros * std::exp(Sigma * Normal - 0.5 * Sigma * Sigma);
  }

  static auto longMicros(seeded_random &Random) -> double {
    return MeanShortMicros * (20.0 + 30.0 * randomUnit(Random));
  }

  [[nodiscard]] auto counted(const fake_request &Request) const -> bool {
    return Request.Arrival >= time_point{} + Scenario.WarmUp;
  }

  static auto small(const fake_request &Request) -> bool {
    return !Request.Long && Request.Account > account_id("account-1");
  }

  auto log(bool Long) -> latency_log & {
    return Long ? Result.Long : Result.Short;
  }

  auto onDone(const fake_request &Request) -> void {
    const auto Now = Loop.Clock.now();
    if (Now < time_point{} + Scenario.WarmUp)
      return;
    const bool Good = Now <= Request.Deadline;
    auto &Log = log(Request.Long);
    ++(Good ? Log.Good : Log.Late);
    if (counted(Request))
      Log.Micros.push_back(
          static_cast<double>((Now - Request.Arrival).count()));
    if (Good && small(Request) && counted(Request))
      ++Result.SmallAccounts.Good;
  }

  auto onRejected(fake_request Request, const admission_result &Rejection)
      -> void {
    const bool Retries = Request.Rejections == 0 &&
                         Rejection.RetryAfter.count() > 0 &&
                         randomUnit(CallerRandom) < Scenario.RetryingShare;
    if (!Retries) {
      if (counted(Request))
        ++log(Request.Long).Rejected;
      return;
    }
    ++Request.Rejections;
    Loop.after(Rejection.RetryAfter, [this, Request]() mutable {
      const auto TimeLimit = Request.Deadline - Request.Arrival;
      Request.Deadline = Loop.Clock.now() + TimeLimit;
      Request.Arrival = Loop.Clock.now();
      Entries[randomBelow(CallerRandom, Entries.size())]->submit(Request);
    });
  }

  [[nodiscard]] auto busyMicros() const -> double {
    double Sum = 0.0;
    for (const auto &Agent : Agents)
      Sum += Agent->Engine.BusyMicros;
    return Sum;
  }

  // Capacity is the number of slots divided by the mean service time, so the
  // ratio of good requests to capacity is their share of slot time.
  [[nodiscard]] auto goodput() const -> double {
    const auto Good = Result.Short.Good + Result.Long.Good;
    const auto Late = Result.Short.Late + Result.Long.Late;
    if (Good == 0)
      return 0.0;
    const auto Share =
        static_cast<double>(Good) / static_cast<double>(Good + Late);
    const auto Slots = Scenario.Backends * Scenario.Engine.Slots;
    const auto SlotTime = Slots * static_cast<double>(Scenario.Length.count());
    return (busyMicros() - BusyBefore) * Share / SlotTime;
  }

  auto summary() -> run_result {
    Result.Goodput = goodput();
    const auto Requests = std::max<double>(
        1.0, static_cast<double>(Result.Short.Offered + Result.Long.Offered));
    Result.HedgeShare = static_cast<double>(Sink.Hedges) / Requests;
    Result.RetryShare = static_cast<double>(Sink.Retries) / Requests;
    Result.Ejections = Sink.Ejections;
    Result.Probes = Sink.Probes;
    return Result;
  }

  scenario Scenario;
  event_loop Loop;
  // One generator for short and one for long work: demand is the same for all
  // policies, and each kind of work is the same with and without the other.
  std::array<seeded_random, 2> DemandRandom;
  seeded_random ConditionRandom;
  seeded_random CallerRandom; // For reactions to rejections.
  std::vector<std::unique_ptr<fake_agent>> Agents;
  outcome_sink Sink;
  std::vector<std::unique_ptr<fake_entry>> Entries;
  run_result Result;
  double DemandFactor = 1.0;
  bool Paused = false;
  double BusyBefore = 0.0; // Slot time before the end of the warm-up.
};

} // namespace acacianotch::policy
