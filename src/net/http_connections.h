/// \file Bounds on the memory and the number of an HTTP server's connections.
#pragma once

#include "core/memory_budget.h"
#include "net/event_loop.h"
#include "net/http_server.h"

#include <event2/http.h>

#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace acacianotch {

/// Counts what each connection of an evhttp server holds: bytes received for
/// the next request, the body that is being handled, and unsent output. When
/// their sum reaches the budget, the connection that holds most is closed; when
/// there are too many connections, the one that has been idle longest.
class http_connections {
public:
  http_connections(event_loop &Loop, const http_server_options &Options);
  ~http_connections();
  http_connections(const http_connections &) = delete;
  auto operator=(const http_connections &) -> http_connections & = delete;

  /// Lets \p Http create its connections here. \p Http is freed before this.
  auto attach(evhttp *Http) -> void;

  /// Tells that a request with \p BodyBytes is being handled. \p OnClosed runs
  /// if the connection closes before endAnswer().
  auto beginAnswer(evhttp_connection *Connection, std::size_t BodyBytes,
                   std::function<void()> OnClosed) -> void;

  /// Tells that the whole answer has been handed to evhttp.
  auto endAnswer(evhttp_connection *Connection) -> void;

  [[nodiscard]] auto dropped() const -> const http_drop_counts & {
    return Dropped;
  }

private:
  class connection;
  using connection_handle = std::shared_ptr<connection>;

  static auto onAccept(event_base *Base, void *Self) -> bufferevent *;

  auto find(evhttp_connection *Connection) -> connection *;
  auto remove(connection &Closed) -> void;
  auto limitMemory(const connection *Exempt) -> void;
  auto limitConnections(connection &Accepted) -> void;
  auto drop(connection &Chosen, std::string_view Reason) -> void;

  event_loop &Loop;
  std::size_t MaxConnections;
  memory_budget Budget;
  std::uint64_t Activity = 0; ///< Orders the connections' latest activities.
  std::size_t Closing = 0;    ///< Dropped connections that are not closed yet.
  http_drop_counts Dropped;
  std::unordered_map<bufferevent *, connection_handle> Open;
};

} // namespace acacianotch
