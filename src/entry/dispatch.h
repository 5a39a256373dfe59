/// \file Runs one request on backend servers: attempts, retries and hedges.
#pragma once

#include "controller/hedging.h"
#include "core/result.h"
#include "entry/agent_directory.h"
#include "entry/dispatch_request.h"
#include "entry/pool_set.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acacianotch {

/// How a request ended on the backend servers.
struct dispatch_end {
  std::optional<failure> Error; ///< Empty if a whole answer was delivered.
  duration RetryAfter{};        ///< Advice with a rejection.
  int HttpStatus = 0;
  std::string ContentType;
  std::string Body; ///< Whole answer; empty for a streamed one.
  std::uint64_t PromptTokens = 0;
  std::uint64_t CompletionTokens = 0;
  duration FirstToken{}; ///< Since the dispatch; 0 if none.
  std::uint32_t Attempts = 0;
  std::uint32_t Hedges = 0;
  std::string Backend; ///< Name of the backend server that answered.
};

/// Told about a dispatch. OnData is used for streamed answers only; it calls
/// its argument when the caller has taken the data.
struct dispatch_events {
  std::function<void(std::string_view, std::function<void()>)> OnData;
  std::function<void(dispatch_end)> OnEnd;
};

/// One request under way. Destroying it cancels all attempts.
class dispatch {
public:
  dispatch(dispatch_context Context, pool &Pool, dispatch_request Request,
           dispatch_events Events);
  ~dispatch();
  dispatch(const dispatch &) = delete;
  auto operator=(const dispatch &) -> dispatch & = delete;

  /// Sends the first attempt.
  auto start() -> void;

private:
  class sink;
  struct attempt_state;

  auto keepForProbes() -> void;
  auto startAttempt(bool Hedge) -> bool;
  auto sendTo(attempt_state &Attempt, wire::Agent::Client Agent)
      -> kj::Promise<void>;
  auto receive(attempt_state &Attempt, std::uint64_t Offset,
               std::string_view Data) -> kj::Promise<void>;
  auto noteTokens(attempt_state &Attempt, std::string_view Data) -> void;
  auto noteFirstToken(attempt_state &Attempt) -> void;
  auto handleOutcome(attempt_state &Attempt, wire::WorkOutcome::Reader Outcome)
      -> void;
  auto handleFailure(attempt_state &Attempt, failure Failure,
                     duration RetryAfter) -> void;
  auto mayRetry(const failure &Failure) -> bool;
  auto startHedgeTimer() -> void;
  auto hedgeIfLate() -> void;
  auto cancelLosers() -> void;
  auto closeAttempt(attempt_state &Attempt) -> void;
  auto finish(dispatch_end End) -> void;

  dispatch_context Context;
  pool &Pool;
  dispatch_request Request;
  dispatch_events Events;
  attempt_race Race;
  std::vector<std::unique_ptr<attempt_state>> Attempts;
  std::vector<backend_handle> Tried;
  std::unique_ptr<loop_timer> HedgeTimer;
  time_point StartedAt{};
  duration FirstToken{};
  std::uint32_t Hedges = 0;
  bool Delivered = false; ///< The caller has received a part of the answer.
  bool MayHaveRun = false;
  bool Ended = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace acacianotch
