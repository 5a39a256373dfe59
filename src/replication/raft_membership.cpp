/// \file Membership changes of one replica at a time.
#include "replication/raft_node.h"

#include "replication/codec.h"

#include <algorithm>
#include <string>
#include <utility>

namespace acacianotch {

namespace {

auto idText(replica_id Id) -> std::string {
  return "replica " + std::to_string(static_cast<std::uint64_t>(Id));
}

} // namespace

auto raft_node::checkLeadership(time_point Now) const -> result<void> {
  if (Failed)
    return failure{errc::storage_failed, "the replica's disk has failed",
                   verdict::not_run};
  if (Role != raft_role::leader)
    return failure::of(errc::not_leader, "the leader is " + idText(Leader));
  if (!leaseHeld(Now))
    return failure::of(errc::not_ready, "the leader lease has expired");
  return {};
}

/// Appends a membership record. The previous change must be committed, and the
/// leader must have committed a record of its own term; otherwise changes by
/// two leaders could have majorities without a common voter. A majority of the
/// new voters must be responsive, otherwise the change could never commit.
auto raft_node::changeMembers(const membership &Members, time_point Now)
    -> result<log_position> {
  if (!membersCommitted() || CommitIndex < TermStart)
    return failure::of(errc::not_ready,
                       "an earlier membership change is not committed");
  if (Members.voterCount() == 0)
    return failure::of(errc::bad_request, "the last voter cannot be removed");
  if (majorityAckedSendTime(Members) <= Now - Timing.Lease)
    return failure::of(errc::not_ready,
                       "no majority of the new voters answers");
  const auto Position =
      addRecord(record_kind::membership, encodeMembership(Members));
  updatePeers();
  return Position;
}

auto raft_node::addLearner(replica_id Joining, std::string Address,
                           time_point Now) -> result<log_position> {
  if (auto Outcome = checkLeadership(Now); !Outcome)
    return Outcome.error();
  auto Members = Log.members();
  const auto Number = static_cast<std::uint64_t>(Joining);
  if (Number < Members.NextId)
    return failure::of(errc::bad_request, idText(Joining) + " was used before");
  Members.Members.push_back({Joining, false, std::move(Address)});
  Members.NextId = Number + 1;
  return changeMembers(Members, Now);
}

auto raft_node::promote(replica_id Learner, time_point Now)
    -> result<log_position> {
  if (auto Outcome = checkLeadership(Now); !Outcome)
    return Outcome.error();
  auto Members = Log.members();
  const auto Found =
      std::find_if(Members.Members.begin(), Members.Members.end(),
                   [&](const member &Member) { return Member.Id == Learner; });
  if (Found == Members.Members.end() || Found->Voter)
    return failure::of(errc::bad_request, idText(Learner) + " is no learner");
  const auto &Peer = Peers.at(Learner);
  if (Peer.Match + Limits.PromotionLag < Log.last().Index ||
      Peer.AckedSendTime <= Now - Timing.Lease)
    return failure::of(errc::not_ready, idText(Learner) + " has not caught up");
  Found->Voter = true;
  return changeMembers(Members, Now);
}

auto raft_node::remove(replica_id Leaving, time_point Now)
    -> result<log_position> {
  if (auto Outcome = checkLeadership(Now); !Outcome)
    return Outcome.error();
  auto Members = Log.members();
  const auto Erased = std::erase_if(Members.Members, [&](const member &Member) {
    return Member.Id == Leaving;
  });
  if (Erased == 0)
    return failure::of(errc::unknown_entry, idText(Leaving) + " is no member");
  return changeMembers(Members, Now);
}

/// Adds and removes entries of Peers according to the latest membership.
auto raft_node::updatePeers() -> void {
  const auto &Members = Log.members();
  std::erase_if(Peers, [&](const auto &Peer) {
    return Members.find(Peer.first) == nullptr;
  });
  for (const auto &Member : Members.Members) {
    if (Member.Id == Id)
      continue;
    auto [Peer, Added] = Peers.try_emplace(Member.Id);
    if (Added)
      Peer->second.Next = Log.last().Index + 1;
  }
}

} // namespace acacianotch
