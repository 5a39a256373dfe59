/// \file A peer whose connection is made again when it is lost.
#pragma once

#include "core/address_type.h"
#include "net/rpc.h"

#include <functional>
#include <memory>

namespace acacianotch {

/// Keeps at most one connection to one address.
class rpc_peer {
public:
  rpc_peer(event_loop &TheLoop, address TheAddress, rpc_options TheOptions);

  /// \return the peer's interface on a new or open connection;
  /// `backend_unreachable` if the operating system refuses at once, or while
  /// the time after a failed connection has not passed.
  template <typename interface>
  [[nodiscard]] auto as() -> result<typename interface::Client> {
    if (auto Ready = ensureConnected(); !Ready)
      return Ready.error();
    return Connection->as<interface>();
  }

  /// Marks the connection as usable: a call on it has been answered.
  auto confirm() -> void;

  /// \return whether a call on the open connection has been answered. A call
  /// that fails on a connection without answer never reached the peer's code.
  [[nodiscard]] auto confirmed() const -> bool { return Confirmed; }

  /// Drops the connection; the next call makes a new one.
  auto disconnect() -> void;

  /// Runs \p Callback each time an open connection is lost.
  auto onLost(std::function<void()> Callback) -> void {
    Lost = std::move(Callback);
  }

  [[nodiscard]] auto peerAddress() const -> const address & { return Address; }

private:
  auto ensureConnected() -> result<void>;
  auto handleLoss() -> void;

  event_loop &Loop;
  address Address;
  rpc_options Options;
  std::unique_ptr<rpc_connection> Connection;
  std::function<void()> Lost;
  bool Confirmed = false;
  duration Backoff{};
  time_point RetryAt{};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace acacianotch
