/// \file The entry of the policy benchmark: it connects the controllers as the
/// daemon does, or a baseline in place of each.
#pragma once

#include "policy_fakes.h"

namespace acacianotch::policy {

enum class placement_mode { policy, round_robin, least_outstanding };

/// Policies that are enabled, and their settings.
struct policy_choice {
  placement_mode PlacementMode = placement_mode::policy;
  bool Admission = true;
  bool Outliers = true;
  bool Hedging = true;
  bool LongCap = true;
  bool Affinity = true;
  placement_settings Placement{};
  admission_settings Admit{};
  outlier_settings Outlier{};
  hedging_settings Hedge{};
  agent_queue_settings Queue{};
};

/// Receives the final outcome of each request.
struct outcome_sink {
  std::function<void(const fake_request &, duration FirstToken)> Done;
  std::function<void(const fake_request &, const admission_result &)> Rejected;
  std::uint64_t Hedges = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Probes = 0;
  std::uint64_t Ejections = 0;
};

/// An entry in front of all agents.
class fake_entry {
public:
  fake_entry(event_loop &LoopRef, std::vector<std::unique_ptr<fake_agent>> &All,
             outcome_sink &SinkRef, const policy_choice &Values,
             std::uint64_t Seed, const std::string &Name, zone_id Zone)
      : Loop(&LoopRef), Agents(&All), Sink(&SinkRef), Choice(Values),
        Random(Seed), Placement(LoopRef.Clock, Random, Board, node_id(Name),
                                std::move(Zone), Values.Placement),
        Admission(Random, Accounts, Values.Admit),
        Detector(LoopRef.Clock, Board, Values.Outlier),
        Hedgings{hedging(Values.Hedge), hedging(Values.Hedge)} {}

  auto setBackends(const std::vector<backend_facts> &Facts,
                   duration NetworkDelayValue) -> void {
    NetworkDelay = NetworkDelayValue;
    for (const auto &Fact : Facts)
      Handles.push_back(Board.put(Fact));
    Placement.update(Handles);
    Detector.setPeers(Handles);
    tick();
  }

  auto submit(const fake_request &Request) -> void {
    if (Choice.Admission) {
      const auto Left = Request.Deadline - Loop->Clock.now();
      const auto Result = Admission.admit(
          {Request.Account, Request.Long, Left, {}}, Placement.load());
      if (!Result.ok())
        return Sink->Rejected(Request, Result);
    }
    auto State = std::make_shared<active_request>(
        active_request{Request, Loop->Clock.now()});
    hedgingOf(Request).requestStarted();
    Retries.firstAttempt();
    if (!launch(State, {errc::no_backend, {}}))
      return;
    scheduleHedge(State);
    sendProbe(State);
  }

  [[nodiscard]] auto steps() const -> std::uint64_t {
    return Placement.steps();
  }

private:
  struct active_request {
    fake_request Request;
    time_point Start;
    attempt_race Race{};
    std::vector<std::uint64_t> Ids{};
    std::vector<observed_attempt> Observed{};
    std::vector<backend_handle> Tried{};
    bool Answered = false;
    bool Ended = false;
    duration FirstToken{0};
  };
  using active_request_ptr = std::shared_ptr<active_request>;

