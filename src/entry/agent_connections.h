/// \file RPC connections of an entry to agents.
#pragma once

#include "board/backend_board.h"
#include "core/address_type.h"
#include "net/rpc_peer.h"

#include <acacianotch.capnp.h>

#include <map>
#include <memory>

namespace acacianotch {

/// Holds one RPC connection per agent address.
class agent_connections {
public:
  agent_connections(event_loop &TheLoop, rpc_options TheOptions)
      : Loop(TheLoop), Options(TheOptions) {}

  /// \return the agent's interface once the connection has answered a probe. On
  /// failure no request was sent, so the caller may report `not_run`.
  [[nodiscard]] auto connect(const address &Address)
      -> kj::Promise<wire::Agent::Client>;

private:
  event_loop &Loop;
  rpc_options Options;
  std::map<address, std::unique_ptr<rpc_peer>> Peers;
};

} // namespace acacianotch
