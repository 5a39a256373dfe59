/// \file Accepts connections of callers.
#pragma once

#include "core/result.h"
#include "gateway/caller_connection.h"
#include "net/event_loop.h"

#include <event2/listener.h>

#include <array>
#include <functional>
#include <limits>
#include <memory>
#include <unordered_map>
#include <vector>

namespace acacianotch {

/// What all connections of a server may use.
struct caller_bounds {
  std::shared_ptr<memory_budget> Memory =
      std::make_shared<memory_budget>(std::numeric_limits<std::size_t>::max());
  std::size_t Connections = std::numeric_limits<std::size_t>::max();
};

/// Accepts connections on one address and owns them.
class caller_server {
public:
  using request_handler = std::function<void(
      const std::shared_ptr<caller_connection> &, caller_request &&)>;

  /// \return a server; `address_in_use` if the address is taken.
  [[nodiscard]] static auto create(event_loop &Loop, const address &Address,
                                   request_handler Handler,
                                   caller_bounds Bounds = {})
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

  /// \return the number of connections that were dropped for \p Reason.
  [[nodiscard]] auto dropped(drop_reason Reason) const -> std::uint64_t {
    return Dropped[static_cast<std::size_t>(Reason)];
  }

private:
  using connection_list = std::vector<std::shared_ptr<caller_connection>>;

  caller_server(event_loop &Loop, request_handler Handler,
                caller_bounds Bounds);

  static auto onAccept(evconnlistener *, evutil_socket_t Fd, sockaddr *, int,
                       void *Self) -> void;
  auto accept(int Fd) -> void;
  [[nodiscard]] auto openConnections() const -> connection_list;
  /// Drops bodies, then unread answers, until there is memory again.
  auto freeMemory() -> void;
  auto dropBodies() -> void;
  auto dropUnread() -> void;
  /// \return whether a connection was closed.
  [[nodiscard]] auto closeReplaced() -> bool;
  auto refuseConnection(int Fd) -> void;
  auto disconnect(caller_connection &Connection, const connection_use &Use,
                  drop_reason Reason) -> void;
  auto count(drop_reason Reason) -> void {
    ++Dropped[static_cast<std::size_t>(Reason)];
  }

  struct listener_deleter {
    auto operator()(evconnlistener *Listener) const -> void {
      evconnlistener_free(Listener);
    }
  };

  event_loop &Loop;
  request_handler Handler;
  caller_bounds Bounds;
  caller_limits Limits;
  std::array<std::uint64_t, DropReasonNames.Rows.size() + 1> Dropped{};
  std::unique_ptr<evconnlistener, listener_deleter> Listener;
  std::unordered_map<caller_connection *, std::shared_ptr<caller_connection>>
      Connections;
  std::unique_ptr<loop_timer> MemoryTimer;
  bool Closing = false;
};

} // namespace acacianotch
