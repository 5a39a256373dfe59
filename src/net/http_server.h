/// \file HTTP server on evhttp.
#pragma once

#include "core/result.h"
#include "net/event_loop.h"
#include "net/socket_func.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace acacianotch {

/// Header names and values in order.
using http_headers = std::vector<std::pair<std::string, std::string>>;

/// One request and its answer. Calls after the caller has left do nothing.
class http_exchange {
public:
  virtual ~http_exchange() = default;

  [[nodiscard]] virtual auto method() const -> std::string = 0;

  /// \return the path without the query.
  [[nodiscard]] virtual auto path() const -> std::string = 0;

  /// \return path and query as received.
  [[nodiscard]] virtual auto target() const -> std::string = 0;

  /// \return the header's value, if present; names ignore case.
  [[nodiscard]] virtual auto header(const char *Name) const
      -> std::optional<std::string> = 0;

  [[nodiscard]] virtual auto body() const -> std::string = 0;

  /// Sends a whole answer.
  virtual auto reply(int Status, const http_headers &Headers,
                     std::string_view Body) -> void = 0;

  /// Sends the head of an answer whose body follows in chunks.
  virtual auto startStream(int Status, const http_headers &Headers) -> void = 0;

  /// Sends one chunk; \p OnSent runs when the socket has taken it.
  virtual auto writeChunk(std::string_view Data, std::function<void()> OnSent)
      -> void = 0;

  /// Ends a streamed answer with its end marker.
  virtual auto endStream() -> void = 0;

  /// Closes the connection without an end marker, so that the caller sees that
  /// the answer is incomplete.
  virtual auto abort() -> void = 0;

  /// \return whether the caller has left.
  [[nodiscard]] virtual auto closed() const -> bool = 0;

  /// Runs \p Callback once if the caller leaves before the answer is complete.
  virtual auto onClosed(std::function<void()> Callback) -> void = 0;
};

using http_handler = std::function<void(std::shared_ptr<http_exchange>)>;

/// Limits of an HTTP server.
struct http_server_options {
  std::size_t MaxBodyBytes = 4ULL * 1024 * 1024; ///< Larger bodies get 413.
  std::size_t MaxHeaderBytes = 64ULL * 1024;     ///< Larger heads get 400.
  int IdleSeconds = 60; ///< A silent connection is closed after this.
  /// Received and unsent bytes of all connections together. Above it, the
  /// connection that holds most is closed; one request of the largest size
  /// always fits.
  std::size_t MaxHeldBytes = 1024ULL * 1024 * 1024;
  /// Above it, the connection that has been idle longest is closed.
  std::size_t MaxConnections = 10000;
};

/// Connections that a server has closed at a limit, by reason.
struct http_drop_counts {
  std::uint64_t Memory = 0;
  std::uint64_t Connections = 0;
};

/// Accepts HTTP requests and gives each to a handler.
class http_server {
public:
  /// \return a server; `address_in_use` if the address is taken.
  [[nodiscard]] static auto create(event_loop &Loop, const address &Address,
                                   const http_server_options &Options,
                                   http_handler Handler)
      -> result<std::unique_ptr<http_server>>;

  ~http_server();
  http_server(const http_server &) = delete;
  auto operator=(const http_server &) -> http_server & = delete;

  /// \return the port that the server listens on.
  [[nodiscard]] auto port() const -> std::uint16_t;

  /// \return the number of requests without a complete answer.
  [[nodiscard]] auto openExchanges() const -> std::size_t;

  /// \return the connections closed because of MaxHeldBytes or
  /// MaxConnections.
  [[nodiscard]] auto dropped() const -> const http_drop_counts &;

  /// Accepts no further connection; open ones continue, and each is closed
  /// after its current answer.
  auto stopAccepting() -> void;

private:
  struct state;
  explicit http_server(std::unique_ptr<state> State);

  std::unique_ptr<state> State;
};

} // namespace acacianotch
