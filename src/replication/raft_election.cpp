/// \file Elections and the leader lease.
#include "replication/raft_node.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace acacianotch {

auto raft_node::resetElectionTimer(time_point Now) -> void {
  const auto Spread = Timing.ElectionMax - Timing.ElectionMin;
  const auto Jitter =
      randomBelow(Random, static_cast<std::uint64_t>(Spread.count()) + 1);
  ElectionDeadline = Now + Timing.ElectionMin + duration(Jitter);
}

auto raft_node::becomeFollower(log_term Term, replica_id NewLeader,
                               time_point Now) -> void {
  const auto NewTerm = Term > State.Term;
  if (NewTerm) {
    State = {Term, replica_id::none};
    Deferred.clear();
    writeState();
  }
  // Even the same leader may have replaced records of its log between two terms
  // that it led.
  if (NewTerm || Leader != NewLeader) {
    VerifiedIndex = 0;
    LateReplyDue = false;
    Incoming = {};
  }
  if (Role == raft_role::leader)
    resetElectionTimer(Now);
  Role = raft_role::follower;
  Leader = NewLeader;
  Votes.clear();
  Peers.clear();
}

/// A pre-vote does not increment the term, so a replica that returns from a
/// network partition does not depose a working leader. A replica that is no
/// voter only forgets the silent leader.
auto raft_node::startPreVote(time_point Now) -> void {
  resetElectionTimer(Now);
  becomeFollower(State.Term, replica_id::none, Now);
  if (!Log.members().isVoter(Id))
    return;
  Role = raft_role::pre_candidate;
  requestVotes(State.Term + 1, true);
  countVote(Id, Now);
}

auto raft_node::startElection(time_point Now) -> void {
  resetElectionTimer(Now);
  becomeFollower(State.Term + 1, replica_id::none, Now);
  Role = raft_role::candidate;
  State.Vote = Id;
  writeState();
  requestVotes(State.Term, false);
  sendAfterSync(Id, vote_reply{State.Term, false, true});
}

auto raft_node::requestVotes(log_term Term, bool PreVote) -> void {
  const vote_request Request{Term, PreVote, Log.last()};
  for (const auto &Member : Log.members().Members) {
    if (!Member.Voter || Member.Id == Id)
      continue;
    if (PreVote)
      send(Member.Id, Request);
    else
      sendAfterSync(Member.Id, Request);
  }
}

auto raft_node::countVote(replica_id From, time_point Now) -> void {
  if (!Log.members().isVoter(From))
    return;
  Votes.insert(From);
  if (Votes.size() <= Log.members().voterCount() / 2)
    return;
  if (Role == raft_role::pre_candidate)
    startElection(Now);
  else if (Role == raft_role::candidate)
    becomeLeader(Now);
}

auto raft_node::becomeLeader(time_point Now) -> void {
  Role = raft_role::leader;
  Leader = Id;
  LeaderSince = Now;
  HeartbeatDue = Now;
  Votes.clear();
  // Records of earlier terms are committed only together with a record of the
  // current term, so a no-op record is appended immediately.
  updatePeers();
  TermStart = addRecord(record_kind::no_op, {}).Index;
}

/// The leader lease relies on this check: a replica that replied to a leader
/// grants no vote for the minimum election timeout, which exceeds the lease.
auto raft_node::heardFromLeader(time_point Now) const -> bool {
  if (Leader != replica_id::none && Now < ReadUntil)
    return true;
  if (Role == raft_role::leader)
    return leaseHeld(Now);
  return Now - LastLeaderContact < Timing.ElectionMin;
}

auto raft_node::canGrantVote(replica_id From, const vote_request &Body,
                             time_point Now) const -> bool {
  const auto OwnLast = Log.last();
  const auto UpToDate =
      Body.Last.Term > OwnLast.Term ||
      (Body.Last.Term == OwnLast.Term && Body.Last.Index >= OwnLast.Index);
  if (!UpToDate || heardFromLeader(Now))
    return false;
  if (Body.PreVote)
    return Body.Term > State.Term;
  const auto VoteAvailable =
      State.Vote == replica_id::none || State.Vote == From;
  return Body.Term == State.Term && VoteAvailable;
}

auto raft_node::handle(replica_id From, const vote_request &Body,
                       time_point Now) -> void {
  if (!Body.PreVote && Body.Term > State.Term) {
    if (heardFromLeader(Now))
      return;
    becomeFollower(Body.Term, replica_id::none, Now);
  }
  const auto Granted = canGrantVote(From, Body, Now);
  const auto Term = Granted ? Body.Term : State.Term;
  if (Granted && !Body.PreVote) {
    State.Vote = From;
    writeState();
    resetElectionTimer(Now);
  }
  sendAfterSync(From, vote_reply{Term, Body.PreVote, Granted});
  if (stateDurable())
    releaseDeferred(Now);
}

auto raft_node::handle(replica_id From, const vote_reply &Body, time_point Now)
    -> void {
  if (!Body.Granted) {
    if (Body.Term > State.Term)
      becomeFollower(Body.Term, replica_id::none, Now);
    return;
  }
  const auto Expected =
      Body.PreVote ? raft_role::pre_candidate : raft_role::candidate;
  const auto Term = Body.PreVote ? State.Term + 1 : State.Term;
  if (Role == Expected && Body.Term == Term)
    countVote(From, Now);
}

/// \return the latest time such that a majority of the voters has replied to a
/// message sent at or after it. This replica counts as having replied to every
/// message.
auto raft_node::majorityAckedSendTime(const membership &Members) const
    -> time_point {
  std::vector<time_point> Times;
  for (const auto &Member : Members.Members) {
    if (!Member.Voter)
      continue;
    const auto Peer = Peers.find(Member.Id);
    if (Member.Id == Id)
      Times.push_back(time_point::max());
    else
      Times.push_back(Peer == Peers.end() ? time_point::min()
                                          : Peer->second.AckedSendTime);
  }
  if (Times.empty())
    return time_point::min();
  std::sort(Times.begin(), Times.end(), std::greater<>());
  return Times[Times.size() / 2];
}

} // namespace acacianotch
