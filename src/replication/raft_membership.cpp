/// \file Membership changes, one at a time.
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

auto raft_node::checkLeading(time_point Now) const -> result<void> {
  if (Failed)
    return failure{errc::storage_failed, "the replica's disk has failed",
                   verdict::not_run};
  if (Role != raft_role::leader)
    return failure::of(errc::not_leader, "the leader is " + idText(Leader));
  if (!leaseHeld(Now))
    return failure::of(errc::not_ready, "the leader lease has expired");
  return {};
}

/// Adds a membership record. Besides "one at a time", the leader must have
/// committed a record in its own term, otherwise changes of two leaders can
/// have majorities without a common voter. The new voters must have a majority
/// that answers now, otherwise the change could never commit.
auto raft_node::changeMembers(const membership &Members, time_point Now)
    -> result<log_position> {
  if (!membersCommitted() || Commit < TermStart)
    return failure::of(errc::not_ready,
                       "an earlier membership change is not committed");
  if (Members.voterCount() == 0)
    return failure::of(errc::bad_request, "the last voter cannot be removed");
  if (majorityAnswered(Members) <= Now - Timing.Lease)
    return failure::of(errc::not_ready,
                       "no majority of the new voters answers");
  const auto Position =
      addRecord(record_kind::membership, encodeMembership(Members));
  updatePeers();
  return Position;
}

auto raft_node::addLearner(replica_id Joining, std::string Address,
                           time_point Now) -> result<log_position> {
  if (auto Outcome = checkLeading(Now); !Outcome)
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
  if (auto Outcome = checkLeading(Now); !Outcome)
    return Outcome.error();
  auto Members = Log.members();
  const auto Row =
      std::find_if(Members.Members.begin(), Members.Members.end(),
                   [&](const member &Each) { return Each.Id == Learner; });
  if (Row == Members.Members.end() || Row->Voter)
    return failure::of(errc::bad_request, idText(Learner) + " is no learner");
  const auto &Peer = Peers.at(Learner);
  if (Peer.Match + Limits.CatchUp < Log.last().Index ||
      Peer.AnsweredAt <= Now - Timing.Lease)
    return failure::of(errc::not_ready, idText(Learner) + " has not caught up");
  Row->Voter = true;
  return changeMembers(Members, Now);
}

auto raft_node::remove(replica_id Leaving, time_point Now)
    -> result<log_position> {
  if (auto Outcome = checkLeading(Now); !Outcome)
    return Outcome.error();
  auto Members = Log.members();
  const auto Erased = std::erase_if(
      Members.Members, [&](const member &Each) { return Each.Id == Leaving; });
  if (Erased == 0)
    return failure::of(errc::unknown_entry, idText(Leaving) + " is no member");
  return changeMembers(Members, Now);
}

/// Makes Peers follow the latest membership.
auto raft_node::updatePeers() -> void {
  const auto &Members = Log.members();
  std::erase_if(Peers, [&](const auto &Row) {
    return Members.find(Row.first) == nullptr;
  });
  for (const auto &Member : Members.Members) {
    if (Member.Id == Id)
      continue;
    auto [Row, Added] = Peers.try_emplace(Member.Id);
    if (Added)
      Row->second.Next = Log.last().Index + 1;
  }
}

} // namespace acacianotch
