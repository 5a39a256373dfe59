/// \file One attempt of a request at an agent.
#pragma once

#include "agent/sse_scanner.h"
#include "core/result.h"
#include "net/event_loop.h"
#include "net/http_client.h"

#include <acacianotch.capnp.h>

#include <functional>
#include <memory>
#include <string>

namespace acacianotch {

/// Limits of streams from an agent to an entry.
struct stream_limits {
  std::size_t WindowCalls = 16;                  ///< Unacknowledged writes.
  duration Batch = std::chrono::milliseconds(3); ///< Between two writes.
  duration Silence = std::chrono::seconds(120);  ///< Of the backend server.
};

/// How an attempt ended.
struct attempt_end {
  errc Code = errc::ok;
  std::string Detail;
  verdict Verdict = verdict::invalid;
  bool Broken = false; ///< The backend server broke off the connection.
};

/// Calls the backend server and forwards its answer to the entry. Destroying
/// it cancels the call.
class attempt {
public:
  using context =
      capnp::CallContext<wire::Agent::RunParams, wire::Agent::RunResults>;

  attempt(event_loop &Loop, http_client &Backend, context Context,
          const stream_limits &Limits);
  ~attempt();
  attempt(const attempt &) = delete;
  auto operator=(const attempt &) -> attempt & = delete;

  /// Starts the call; \p OnEnd runs once, outside of this call.
  auto start(std::function<void(const attempt_end &)> OnEnd) -> void;

  /// Ends the call and ignores everything that still arrives. Must be called
  /// before the RPC context ends.
  auto abandon() -> void;

  /// Writes the outcome into the RPC results.
  auto fillOutcome(const attempt_end &End) -> void;

  /// \return the load report of the outcome, to be filled.
  auto outcomeLoad() -> wire::LoadReport::Builder {
    return Context.getResults().getOutcome().initLoad();
  }

  /// \return the request of the attempt.
  [[nodiscard]] auto request() -> wire::WorkRequest::Reader {
    return Context.getParams().getRequest();
  }

  /// \return whether the first byte of the answer has arrived.
  [[nodiscard]] auto answered() const -> bool {
    return FirstByteAt.has_value();
  }

private:
  auto callOptions() -> http_call_options;
  auto handleHead(int Status, const http_headers &Headers) -> void;
  auto handleData(std::string_view Data) -> void;
  auto handleEnd(result<void> Result) -> void;
  auto readWholeUsage() -> void;
  auto flush() -> void;
  auto send(std::string_view Data) -> void;
  auto acknowledged() -> void;
  auto finishIfDone() -> void;
  auto judge() -> attempt_end;

  event_loop &Loop;
  http_client &Backend;
  context Context;
  stream_limits Limits;
  wire::ResponseSink::Client Sink;
  std::function<void(const attempt_end &)> OnEnd;
  std::unique_ptr<http_call> Call;
  std::unique_ptr<loop_timer> FlushTimer;

  std::string Id;
  bool Streamed = false;
  bool Forwards = false; ///< The answer goes to the sink.
  bool Crossed = false;
  sse_scanner Scanner;
  int Status = 0;
  std::string ContentType;
  std::string Pending; ///< Not yet sent.
  std::string Body;    ///< Answer that is not forwarded, or a whole answer.
  std::uint64_t Offset = 0;
  std::size_t InFlight = 0;
  bool Paused = false;
  bool SinkFailed = false;
  std::optional<result<void>> Ended;
  std::uint64_t PromptTokens = 0;
  std::uint64_t CompletionTokens = 0;
  time_point StartedAt{};
  time_point FlushedAt{};
  std::optional<time_point> FirstByteAt;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace acacianotch
