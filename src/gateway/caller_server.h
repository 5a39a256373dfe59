/// \file Accepts connections of callers.
#pragma once

#include "core/result.h"
#include "gateway/caller_connection.h"
#include "net/event_loop.h"

#include <event2/listener.h>

#include <functional>
#include <memory>
#include <unordered_map>

namespace acacianotch {

/// Accepts connections on one address and owns them.
class caller_server {
public:
  using request_handler = std::function<void(
      const std::shared_ptr<caller_connection> &, caller_request &&)>;

  /// \return a server; `address_in_use` if the address is taken.
  [[nodiscard]] static auto create(event_loop &Loop, const address &Address,
                                   request_handler Handler)
      -> result<std::unique_ptr<caller_server>>;

  ~caller_server();
  caller_server(const caller_server &) = delete;
  auto operator=(const caller_server &) -> caller_server & = delete;

  /// \return the port that the server listens on.
  [[nodiscard]] auto port() const -> std::uint16_t;

  /// Sets the limits of later requests.
  auto setLimits(const caller_limits &Limits) -> void;

  /// Closes each connection after its current answer from now on.
  auto closeAfterAnswers() -> void;

  /// Closes connections without a request in progress.
  auto closeIdle() -> void;

  /// \return the number of connections with an unanswered or incomplete
  /// request.
  [[nodiscard]] auto busyCount() const -> std::size_t;

  /// \return the number of open connections.
  [[nodiscard]] auto connectionCount() const -> std::size_t {
    return Connections.size();
  }

private:
  caller_server(event_loop &Loop, request_handler Handler);

  static auto onAccept(evconnlistener *, evutil_socket_t Fd, sockaddr *, int,
                       void *Self) -> void;
  auto accept(int Fd) -> void;

  struct listener_deleter {
    auto operator()(evconnlistener *Listener) const -> void {
      evconnlistener_free(Listener);
    }
  };

  event_loop &Loop;
  request_handler Handler;
  caller_limits Limits;
  std::unique_ptr<evconnlistener, listener_deleter> Listener;
  std::unordered_map<caller_connection *, std::shared_ptr<caller_connection>>
      Connections;
  bool Closing = false;
};

} // namespace acacianotch
