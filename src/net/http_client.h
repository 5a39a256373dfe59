/// \file HTTP client for calls to backend servers and other services.
#pragma once

#include "core/result.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "net/socket_func.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace acacianotch {

/// What to send.
struct http_call_options {
  std::string Method = "POST";  ///< HTTP method.
  std::string Target = "/";     ///< Path and query.
  http_headers Headers;         ///< Besides Host and Content-Length.
  std::string Body;             ///< Whole body.
  duration SilenceLimit{};      ///< Fails after this time without a byte.
  duration TimeLimit{};         ///< Fails after this time; 0 for none.
  std::size_t MaxBodyBytes = 0; ///< Fails after this many; 0 for any number.
  bool ReuseConnection = true;  ///< May use an idle connection.
};

/// What the caller of a call is told. Exactly one OnEnd follows everything
/// else; none of them runs inside start().
struct http_call_events {
  /// Head of the answer: status and headers.
  std::function<void(int Status, const http_headers &Headers)> OnHead;

  /// A part of the body.
  std::function<void(std::string_view Data)> OnData;

  /// End of the call. A failure's verdict is `not_run` only if no byte of the
  /// request was handed to a connected socket.
  std::function<void(result<void> Result)> OnEnd;
};

/// A running call; destroying it cancels the call without an event.
class http_call {
public:
  virtual ~http_call() = default;

  /// Stops reading from the peer; TCP then slows the peer down.
  virtual auto pauseReading() -> void = 0;

  /// Reads on after pauseReading().
  virtual auto resumeReading() -> void = 0;
};

/// Calls one HTTP server and keeps idle connections to it.
class http_client {
public:
  http_client(event_loop &Loop, const address &Address);
  ~http_client();
  http_client(const http_client &) = delete;
  auto operator=(const http_client &) -> http_client & = delete;

  /// Starts a call; \p Events tell its progress.
  [[nodiscard]] auto start(http_call_options Options, http_call_events Events)
      -> std::unique_ptr<http_call>;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace acacianotch