  auto tick() -> void {
    const auto Before = Detector.ejected();
    if (Choice.Outliers)
      Detector.tick();
    if (Detector.ejected() > Before)
      Sink->Ejections += Detector.ejected() - Before;
    Loop->after(duration{50'000}, [this] { tick(); });
  }

  auto pick(const fake_request &Request,
            const std::vector<backend_handle> &Tried)
      -> std::optional<backend_handle> {
    if (Choice.PlacementMode == placement_mode::round_robin)
      return Handles[NextBackend++ % Handles.size()];
    if (Choice.PlacementMode == placement_mode::least_outstanding)
      return *std::min_element(Handles.begin(), Handles.end(),
                               [&](backend_handle Left, backend_handle Right) {
                                 return Board.row(Left)->InFlight <
                                        Board.row(Right)->InFlight;
                               });
    const auto Key =
        Choice.Affinity ? std::optional(Request.Prefix) : std::nullopt;
    const auto Picked = Placement.pick({Key, Tried, Request.Long});
    return Picked.ok() ? std::optional(Picked.value()) : std::nullopt;
  }

  auto launch(const active_request_ptr &State,
              const admission_result &Rejection) -> bool {
    const auto Backend = pick(State->Request, State->Tried);
    if (!Backend) {
      fail(State, Rejection);
      return false;
    }
    const auto Number = State->Race.add(*Backend);
    const auto Id = nextId();
    State->Ids.push_back(Id);
    State->Observed.push_back(Detector.started(*Backend, State->Request.Long));
    State->Tried.push_back(*Backend);
    Board.started(*Backend, State->Request.Long);
    Loop->after(NetworkDelay, [this, State, Number, Id, Backend = *Backend] {
      agent(Backend).run(Id, State->Request, callbacksFor(State, Number));
    });
    return true;
  }

  auto agent(backend_handle Backend) -> fake_agent & {
    return *(*Agents)[Backend.Index];
  }

  static auto nextId() -> std::uint64_t {
    static std::uint64_t Last = 0;
    return ++Last;
  }

  auto callbacksFor(const active_request_ptr &State, std::uint32_t Number)
      -> attempt_callbacks {
    return {[this, State, Number] {
              Loop->after(NetworkDelay, [=, this] { onFirst(State, Number); });
            },
            [this, State, Number] {
              Loop->after(NetworkDelay, [=, this] {
                Detector.progress(State->Observed[Number], 1);
              });
            },
            [this, State, Number](const load_report &Report) {
              Loop->after(NetworkDelay,
                          [=, this] { onDone(State, Number, Report); });
            },
            [this, State, Number](const admission_result &Result,
                                  const load_report &Report) {
              Loop->after(NetworkDelay, [=, this] {
                onReject(State, Number, Result, Report);
              });
            }};
  }

  auto onFirst(const active_request_ptr &State, std::uint32_t Number) -> void {
    Detector.firstToken(State->Observed[Number]);
    if (State->Answered || !State->Race.firstToken(Number))
      return;
    State->Answered = true;
    State->FirstToken = Loop->Clock.now() - State->Request.Arrival;
    hedgingOf(State->Request).observe(Loop->Clock.now() - State->Start);
    for (const auto &Loser : State->Race.takeLosers())
      cancel(State, Loser.Number);
  }

  auto cancel(const active_request_ptr &State, std::uint32_t Number) -> void {
    const auto Backend = State->Race.attempts()[Number].Backend;
    Detector.ended(State->Observed[Number]);
    release(Backend, State->Request.Long, std::nullopt);
    Loop->after(NetworkDelay, [this, Backend, Id = State->Ids[Number]] {
      agent(Backend).cancel(Id);
    });
  }

  auto release(backend_handle Backend, bool Long,
               const std::optional<load_report> &Report) -> void {
    Board.finished(Backend, Long, Report, Loop->Clock.now());
  }

  auto onDone(const active_request_ptr &State, std::uint32_t Number,
              const load_report &Report) -> void {
    const auto &Attempt = State->Race.attempts()[Number];
    if (!Attempt.Open || State->Ended)
      return;
    Detector.ended(State->Observed[Number]);
    release(Attempt.Backend, State->Request.Long, Report);
    end(State, Loop->Clock.now() - State->Start);
    Sink->Done(State->Request, State->FirstToken);
  }

  auto end(const active_request_ptr &State, duration Response) -> void {
    State->Ended = true;
    if (Choice.Admission)
      Admission.finished(State->Request.Account, State->Request.Long, Response);
  }

  auto onReject(const active_request_ptr &State, std::uint32_t Number,
                const admission_result &Result, const load_report &Report)
      -> void {
    const auto Attempt = State->Race.attempts()[Number];
    if (!Attempt.Open || State->Ended)
      return;
    Detector.ended(State->Observed[Number]);
    release(Attempt.Backend, State->Request.Long, Report);
    const bool Last = State->Race.failed(Number);
    if (!Last)
      return;
    if (Result.Code == errc::overloaded && Retries.tryAcquire()) {
      ++Sink->Retries;
      launch(State, Result);
      return;
    }
    fail(State, Result);
  }

  auto fail(const active_request_ptr &State, const admission_result &Rejection)
      -> void {
    end(State, duration{0});
    Sink->Rejected(State->Request, Rejection);
  }

  auto hedgingOf(const fake_request &Request) -> hedging & {
    return Hedgings[Request.Long ? 1 : 0];
  }

  auto scheduleHedge(const active_request_ptr &State) -> void {
    auto &Hedging = hedgingOf(State->Request);
    const auto Delay = Hedging.delay(State->Request.Idempotent);
    if (!Choice.Hedging || !Delay)
      return;
    Loop->after(*Delay, [this, State, &Hedging] {
      if (State->Answered || State->Ended ||
          !Hedging.tryHedge(State->Request.Idempotent))
        return;
      ++Sink->Hedges;
      launch(State, {errc::no_backend, {}});
    });
  }

  // The answer of a probe is discarded; its caller waits for the first attempt.
  auto sendProbe(const active_request_ptr &State) -> void {
    if (!Choice.Outliers || !State->Request.Idempotent || State->Request.Long)
      return;
    const auto Backend = Detector.probeDue();
    if (!Backend)
      return;
    ++Sink->Probes;
    const auto Observed = Detector.probeStarted(*Backend);
    const auto Id = nextId();
    const auto Ended = [this, Observed] { Detector.ended(Observed); };
    agent(*Backend).run(
        Id, State->Request,
        {[this, Observed] { Detector.firstToken(Observed); },
         [this, Observed] { Detector.progress(Observed, 1); },
         [Ended](const load_report &) { Ended(); },
         [Ended](const admission_result &, const load_report &) { Ended(); }});
    watchProbe(Id, Observed);
  }

  auto watchProbe(std::uint64_t Id, const observed_attempt &Probe) -> void {
    Loop->after(duration{10'000}, [=, this] {
      if (Detector.probing(Probe))
        return watchProbe(Id, Probe);
      Detector.ended(Probe);
      agent(Probe.Backend).cancel(Id);
    });
  }

  event_loop *Loop;
  std::vector<std::unique_ptr<fake_agent>> *Agents;
  outcome_sink *Sink;
  policy_choice Choice;
  seeded_random Random;
  backend_board Board;
  account_board Accounts;
  placement<virtual_clock, seeded_random> Placement;
  admission<seeded_random> Admission;
  outlier_detector<virtual_clock> Detector;
  std::array<hedging, 2> Hedgings; // Short and long work.
  traffic_budget Retries{0.1};
  std::vector<backend_handle> Handles;
  duration NetworkDelay{0};
  std::size_t NextBackend = 0;
};

} // namespace acacianotch::policy
