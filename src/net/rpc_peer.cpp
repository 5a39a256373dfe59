/// \file A peer whose connection is made again when it is lost.
#include "net/rpc_peer.h"

namespace acacianotch {

namespace {

constexpr duration FirstBackoff = std::chrono::milliseconds(50);
constexpr duration MaxBackoff = std::chrono::milliseconds(800);

} // namespace

rpc_peer::rpc_peer(event_loop &TheLoop, address TheAddress,
                   rpc_options TheOptions)
    : Loop(TheLoop), Address(std::move(TheAddress)), Options(TheOptions) {}

auto rpc_peer::confirm() -> void {
  Confirmed = true;
  Backoff = duration::zero();
}

auto rpc_peer::ensureConnected() -> result<void> {
  if (Connection != nullptr)
    return {};
  const auto Now = steady_clock::now();
  if (Now < RetryAt)
    return failure{errc::backend_unreachable, "waiting to reconnect",
                   verdict::not_run};
  auto Created = rpc_connection::connect(Loop, Address, Options);
  if (!Created)
    return Created.error();
  Connection = std::move(Created).value();
  Confirmed = false;
  Connection->onDisconnect([this, Guard = std::weak_ptr<bool>(Alive)] {
    if (Guard.lock())
      handleLoss();
  });
  return {};
}

// Runs inside the connection's own promise, so the connection is freed later.
auto rpc_peer::handleLoss() -> void {
  Loop.defer([Old = std::shared_ptr<rpc_connection>(std::move(Connection))] {});
  const auto WasConfirmed = std::exchange(Confirmed, false);
  Backoff = std::clamp(Backoff * 2, FirstBackoff, MaxBackoff);
  RetryAt = steady_clock::now() + (WasConfirmed ? FirstBackoff : Backoff);
  if (Lost)
    Lost();
}

auto rpc_peer::disconnect() -> void {
  if (Connection == nullptr)
    return;
  Loop.defer([Old = std::shared_ptr<rpc_connection>(std::move(Connection))] {});
  Confirmed = false;
}

} // namespace acacianotch
