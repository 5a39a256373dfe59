/// \file Cap'n Proto RPC between the processes of the system.
#pragma once

#include "core/result.h"
#include "net/event_loop.h"
#include "net/socket_func.h"

#include <capnp/rpc-twoparty.h>

#include <functional>
#include <memory>

namespace acacianotch {

/// Limits of RPC connections.
struct rpc_options {
  int SilenceSeconds = 5; ///< A silent peer is disconnected after about this.
  /// Largest message that is accepted, in 8-byte words.
  std::uint64_t MaxMessageWords = 4ULL * 1024 * 1024;
};

/// \return \p Exception as a failure: `backend_unreachable` for a lost
/// connection, `overloaded`, or `protocol_error`; all may have run.
[[nodiscard]] auto failureFrom(const kj::Exception &Exception) -> failure;

/// Accepts connections and offers one interface on each.
class rpc_server {
public:
  /// \return a server for \p Bootstrap; `address_in_use` if the address is
  /// taken.
  [[nodiscard]] static auto create(event_loop &Loop, const address &Address,
                                   capnp::Capability::Client Bootstrap,
                                   const rpc_options &Options)
      -> result<std::unique_ptr<rpc_server>>;

  ~rpc_server();
  rpc_server(const rpc_server &) = delete;
  auto operator=(const rpc_server &) -> rpc_server & = delete;

  /// \return the port that the server listens on.
  [[nodiscard]] auto port() const -> std::uint16_t;

  /// \return the number of open connections.
  [[nodiscard]] auto connections() const -> std::size_t;

  /// Accepts no further connection; open ones continue.
  auto stopAccepting() -> void;

private:
  struct state;
  explicit rpc_server(std::unique_ptr<state> State);

  std::unique_ptr<state> State;
};

/// One outgoing connection. Calls on its interface fail once it is lost; the
/// owner then makes a new one.
class rpc_connection {
public:
  /// \return a connection whose handshake has started; `backend_unreachable`
  /// if the operating system refuses at once.
  [[nodiscard]] static auto connect(event_loop &Loop, const address &Address,
                                    const rpc_options &Options)
      -> result<std::unique_ptr<rpc_connection>>;

  ~rpc_connection();
  rpc_connection(const rpc_connection &) = delete;
  auto operator=(const rpc_connection &) -> rpc_connection & = delete;

  /// \return the peer's interface.
  template <typename interface>
  [[nodiscard]] auto as() -> typename interface::Client {
    return bootstrap().template castAs<interface>();
  }

  /// Runs \p Callback once when the connection is lost.
  auto
  onDisconnect(const std::function<void()> &Callback) -> void;

private:
  struct state;
  explicit rpc_connection(std::unique_ptr<state> State);
  [[nodiscard]] auto bootstrap() -> capnp::Capability::Client;

  std::unique_ptr<state> State;
};

} // namespace acacianotch
