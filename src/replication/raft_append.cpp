/// \file Replication of records, commit and answers to the leader.
#include "replication/raft_node.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace acacianotch {

namespace {

auto wireTime(time_point Time) -> std::uint64_t {
  return static_cast<std::uint64_t>(Time.time_since_epoch().count());
}

} // namespace

/// Handles the term of a leader's message. \return whether to go on.
auto raft_node::followLeader(replica_id From, log_term Term, time_point Now)
    -> bool {
  if (Term < State.Term) {
    send(From, append_reply{State.Term, false, 0, 0, 0});
    return false;
  }
  // Only a faulty peer claims to lead the term that this replica leads.
  if (Term == State.Term && Role == raft_role::leader)
    return false;
  if (Term > State.Term || Role != raft_role::follower || Leader != From)
    becomeFollower(Term, From, Now);
  LeaderContact = Now;
  resetElectionTimer(Now);
  return true;
}

auto raft_node::rejectAppend(replica_id From, const append_request &Body)
    -> void {
  // Going back to the start of the conflicting term saves one round trip per
  // record; committed records cannot conflict.
  const auto Term = Log.termAt(Body.Previous.Index);
  auto Try = std::min(Log.last().Index, Body.Previous.Index - 1);
  while (Term && Try > Commit && Log.termAt(Try) == Term)
    --Try;
  send(From,
       append_reply{State.Term, false, Try, Body.Previous.Index, Body.SentAt});
}

/// Stores the records that the log lacks. \return false if they conflict with
/// a committed record or are malformed, which no correct leader sends.
auto raft_node::storeRecords(const append_request &Body) -> bool {
  for (const auto &Record : Body.Records) {
    if (Record.Index <= Log.last().Index) {
      if (Record.Index < Log.firstIndex() ||
          Log.termAt(Record.Index) == Record.Term)
        continue;
      if (Record.Index <= Commit)
        return false;
      Log.truncate(Record.Index);
      Durable = std::min(Durable, Record.Index - 1);
      for (auto &Row : Pending)
        Row.Last = std::min(Row.Last, Record.Index - 1);
    }
    if (!Log.append(Record))
      return false;
    Write.Records.push_back(Record);
  }
  return true;
}

/// Only synced records are reported: the leader counts them as stored.
auto raft_node::acceptedReply(std::uint64_t SentAt) const -> append_reply {
  return {State.Term, true, std::min(Verified, Durable), 0, SentAt};
}

auto raft_node::handle(replica_id From, const append_request &Body,
                       time_point Now) -> void {
  if (!followLeader(From, Body.Term, Now))
    return;
  const auto Previous = Body.Previous;
  const auto Known = Log.termAt(Previous.Index);
  const auto Covered = Previous.Index < Log.firstIndex() - 1;
  if (!Covered && Known != Previous.Term) {
    if (stateDurable())
      rejectAppend(From, Body);
    return;
  }
  if (!storeRecords(Body))
    return;
  // Everything that the snapshot covers is committed and matches any leader.
  const auto Last =
      std::max(Previous.Index + Body.Records.size(), Log.base().Index);
  Verified = std::max(Verified, Last);
  Commit = std::max(Commit, std::min(Body.Commit, Verified));
  ReportDue = Durable < Verified || !stateDurable();
  if (stateDurable())
    send(From, acceptedReply(Body.SentAt));
}

/// Notes for the lease that \p Peer has answered a message sent at \p SentAt.
auto raft_node::noteAnswer(peer &Peer, std::uint64_t SentAt, time_point Now)
    -> void {
  if (SentAt < wireTime(LeaderSince) || SentAt > wireTime(Now))
    return;
  const auto Sent = time_point(duration(static_cast<std::int64_t>(SentAt)));
  Peer.AnsweredAt = std::max(Peer.AnsweredAt, Sent);
}

