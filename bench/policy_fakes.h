/// \file Fakes of the policy benchmark: events on a virtual clock, an engine,
/// and the agent that queues requests in front of it.
#pragma once

#include "controller/admission.h"
#include "controller/agent_queue.h"
#include "controller/hedging.h"
#include "controller/outlier.h"
#include "controller/placement.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace acacianotch::policy {

/// Runs events in the order of their time.
class event_loop {
public:
  virtual_clock Clock; ///< Set to the time of the current event.

  auto after(duration Delay, std::function<void()> Action) -> void {
    Events.push_back({Clock.now() + Delay, ++Last, std::move(Action)});
    std::push_heap(Events.begin(), Events.end());
  }

  auto run(time_point Until) -> void {
    while (!Events.empty() && Events.front().When <= Until) {
      std::pop_heap(Events.begin(), Events.end());
      const auto Event = std::move(Events.back());
      Events.pop_back();
      Clock.set(Event.When);
      Event.Action();
    }
    Clock.set(Until);
  }

private:
  struct event {
    time_point When;
    std::uint64_t Number;
    std::function<void()> Action;
    auto operator<(const event &Other) const -> bool {
      return std::pair(When, Number) > std::pair(Other.When, Other.Number);
    }
  };
  std::vector<event> Events; // A heap.
  std::uint64_t Last = 0;
};

/// One request of a caller.
struct fake_request {
  account_id Account;
  bool Long = false;
  bool Idempotent = true;
  std::uint64_t Prefix = 0;
  duration Prefill{0}; ///< Until the first token, alone and uncached.
  duration Decode{0};  ///< Work after the first token.
  time_point Arrival{};
  time_point Deadline{};
  std::uint32_t Rejections = 0; ///< Earlier rejections.
};

/// Properties of the fake engines and of the network.
struct engine_options {
  std::uint32_t Slots = 16;
  double BatchSlowdown = 0.2;    ///< Relative slowdown by a full batch.
  double TokenMicros = 20'000.0; ///< Decode work per token.
  std::size_t CachedPrefixes = 64;
  double CachedPrefill = 0.2; ///< Share of prefill work after a cache hit.
  duration ReportInterval{250'000}; ///< Interval of load reports.
  duration NetworkDelay{500};       ///< One-way network delay.
};

/// Callbacks of an engine for one job.
struct job_callbacks {
  std::function<void()> First; ///< First token.
  std::function<void()> Token; ///< Each further token.
  std::function<void()> Done;  ///< Completion.
};

/// An engine with continuous batching: all running jobs advance at the same
/// rate, which decreases as the batch fills.
class fake_engine {
public:
  fake_engine(event_loop &LoopRef, const engine_options &Values)
      : Loop(&LoopRef), Options(Values) {}

  double BusyMicros = 0.0; ///< Slot time of all completed jobs.

  auto submit(std::uint64_t Id, const fake_request &Request,
              job_callbacks Callbacks) -> void {
    advance();
    const auto Hit = cached(Request.Prefix) ? Options.CachedPrefill : 1.0;
    const auto Prefill = Hit * static_cast<double>(Request.Prefill.count());
    const auto Decode = static_cast<double>(Request.Decode.count());
    Batch.push_back({Id, Progress + Prefill, Decode, Loop->Clock.now(),
                     std::move(Callbacks)});
    schedule();
  }

  auto cancel(std::uint64_t Id) -> void {
    advance();
    std::erase_if(Batch, [&](const job &Job) { return Job.Id == Id; });
    schedule();
  }

  /// Makes all work \p Factor times slower.
  auto setSlowdown(double Factor) -> void {
    advance();
    Slowdown = Factor;
    schedule();
  }

private:
  struct job {
    std::uint64_t Id;
    double Next;          // Engine progress at the next token.
    double RemainingWork; // Work after the next token.
    time_point Start;
    job_callbacks Callbacks;
    bool Decoding = false;
    bool Ended = false;
  };

  [[nodiscard]] auto rate() const -> double {
    const auto Fill = static_cast<double>(Batch.size()) / Options.Slots;
    return 1.0 / (Slowdown * (1.0 + Options.BatchSlowdown * Fill));
  }

  auto advance() -> void {
    const auto Now = Loop->Clock.now();
    Progress += rate() * static_cast<double>((Now - LastAdvance).count());
    LastAdvance = Now;
  }

  auto schedule() -> void {
    ++Schedule;
    if (Batch.empty())
      return;
    const auto Next = std::min_element(Batch.begin(), Batch.end(),
                                       [](const job &Left, const job &Right) {
                                         return Left.Next < Right.Next;
                                       });
    const auto Micros =
        std::ceil(std::max(0.0, Next->Next - Progress) / rate());
    Loop->after(duration{static_cast<std::int64_t>(Micros)},
                [this, Number = Schedule] {
                  if (Number == Schedule)
                    processDueTokens();
                });
  }

  auto processDueTokens() -> void {
    advance();
    std::vector<std::function<void()>> Callbacks;
    for (auto &Job : Batch)
      if (due(Job))
        token(Job, Callbacks);
    std::erase_if(Batch, [](const job &Job) { return Job.Ended; });
    schedule();
    for (const auto &Callback : Callbacks)
      Callback();
  }

