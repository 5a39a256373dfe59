/// \file Connections of an entry to agents.
#pragma once

#include "board/backend_board.h"
#include "core/address_type.h"
#include "net/rpc_peer.h"

#include <acacianotch.capnp.h>

#include <map>
#include <memory>

namespace acacianotch {

/// Keeps one connection per agent address.
class agent_directory {
public:
  agent_directory(event_loop &TheLoop, rpc_options TheOptions)
      : Loop(TheLoop), Options(TheOptions) {}

  /// \return the agent's interface once a call on its connection has been
  /// answered. Fails before anything was sent to it, so the request has not
  /// run.
  [[nodiscard]] auto ready(const address &Address)
      -> kj::Promise<wire::Agent::Client>;

private:
  event_loop &Loop;
  rpc_options Options;
  std::map<address, std::unique_ptr<rpc_peer>> Peers;
};

} // namespace acacianotch
