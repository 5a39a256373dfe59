/// \file RPC service of the agent: checks, queues and runs requests.
#pragma once

#include "agent/attempt.h"
#include "agent/eligibility.h"
#include "controller/agent_queue.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace acacianotch {

/// Requests since the agent started, by outcome.
struct agent_counters {
  std::uint64_t Completed = 0;
  std::uint64_t Failed = 0;   ///< The request ran or may have run.
  std::uint64_t Rejected = 0; ///< The request did not run.
  std::uint64_t Cancelled = 0;
};

/// Accepts requests from entries, queues them and runs them on one backend
/// server.
class agent_service {
public:
  agent_service(event_loop &Loop, const catalogue_view &View,
                agent_state &State, const address &Backend,
                const agent_queue_settings &Queue, const stream_limits &Limits);
  ~agent_service();

  /// \return the capability to serve on the RPC port.
  [[nodiscard]] auto client() -> wire::Agent::Client;

  /// Writes the current load.
  auto fillLoad(wire::LoadReport::Builder Load) const -> void;

  /// \return the number of attempts that are queued or running.
  [[nodiscard]] auto open() const -> std::size_t { return OpenWork.size(); }

  [[nodiscard]] auto counters() const -> const agent_counters & {
    return Counters;
  }

  /// Applies the number of slots from the catalogue and the share of them that
  /// long work may use.
  auto configure(std::uint32_t Slots, double LongShare) -> void;

  /// Called once for each crash of the backend server with the fingerprints of
  /// the requests whose connections it closed, and whether any of them ran in
  /// isolation.
  std::function<void(std::vector<fingerprint>, bool Isolated)> OnCrash;

  /// Called when a request completes in isolation.
  std::function<void(fingerprint)> OnCleared;

private:
  class server;
  struct work;

  auto run(attempt::context Context) -> kj::Promise<void>;
  auto reject(attempt::context &Context, const failure &Failure,
              duration RetryAfter) -> void;
  auto dispatchQueue() -> void;
  auto startWork(work &Work) -> void;
  auto endWork(work_ticket Ticket, const attempt_end &End) -> void;
  auto recordEnd(const work &Work, const attempt_end &End) -> void;
  auto recordLostConnection(const work &Work) -> void;
  auto reportCrash() -> void;
  auto dropWork(const dropped_work &Dropped) -> void;
  auto handleCancellation(work_ticket Ticket) -> void;
  auto retire(std::unique_ptr<work> Work) -> void;

  event_loop &Loop;
  const catalogue_view &View;
  agent_state &State;
  http_client Backend;
  stream_limits Limits;
  steady_clock Clock;
  agent_queue<steady_clock> Queue;
  std::map<work_ticket, std::unique_ptr<work>> OpenWork;
  std::unique_ptr<loop_timer> QueueTimer;
  std::unique_ptr<loop_timer> CrashTimer;
  std::vector<fingerprint> LostFingerprints; ///< Within the crash window.
  bool LostIsolated = false;                 ///< Any of them ran in isolation.
  agent_counters Counters;
  duration FirstToken{};
  std::uint32_t Slots = 0;
};

} // namespace acacianotch
