/// \file Runs one request on backend servers: attempts, retries and hedges.
#pragma once

#include "controller/hedging.h"
#include "core/result.h"
#include "entry/agent_connections.h"
#include "entry/dispatch_request.h"
#include "entry/pool_set.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acacianotch {

/// Result of running a request on backend servers.
struct dispatch_result {
  std::optional<failure> Error; ///< Empty if a complete answer was delivered.
  duration RetryAfter{};        ///< Suggested delay after a rejection.
  int HttpStatus = 0;
  std::string ContentType;
  std::string Body; ///< Complete answer; empty if it was streamed.
  std::uint64_t PromptTokens = 0;
  std::uint64_t CompletionTokens = 0;
  duration FirstToken{}; ///< Time to first token; 0 if none.
  std::uint32_t Attempts = 0;
  std::uint32_t Hedges = 0;
  std::string Backend; ///< Name of the backend server that answered.
};

/// Callbacks of a dispatch. OnData is called for streamed answers only; it
/// invokes its second argument once the data has been sent to the caller.
struct dispatch_callbacks {
  std::function<void(std::string_view, std::function<void()>)> OnData;
  std::function<void(dispatch_result)> OnEnd;
};

/// One request in progress. The destructor cancels all attempts.
class dispatch {
public:
  dispatch(dispatch_context Context, pool &Pool, dispatch_request Request,
           dispatch_callbacks Callbacks);
  ~dispatch();
  dispatch(const dispatch &) = delete;
  auto operator=(const dispatch &) -> dispatch & = delete;

  /// Sends the first attempt.
  auto start() -> void;

private:
  class sink;
  struct attempt_state;

  auto updateProbeRequest() -> void;
  auto startAttempt(bool Hedge) -> bool;
  auto sendTo(attempt_state &Attempt, wire::Agent::Client Agent)
      -> kj::Promise<void>;
  auto receive(attempt_state &Attempt, std::uint64_t Offset,
               std::string_view Data) -> kj::Promise<void>;
  auto recordProgress(attempt_state &Attempt, std::string_view Data) -> void;
  auto recordFirstToken(attempt_state &Attempt) -> void;
  auto handleOutcome(attempt_state &Attempt, wire::WorkOutcome::Reader Outcome)
      -> void;
  auto handleFailure(attempt_state &Attempt, failure Failure,
                     duration RetryAfter) -> void;
  auto mayRetry(const failure &Failure) -> bool;
  auto startHedgeTimer() -> void;
  auto hedgeIfLate() -> void;
  auto cancelLosers() -> void;
  auto closeAttempt(attempt_state &Attempt) -> void;
  auto finish(dispatch_result Result) -> void;

  dispatch_context Context;
  pool &Pool;
  dispatch_request Request;
  dispatch_callbacks Callbacks;
  attempt_race Race;
  std::vector<std::unique_ptr<attempt_state>> Attempts;
  std::vector<backend_handle> TriedBackends;
  std::unique_ptr<loop_timer> HedgeTimer;
  time_point StartedAt{};
  duration FirstToken{};
  std::uint32_t Hedges = 0;
  bool Delivered = false; ///< A part of the answer was sent to the caller.
  bool MayHaveRun = false;
  bool Ended = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace acacianotch
