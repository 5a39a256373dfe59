/// \file Fakes of the policy benchmark: events on a virtual clock, an engine,
/// and the agent and entry that wire the controllers to it.
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

/// Events in the order of their time.
class event_loop {
public:
  virtual_clock Clock; ///< Moves with the events.

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
  duration Prefill{0}; ///< Work until the first token, alone and uncached.
  duration Decode{0};  ///< Work after it.
  time_point Arrival{};
  time_point Deadline{};
  std::uint32_t Tries = 0; ///< Earlier rejections.
};

/// Properties of the fake engines and of the network.
struct engine_facts {
  std::uint32_t Slots = 16;
  double Drag = 0.2;             ///< Slow-down of a full batch.
  double TokenMicros = 20'000.0; ///< Decode work per token.
  std::size_t CachedPrefixes = 64;
  double CachedPrefill = 0.2;  ///< Share of prefill work after a cache hit.
  duration ReportLag{250'000}; ///< Interval of load reports.
  duration Hop{500};           ///< Network, one way.
};

/// What an engine tells about one job.
struct job_calls {
  std::function<void()> First; ///< First token.
  std::function<void()> Token; ///< Each further token.
  std::function<void()> Done;  ///< End.
};

/// An engine with continuous batching: all running work advances together, the
/// slower the fuller the batch.
class fake_engine {
public:
  fake_engine(event_loop &LoopRef, const engine_facts &Values)
      : Loop(&LoopRef), Facts(Values) {}

  double BusyMicros = 0.0; ///< Slot time of all complete jobs.

  auto submit(std::uint64_t Id, const fake_request &Request, job_calls Calls)
      -> void {
    advance();
    const auto Hit = cached(Request.Prefix) ? Facts.CachedPrefill : 1.0;
    const auto Prefill = Hit * static_cast<double>(Request.Prefill.count());
    const auto Decode = static_cast<double>(Request.Decode.count());
    Batch.push_back(
        {Id, Progress + Prefill, Decode, Loop->Clock.now(), std::move(Calls)});
    schedule();
  }

  auto cancel(std::uint64_t Id) -> void {
    advance();
    std::erase_if(Batch, [&](const job &Job) { return Job.Id == Id; });
    schedule();
  }

  /// Makes all work \p Factor times slower.
  auto slow(double Factor) -> void {
    advance();
    Slowness = Factor;
    schedule();
  }

private:
  struct job {
    std::uint64_t Id;
    double Next;  // Progress of the engine at the next token.
    double ToEnd; // Work after that.
    time_point Start;
    job_calls Calls;
    bool Decoding = false;
    bool Ended = false;
  };

  [[nodiscard]] auto rate() const -> double {
    const auto Fill = static_cast<double>(Batch.size()) / Facts.Slots;
    return 1.0 / (Slowness * (1.0 + Facts.Drag * Fill));
  }

  auto advance() -> void {
    const auto Now = Loop->Clock.now();
    Progress += rate() * static_cast<double>((Now - Since).count());
    Since = Now;
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
                    step();
                });
  }

  auto step() -> void {
    advance();
    std::vector<std::function<void()>> Calls;
    for (auto &Job : Batch)
      if (due(Job))
        token(Job, Calls);
    std::erase_if(Batch, [](const job &Job) { return Job.Ended; });
    schedule();
    for (const auto &Call : Calls)
      Call();
  }

  [[nodiscard]] auto due(const job &Job) const -> bool {
    return Job.Next - Progress < Rounding;
  }

  auto token(job &Job, std::vector<std::function<void()>> &Calls) -> void {
    if (Job.Decoding && Job.ToEnd < Rounding) {
      Job.Ended = true;
      BusyMicros +=
          static_cast<double>((Loop->Clock.now() - Job.Start).count());
      Calls.push_back(std::move(Job.Calls.Done));
      return;
    }
    Calls.push_back(Job.Decoding ? Job.Calls.Token : Job.Calls.First);
    Job.Decoding = true;
    const auto Work = std::min(Facts.TokenMicros, Job.ToEnd);
    Job.Next += Work;
    Job.ToEnd -= Work;
  }

  auto cached(std::uint64_t Prefix) -> bool {
    const auto Found = std::find(Cache.begin(), Cache.end(), Prefix);
    const bool Hit = Found != Cache.end();
    if (Hit)
      Cache.erase(Found);
    Cache.push_front(Prefix);
    if (Cache.size() > Facts.CachedPrefixes)
      Cache.pop_back();
    return Hit;
  }

  static constexpr double Rounding = 1.0;

  event_loop *Loop;
  engine_facts Facts;
  std::vector<job> Batch;
  std::list<std::uint64_t> Cache;
  time_point Since{};
  double Progress = 0.0; // Work done for each job since the start.
  double Slowness = 1.0;
  std::uint64_t Schedule = 0;
};

