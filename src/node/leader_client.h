/// \file Client of the control VMs: commands go to the leader.
#pragma once

#include "catalogue/command_type.h"
#include "net/rpc_peer.h"

#include <acacianotch.capnp.h>

#include <memory>
#include <vector>

namespace acacianotch {

/// Sends commands to the control leader and follows leader changes. Every
/// command may be sent more than once: change ids, claim keys, request ids and
/// sequences make repeats harmless.
class leader_client {
public:
  leader_client(event_loop &Loop, const std::vector<address> &Addresses,
                const rpc_options &Options);

  /// Runs \p Command. \return its result; `no_quorum` if no leader answered
  /// within \p Limit, after which the command may still take effect.
  [[nodiscard]] auto execute(const command &Command, duration Limit)
      -> kj::Promise<command_result>;

  /// \return the peers in the order of the settings.
  [[nodiscard]] auto peers() -> std::vector<std::unique_ptr<rpc_peer>> & {
    return Peers;
  }

  /// Replaces the peers by the members that control names. Peers that stay
  /// keep their connections.
  auto follow(const std::vector<address> &Members) -> void;

  /// Adds a control VM that another one names. \return its position.
  auto learn(const address &Address) -> std::size_t;

  /// Adds the addresses of the settings again; the members that were followed
  /// may all have been replaced.
  auto learnConfigured() -> void;

private:
  struct call;

  auto attempt(std::shared_ptr<call> Call) -> kj::Promise<command_result>;
  auto retry(std::shared_ptr<call> Call) -> kj::Promise<command_result>;
  auto noteLeader(std::string_view Address) -> void;

  event_loop &Loop;
  std::vector<address> Configured;
  std::vector<std::unique_ptr<rpc_peer>> Peers;
  /// Calls that are under way may still refer to these.
  std::vector<std::unique_ptr<rpc_peer>> Retired;
  rpc_options Options;
  std::size_t Current = 0;
};

} // namespace acacianotch
