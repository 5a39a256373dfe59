/// \file The agent's RPC service: checks, queue and calls.
#pragma once

#include "agent/agent_gate.h"
#include "agent/attempt.h"
#include "controller/agent_queue.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace acacianotch {

/// Counters of one agent since its start.
struct agent_counters {
  std::uint64_t Completed = 0;
  std::uint64_t Failed = 0;   ///< May have run.
  std::uint64_t Rejected = 0; ///< `not_run`.
  std::uint64_t Cancelled = 0;
};

/// Takes work from entries for one backend server.
class agent_service {
public:
  agent_service(event_loop &Loop, const catalogue_view &View, gate_state &State,
                const address &Backend, const agent_queue_settings &Queue,
                const stream_limits &Limits);
  ~agent_service();

  /// \return the interface to offer on the RPC port.
  [[nodiscard]] auto client() -> wire::Agent::Client;

  /// Writes the current load.
  auto fillLoad(wire::LoadReport::Builder Load) const -> void;

  /// \return attempts waiting or running.
  [[nodiscard]] auto open() const -> std::size_t { return Works.size(); }

  [[nodiscard]] auto counters() const -> const agent_counters & {
    return Counters;
  }

  /// Follows the slots and the cap on long work in the catalogue.
  auto configure(std::uint32_t Slots, double LongShare) -> void;

  /// Runs once for each crash of the backend server with the fingerprints whose
  /// answers it broke off, and whether one of them ran in isolation.
  std::function<void(std::vector<fingerprint>, bool Isolated)> OnCrash;

  /// Runs when a request completed in isolation.
  std::function<void(fingerprint)> OnCleared;

private:
  class server;
  struct work;

  auto run(attempt::context Context) -> kj::Promise<void>;
  auto reject(attempt::context &Context, const failure &Failure,
              duration RetryAfter) -> void;
  auto pump() -> void;
  auto startWork(work &Work) -> void;
  auto endWork(work_ticket Ticket, const attempt_end &End) -> void;
  auto noteEnd(const work &Work, const attempt_end &End) -> void;
  auto noteBroken(const work &Work) -> void;
  auto reportCrash() -> void;
  auto dropWork(const dropped_work &Dropped) -> void;
  auto cancelled(work_ticket Ticket) -> void;
  auto retire(std::unique_ptr<work> Work) -> void;

  event_loop &Loop;
  const catalogue_view &View;
  gate_state &State;
  http_client Backend;
  stream_limits Limits;
  steady_clock Clock;
  agent_queue<steady_clock> Queue;
  std::map<work_ticket, std::unique_ptr<work>> Works;
  std::unique_ptr<loop_timer> QueueTimer;
  std::unique_ptr<loop_timer> CrashTimer;
  std::vector<fingerprint> Broken; ///< Answers broken off in this window.
  bool BrokenIsolated = false;     ///< One of them ran in isolation.
  agent_counters Counters;
  duration FirstToken{};
  std::uint32_t Slots = 0;
};

} // namespace acacianotch
