/// \file Connections of an entry to agents.
#include "entry/agent_directory.h"

namespace acacianotch {

namespace {

constexpr duration ProbeLimit = std::chrono::milliseconds(500);

} // namespace

// A request is sent only on a connection that has answered a probe: if sending
// on an unproven connection fails, nobody can tell whether the agent got it.
auto agent_directory::ready(const address &Address)
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
  auto Limit = Loop.delay(ProbeLimit).then([&Peer = *Peer] {
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