  [[nodiscard]] auto due(const job &Job) const -> bool {
    return Job.Next - Progress < Rounding;
  }

  auto token(job &Job, std::vector<std::function<void()>> &Callbacks) -> void {
    if (Job.Decoding && Job.RemainingWork < Rounding) {
      Job.Ended = true;
      BusyMicros +=
          static_cast<double>((Loop->Clock.now() - Job.Start).count());
      Callbacks.push_back(std::move(Job.Callbacks.Done));
      return;
    }
    Callbacks.push_back(Job.Decoding ? Job.Callbacks.Token
                                     : Job.Callbacks.First);
    Job.Decoding = true;
    const auto Work = std::min(Options.TokenMicros, Job.RemainingWork);
    Job.Next += Work;
    Job.RemainingWork -= Work;
  }

  auto cached(std::uint64_t Prefix) -> bool {
    const auto Found = std::find(Cache.begin(), Cache.end(), Prefix);
    const bool Hit = Found != Cache.end();
    if (Hit)
      Cache.erase(Found);
    Cache.push_front(Prefix);
    if (Cache.size() > Options.CachedPrefixes)
      Cache.pop_back();
    return Hit;
  }

  static constexpr double Rounding = 1.0;

  event_loop *Loop;
  engine_options Options;
  std::vector<job> Batch;
  std::list<std::uint64_t> Cache;
  time_point LastAdvance{};
  double Progress = 0.0; // Work done per job since the start.
  double Slowdown = 1.0;
  std::uint64_t Schedule = 0;
};

/// Callbacks of an agent for one attempt.
struct attempt_callbacks {
  std::function<void()> First;
  std::function<void()> Token;
  std::function<void(const load_report &)> Done;
  std::function<void(const admission_result &, const load_report &)> Rejected;
};

/// An agent: a queue in front of an engine.
class fake_agent {
public:
  fake_agent(event_loop &LoopRef, const engine_options &Values,
             const agent_queue_settings &Settings, bool WithDeadlines)
      : Engine(LoopRef, Values), Loop(&LoopRef), Options(Values),
        Queue(LoopRef.Clock, Settings), Deadlines(WithDeadlines) {}

  fake_engine Engine;

  auto run(std::uint64_t Id, const fake_request &Request,
           attempt_callbacks Callbacks) -> void {
    work_item Item;
    Item.Account = Request.Account;
    Item.Long = Request.Long;
    if (Deadlines)
      Item.Deadline = Request.Deadline;
    const auto Result = Queue.offer(Item);
    if (!Result.ok())
      return Callbacks.Rejected(Result, report());
    const auto Ticket = Queue.lastTicket();
    Tickets[Id] = Ticket;
    Work[Ticket] = {Id, Request, std::move(Callbacks)};
    startQueuedWork();
  }

  auto cancel(std::uint64_t Id) -> void {
    const auto Found = Tickets.find(Id);
    if (Found == Tickets.end())
      return;
    Engine.cancel(Id);
    Queue.cancel(Found->second);
    Work.erase(Found->second);
    Tickets.erase(Found);
    startQueuedWork();
  }

  // A load report is a snapshot that is up to ReportInterval old.
  auto report() -> load_report {
    const auto Now = Loop->Clock.now();
    if (Now - ReportedAt < Options.ReportInterval)
      return Report;
    ReportedAt = Now;
    return Report = Queue.report();
  }

private:
  struct pending_attempt {
    std::uint64_t Id;
    fake_request Request;
    attempt_callbacks Callbacks;
  };

  auto startQueuedWork() -> void {
    while (const auto Ticket = Queue.next()) {
      const auto &Pending = Work.at(*Ticket);
      Engine.submit(Pending.Id, Pending.Request,
                    {Pending.Callbacks.First, Pending.Callbacks.Token,
                     [this, Ended = *Ticket] { done(Ended); }});
    }
    for (const auto &Dropped : Queue.takeDropped())
      removePending(Dropped.Ticket)
          .Callbacks.Rejected(Dropped.Reason, report());
    scheduleTimeout();
  }

  auto done(work_ticket Ticket) -> void {
    Queue.finished(Ticket, true);
    const auto Pending = removePending(Ticket);
    Pending.Callbacks.Done(report());
    startQueuedWork();
  }

  auto removePending(work_ticket Ticket) -> pending_attempt {
    auto Pending = std::move(Work.at(Ticket));
    Work.erase(Ticket);
    Tickets.erase(Pending.Id);
    return Pending;
  }

  auto scheduleTimeout() -> void {
    const auto Next = Queue.nextTimeout();
    if (!Next || (ScheduledTimeout && *ScheduledTimeout <= *Next))
      return;
    ScheduledTimeout = Next;
    Loop->after(*Next - Loop->Clock.now() + duration{1}, [this, When = *Next] {
      if (ScheduledTimeout == When)
        ScheduledTimeout.reset();
      startQueuedWork();
    });
  }

  event_loop *Loop;
  engine_options Options;
  agent_queue<virtual_clock> Queue;
  bool Deadlines;
  std::unordered_map<std::uint64_t, work_ticket> Tickets;
  std::unordered_map<work_ticket, pending_attempt> Work;
  load_report Report;
  time_point ReportedAt{duration{-1'000'000'000}};
  std::optional<time_point> ScheduledTimeout;
};

} // namespace acacianotch::policy
