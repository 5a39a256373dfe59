/// \file RPC connections of an entry to agents.
#include "entry/agent_connections.h"

namespace acacianotch {

namespace {

constexpr duration ProbeTimeout = std::chrono::milliseconds(500);

} // namespace

// A request is sent only on a connection that has answered a probe. If sending
// on an unverified connection failed, it would be unknown whether the agent
// received the request.
auto agent_connections::connect(const address &Address)
    -> kj::Promise<wire::Agent::Client> {
  auto &Peer = Peers[Address];
  if (Peer == nullptr)
    Peer = std::make_unique<rpc_peer>(Loop, Address, Options);
  auto Client = Peer->as<wire::Agent>();
  if (!Client)
    return KJ_EXCEPTION(DISCONNECTED, "the agent cannot be reached",
                        Client.error().text().c_str());
  if (Peer->confirmed())
    return kj::mv(*Client);
  auto Limit = Loop.delay(ProbeTimeout).then([&Peer = *Peer] {
    Peer.disconnect();
    kj::throwFatalException(
        KJ_EXCEPTION(DISCONNECTED, "the agent did not answer a probe"));
  });
  return Client->probeRequest()
      .send()
      .then([&Peer = *Peer](auto &&) { Peer.confirm(); })
      .exclusiveJoin(kj::mv(Limit))
      .then([Agent = *Client]() mutable { return kj::mv(Agent); });
}

} // namespace acacianotch
