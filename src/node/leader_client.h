/// \file Client of the control group that sends commands to its leader.
#pragma once

#include "catalogue/command_type.h"
#include "net/rpc_peer.h"

#include <acacianotch.capnp.h>

#include <memory>
#include <vector>

namespace acacianotch {

/// Sends commands to the control leader and follows leader changes. A command
/// may be sent more than once: commands are idempotent through their change
/// ids, claim keys, request ids and sequence numbers.
class leader_client {
public:
  leader_client(event_loop &Loop, const std::vector<address> &Addresses,
                const rpc_options &Options);

  /// Sends \p Command and retries until \p Timeout. \return its result;
  /// `no_quorum` if no leader answered in time; the command may still take
  /// effect then.
  [[nodiscard]] auto execute(const command &Command, duration Timeout)
      -> kj::Promise<command_result>;

  /// \return the known control VMs, at first in the order of the settings.
  [[nodiscard]] auto peers() -> std::vector<std::unique_ptr<rpc_peer>> & {
    return Peers;
  }

  /// Replaces the peers by the current members of the control group. Remaining
  /// members keep their connections.
  auto replacePeers(const std::vector<address> &Members) -> void;

  /// Adds a peer unless it is known. \return its index.
  auto addPeer(const address &Address) -> std::size_t;

  /// Adds the addresses of the settings again, because all members received
  /// from the control group may have been replaced.
  auto addConfiguredPeers() -> void;

private:
  struct call;

  auto attempt(std::shared_ptr<call> Call) -> kj::Promise<command_result>;
  auto retry(std::shared_ptr<call> Call) -> kj::Promise<command_result>;
  auto switchToLeader(std::string_view Address) -> void;

  event_loop &Loop;
  std::vector<address> Configured;
  std::vector<std::unique_ptr<rpc_peer>> Peers;
  /// Removed peers; calls in progress may still refer to them.
  std::vector<std::unique_ptr<rpc_peer>> Retired;
  rpc_options Options;
  std::size_t CurrentPeer = 0; ///< Index of the presumed leader.
};

} // namespace acacianotch
