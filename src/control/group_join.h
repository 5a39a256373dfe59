/// \file Joining a group through seed addresses.
#pragma once

#include "core/result.h"
#include "net/event_loop.h"
#include "net/rpc_peer.h"
#include "replication/record_type.h"
#include "table/settings_type.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace acacianotch {

/// Membership granted by the leader.
struct join_grant {
  std::uint64_t Group = 0;
  std::uint64_t Replica = 0;
  std::vector<replica_address> Members;
  bool Removed = false; ///< The requesting replica is no longer a member.
};

/// What a replica requests of its group.
struct membership_request {
  std::uint64_t Replica = 0; ///< Its id; 0 if it requests a new identity.
  bool Leaving = false; ///< Its process ends, so that it gives up its vote.
};

/// Answer of a replica to a request for membership.
struct join_answer {
  errc Code = errc::ok;
  std::string Detail;
  join_grant Grant;
};

/// Requests membership, or its end, from the seeds and the leader that they
/// report, until that is granted.
class group_joiner {
public:
  /// \p OwnAddress is this replica's RPC address.
  group_joiner(event_loop &Loop, std::vector<address> Seeds, address OwnAddress,
               membership_request Request, const rpc_options &Rpc);

  /// Sends the next request to \p LeaderText if it is another replica's
  /// address, else to the next seed.
  auto setLeader(const std::string &LeaderText) -> void;

  /// Runs the loop until membership is granted or \p Stopped is set.
  [[nodiscard]] auto wait(const bool &Stopped) -> std::optional<join_grant>;

  /// \return the grant, once; none before it has arrived.
  [[nodiscard]] auto takeGrant() -> std::optional<join_grant>;

private:
  auto sendRequest() -> void;
  /// Retries after a delay, at the address that setLeader() chooses.
  auto scheduleRetry(const std::string &LeaderText) -> void;

  event_loop &Loop;
  std::vector<address> Seeds;
  address OwnAddress;
  std::uint64_t Token; ///< The same in all attempts, so that one is granted.
  membership_request Request;
  rpc_options Rpc;
  std::map<address, std::unique_ptr<rpc_peer>> Peers;
  std::size_t NextSeed = 0;
  std::optional<address> Leader;
  std::optional<join_grant> Grant;
  std::unique_ptr<loop_timer> Timer;
  kj::Maybe<kj::Promise<void>> Call;
};

/// \return the RPC addresses of the seeds, sorted, so that all replicas get the
/// same order.
[[nodiscard]] auto seedAddresses(const settings &Settings)
    -> std::vector<address>;

/// \return the seeds and the addresses of \p Members, without duplicates.
[[nodiscard]] auto groupAddresses(const settings &Settings,
                                  const membership &Members)
    -> std::vector<address>;

/// \return whether this replica and the other seeds form a new group.
[[nodiscard]] auto formsGroup(const settings &Settings) -> bool;

/// \return the members of a new group that consists of the seeds.
[[nodiscard]] auto seedMembers(const settings &Settings)
    -> std::vector<replica_address>;

} // namespace acacianotch
