/// \file A replica that finds its group through seeds.
#pragma once

#include "core/result.h"
#include "net/event_loop.h"
#include "net/rpc_peer.h"
#include "table/settings_type.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace acacianotch {

/// Membership that the leader has granted.
struct join_grant {
  std::uint64_t Group = 0;
  std::uint64_t Replica = 0;
  std::vector<replica_address> Members;
  bool Removed = false; ///< The replica that asked is no member any more.
};

/// What a replica answers to another one that asks for membership.
struct join_answer {
  errc Code = errc::ok;
  std::string Detail;
  join_grant Grant;
};

/// Asks seeds, and the leader that they name, until one grants membership.
class group_joiner {
public:
  /// \p Own is this replica's RPC address; \p Replica is 0 without identity.
  group_joiner(event_loop &Loop, std::vector<address> Seeds, address Own,
               std::uint64_t Token, std::uint64_t Replica,
               const rpc_options &Rpc);

  /// Runs the loop until a grant comes. \p Stopped ends the wait.
  [[nodiscard]] auto wait(const bool &Stopped) -> std::optional<join_grant>;

private:
  auto ask() -> void;
  auto askAgain(const std::string &Leader) -> void;

  event_loop &Loop;
  std::vector<address> Seeds;
  address Own;
  std::uint64_t Token;
  std::uint64_t Replica;
  rpc_options Rpc;
  std::map<address, std::unique_ptr<rpc_peer>> Peers;
  std::size_t Next = 0;
  std::optional<address> Leader;
  std::optional<join_grant> Grant;
  std::unique_ptr<loop_timer> Timer;
  kj::Maybe<kj::Promise<void>> Call;
};

/// \return the seeds as RPC addresses, in an order that all replicas share.
[[nodiscard]] auto seedAddresses(const settings &Settings)
    -> std::vector<address>;

/// \return whether this replica and the other seeds form a new group.
[[nodiscard]] auto formsGroup(const settings &Settings) -> bool;

/// \return the members of a new group of the seeds.
[[nodiscard]] auto seedMembers(const settings &Settings)
    -> std::vector<replica_address>;

} // namespace acacianotch