auto raft_node::handle(replica_id From, const append_reply &Body,
                       time_point Now) -> void {
  if (Body.Term > State.Term)
    return becomeFollower(Body.Term, replica_id::none, Now);
  const auto Found = Peers.find(From);
  if (Body.Term < State.Term || Role != raft_role::leader ||
      Found == Peers.end() || Body.Match > Log.last().Index)
    return;
  auto &Peer = Found->second;
  noteAnswer(Peer, Body.SentAt, Now);
  if (Body.Accepted) {
    Peer.Match = std::max(Peer.Match, Body.Match);
    Peer.Next = std::max(Peer.Next, Peer.Match + 1);
    if (Peer.Sending && Peer.Match >= Peer.Sending->Index)
      Peer.Sending.reset();
    if (!Peer.Sending)
      Peer.Probing = Peer.Waiting = false;
    return advanceCommit(Now);
  }
  // A rejection at or below a synced record is old.
  if (Body.Rejected <= Peer.Match || Body.Rejected >= Peer.Next)
    return;
  Peer.Next = std::max(Peer.Match, std::min(Body.Match, Body.Rejected - 1)) + 1;
  Peer.Probing = true;
  Peer.Waiting = false;
}

auto raft_node::advanceCommit(time_point Now) -> void {
  std::vector<log_index> Synced;
  for (const auto &Member : Log.members().Members) {
    if (!Member.Voter)
      continue;
    const auto Peer = Peers.find(Member.Id);
    if (Member.Id == Id)
      Synced.push_back(Durable);
    else
      Synced.push_back(Peer == Peers.end() ? 0 : Peer->second.Match);
  }
  if (Synced.empty())
    return;
  std::sort(Synced.begin(), Synced.end(), std::greater<>());
  const auto Candidate = Synced[Synced.size() / 2];
  // A majority that stores a record of an earlier term does not commit it: a
  // later leader without the record may still be elected.
  if (Candidate <= Commit || Candidate < TermStart)
    return;
  Commit = Candidate;
  if (membersCommitted() && Log.members().find(Id) == nullptr)
    becomeFollower(State.Term, replica_id::none, Now);
}

auto raft_node::sendAppends(time_point Now) -> void {
  const auto HeartbeatNow = Now >= HeartbeatDue;
  if (HeartbeatNow)
    HeartbeatDue = Now + Timing.Heartbeat;
  for (auto &[To, Peer] : Peers) {
    // A lost probe or snapshot piece is sent again with the next heartbeat.
    if (HeartbeatNow)
      Peer.Waiting = false;
    const auto Sent = Outbox.size();
    replicateTo(To, Peer, Now);
    if (HeartbeatNow && Outbox.size() == Sent)
      sendAppend(To, Peer, Now);
  }
}

/// \return whether \p Peer has been silent for so long that it gets heartbeats
/// only: records and snapshot pieces would load the network without use.
auto raft_node::silent(const peer &Peer, time_point Now) const -> bool {
  return std::max(Peer.AnsweredAt, LeaderSince) <= Now - Timing.ElectionMin;
}

/// Sends what \p To lacks, as far as its window allows.
auto raft_node::replicateTo(replica_id To, peer &Peer, time_point Now) -> void {
  if (silent(Peer, Now))
    return Peer.Sending.reset();
  if (Peer.Sending || !Log.termAt(Peer.Next - 1)) {
    if (!Peer.Waiting)
      sendChunk(To, Peer, Now);
    return;
  }
  const auto Limit = Peer.Match + Limits.Window;
  while (!Peer.Waiting && Peer.Next <= Log.last().Index && Peer.Next <= Limit)
    sendAppend(To, Peer, Now);
}

auto raft_node::sendAppend(replica_id To, peer &Peer, time_point Now) -> void {
  const auto Known = Log.termAt(Peer.Next - 1).has_value();
  const auto Previous = Known ? Peer.Next - 1 : Log.base().Index;
  append_request Body;
  Body.Term = State.Term;
  Body.Previous = {Previous, Log.termAt(Previous).value_or(0)};
  Body.Commit = Commit;
  Body.SentAt = wireTime(Now);
  const auto Last = std::min(Log.last().Index, Peer.Match + Limits.Window);
  if (!silent(Peer, Now))
    Body.Records = Log.slice(Peer.Next, Last, Limits.AppendBytes);
  if (Peer.Probing)
    Peer.Waiting = true;
  else
    Peer.Next += Body.Records.size();
  send(To, std::move(Body));
}

} // namespace acacianotch