/// What an entry hears about one attempt.
struct attempt_calls {
  std::function<void()> First;
  std::function<void()> Token;
  std::function<void(const load_report &)> Done;
  std::function<void(const admission_result &, const load_report &)> Rejected;
};

/// An agent: its queue in front of its engine.
class fake_agent {
public:
  fake_agent(event_loop &LoopRef, const engine_facts &Values,
             const agent_queue_settings &Settings, bool WithDeadlines)
      : Engine(LoopRef, Values), Loop(&LoopRef), Facts(Values),
        Queue(LoopRef.Clock, Settings), Deadlines(WithDeadlines) {}

  fake_engine Engine;

  auto run(std::uint64_t Id, const fake_request &Request, attempt_calls Calls)
      -> void {
    work_item Item;
    Item.Account = Request.Account;
    Item.Long = Request.Long;
    if (Deadlines)
      Item.Deadline = Request.Deadline;
    const auto Result = Queue.offer(Item);
    if (!Result.ok())
      return Calls.Rejected(Result, report());
    const auto Ticket = Queue.lastTicket();
    Tickets[Id] = Ticket;
    Work[Ticket] = {Id, Request, std::move(Calls)};
    pump();
  }

  auto cancel(std::uint64_t Id) -> void {
    const auto Found = Tickets.find(Id);
    if (Found == Tickets.end())
      return;
    Engine.cancel(Id);
    Queue.cancel(Found->second);
    Work.erase(Found->second);
    Tickets.erase(Found);
    pump();
  }

  // A load report is a snapshot up to ReportLag old.
  auto report() -> load_report {
    const auto Now = Loop->Clock.now();
    if (Now - ReportedAt < Facts.ReportLag)
      return Report;
    ReportedAt = Now;
    return Report = Queue.report();
  }

private:
  struct piece {
    std::uint64_t Id;
    fake_request Request;
    attempt_calls Calls;
  };

  auto pump() -> void {
    while (const auto Ticket = Queue.next()) {
      const auto &Piece = Work.at(*Ticket);
      Engine.submit(Piece.Id, Piece.Request,
                    {Piece.Calls.First, Piece.Calls.Token,
                     [this, Ended = *Ticket] { done(Ended); }});
    }
    for (const auto &Dropped : Queue.takeDropped())
      take(Dropped.Ticket).Calls.Rejected(Dropped.Reason, report());
    arm();
  }

  auto done(work_ticket Ticket) -> void {
    Queue.finished(Ticket, true);
    const auto Piece = take(Ticket);
    Piece.Calls.Done(report());
    pump();
  }

  auto take(work_ticket Ticket) -> piece {
    auto Piece = std::move(Work.at(Ticket));
    Work.erase(Ticket);
    Tickets.erase(Piece.Id);
    return Piece;
  }

  auto arm() -> void {
    const auto Next = Queue.nextTimeout();
    if (!Next || (Armed && *Armed <= *Next))
      return;
    Armed = Next;
    Loop->after(*Next - Loop->Clock.now() + duration{1}, [this, When = *Next] {
      if (Armed == When)
        Armed.reset();
      pump();
    });
  }

  event_loop *Loop;
  engine_facts Facts;
  agent_queue<virtual_clock> Queue;
  bool Deadlines;
  std::unordered_map<std::uint64_t, work_ticket> Tickets;
  std::unordered_map<work_ticket, piece> Work;
  load_report Report;
  time_point ReportedAt{duration{-1'000'000'000}};
  std::optional<time_point> Armed;
};

} // namespace acacianotch::policy
