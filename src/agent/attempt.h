/// \file One attempt of an agent to run a request on its backend server.
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

/// Flow control of the streams from an agent to an entry.
struct stream_limits {
  std::size_t WindowCalls = 16; ///< Max. unacknowledged writes.
  /// Time between two writes, unless a batch is full before.
  duration FlushInterval = std::chrono::milliseconds(3);
  /// Fails the attempt after this time without data from the backend server.
  duration StallTimeout = std::chrono::seconds(120);
};

/// How an attempt ended.
struct attempt_end {
  errc Code = errc::ok;
  std::string Detail;
  verdict Verdict = verdict::invalid;
  bool ConnectionLost = false; ///< To the backend server.
};

/// Calls the backend server and forwards its answer to the entry. The
/// destructor cancels the call.
class attempt {
public:
  using context =
      capnp::CallContext<wire::Agent::RunParams, wire::Agent::RunResults>;

  attempt(event_loop &Loop, http_client &Backend, context Context,
          const stream_limits &Limits);
  ~attempt();
  attempt(const attempt &) = delete;
  auto operator=(const attempt &) -> attempt & = delete;

  /// Starts the call. \p OnEnd is called once from the event loop, never from
  /// within start().
  auto start(std::function<void(const attempt_end &)> OnEnd) -> void;

  /// Cancels the call and ignores all data that still arrives. Must be called
  /// before the RPC context is destroyed.
  auto abandon() -> void;

  /// Writes the outcome into the RPC results.
  auto fillOutcome(const attempt_end &End) -> void;

  /// \return the empty load report of the outcome, to be filled in.
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
  auto readBodyUsage() -> void;
  auto flush() -> void;
  auto send(std::string_view Data) -> void;
  auto handleWriteAck() -> void;
  auto finishIfDone() -> void;
  auto classifyEnd() -> attempt_end;

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
  bool Forwarding = false;     ///< The answer is written to the sink.
  bool WrongRequestId = false; ///< The answer belongs to another request.
  sse_scanner Scanner;
  int Status = 0;
  std::string ContentType;
  std::string Pending;      ///< Received, not yet written to the sink.
  std::string Body;         ///< Answer that is not forwarded or not streamed.
  std::uint64_t Offset = 0; ///< Bytes written to the sink.
  std::size_t InFlight = 0; ///< Unacknowledged writes.
  bool Paused = false;      ///< Reading from the backend server is paused.
  bool SinkFailed = false;
  std::optional<result<void>> Ended; ///< Result of the HTTP call.
  std::uint64_t PromptTokens = 0;
  std::uint64_t CompletionTokens = 0;
  time_point StartedAt{};
  time_point FlushedAt{};
  std::optional<time_point> FirstByteAt;
  /// Shared with callbacks, which can outlive the attempt.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace acacianotch
