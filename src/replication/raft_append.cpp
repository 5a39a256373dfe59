/// \file Log replication: append requests, replies and the commit index.
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

/// Follows \p From as the leader of \p Term, unless the term is outdated.
/// \return whether the message from \p From must be handled further.
auto raft_node::followLeader(replica_id From, log_term Term, time_point Now)
    -> bool {
  if (Term < State.Term) {
    send(From, append_reply{State.Term, false, 0, 0, 0});
    return false;
  }
  // Only a faulty peer claims to be the leader of a term that this replica
  // leads.
  if (Term == State.Term && Role == raft_role::leader)
    return false;
  if (Term > State.Term || Role != raft_role::follower || Leader != From)
    becomeFollower(Term, From, Now);
  LastLeaderContact = Now;
  resetElectionTimer(Now);
  return true;
}

auto raft_node::rejectAppend(replica_id From, const append_request &Body)
    -> void {
  // Skipping all records of the conflicting term saves one round trip per
  // record. Committed records cannot conflict.
  const auto Term = Log.termAt(Body.Previous.Index);
  auto RetryIndex = std::min(Log.last().Index, Body.Previous.Index - 1);
  while (Term && RetryIndex > CommitIndex && Log.termAt(RetryIndex) == Term)
    --RetryIndex;
  send(From, append_reply{State.Term, false, RetryIndex, Body.Previous.Index,
                          Body.SentAt});
}

/// Appends the records that the log lacks and replaces conflicting ones.
/// \return false if a record conflicts with a committed one or is malformed;
/// a correct leader sends no such record.
auto raft_node::storeRecords(const append_request &Body) -> bool {
  for (const auto &Record : Body.Records) {
    if (Record.Index <= Log.last().Index) {
      if (Record.Index < Log.firstIndex() ||
          Log.termAt(Record.Index) == Record.Term)
        continue;
      if (Record.Index <= CommitIndex)
        return false;
      Log.truncate(Record.Index);
      DurableIndex = std::min(DurableIndex, Record.Index - 1);
      for (auto &Batch : Pending)
        Batch.Last = std::min(Batch.Last, Record.Index - 1);
    }
    if (!Log.append(Record))
      return false;
    Write.Records.push_back(Record);
  }
  return true;
}

/// Reports synced records only, because the leader counts them towards the
/// majority.
auto raft_node::acceptedReply(std::uint64_t SentAt) const -> append_reply {
  return {State.Term, true, std::min(VerifiedIndex, DurableIndex), 0, SentAt};
}

auto raft_node::handle(replica_id From, const append_request &Body,
                       time_point Now) -> void {
  if (!followLeader(From, Body.Term, Now))
    return;
  const auto Previous = Body.Previous;
  const auto LocalTerm = Log.termAt(Previous.Index);
  const auto Covered = Previous.Index < Log.firstIndex() - 1;
  if (!Covered && LocalTerm != Previous.Term) {
    if (stateDurable())
      rejectAppend(From, Body);
    return;
  }
  if (!storeRecords(Body))
    return;
  // All records covered by the snapshot are committed and match the log of any
  // leader.
  const auto Last =
      std::max(Previous.Index + Body.Records.size(), Log.baseSnapshot().Index);
  VerifiedIndex = std::max(VerifiedIndex, Last);
  CommitIndex =
      std::max(CommitIndex, std::min(Body.CommitIndex, VerifiedIndex));
  LateReplyDue = DurableIndex < VerifiedIndex || !stateDurable();
  if (stateDurable())
    send(From, acceptedReply(Body.SentAt));
}

/// Records for the leader lease that \p Peer has replied to a message sent at
/// \p SentAt.
auto raft_node::recordReply(peer_progress &Peer, std::uint64_t SentAt,
                            time_point Now) -> void {
  if (SentAt < wireTime(LeaderSince) || SentAt > wireTime(Now))
    return;
  const auto Sent = time_point(duration(static_cast<std::int64_t>(SentAt)));
  Peer.AckedSendTime = std::max(Peer.AckedSendTime, Sent);
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
  recordReply(Peer, Body.SentAt, Now);
  if (Body.Accepted) {
    Peer.Match = std::max(Peer.Match, Body.Match);
    Peer.Next = std::max(Peer.Next, Peer.Match + 1);
    if (Peer.SnapshotInTransfer && Peer.Match >= Peer.SnapshotInTransfer->Index)
      Peer.SnapshotInTransfer.reset();
    if (!Peer.SnapshotInTransfer)
      Peer.Probing = Peer.AwaitingReply = false;
    return advanceCommit(Now);
  }
  // Ignore outdated rejections: those of a record known to match, and those
  // sent before Next was lowered.
  if (Body.Rejected <= Peer.Match || Body.Rejected >= Peer.Next)
    return;
  Peer.Next = std::max(Peer.Match, std::min(Body.Match, Body.Rejected - 1)) + 1;
  Peer.Probing = true;
  Peer.AwaitingReply = false;
}

auto raft_node::advanceCommit(time_point Now) -> void {
  std::vector<log_index> Synced;
  for (const auto &Member : Log.members().Members) {
    if (!Member.Voter)
      continue;
    const auto Peer = Peers.find(Member.Id);
    if (Member.Id == Id)
      Synced.push_back(DurableIndex);
    else
      Synced.push_back(Peer == Peers.end() ? 0 : Peer->second.Match);
  }
  if (Synced.empty())
    return;
  std::sort(Synced.begin(), Synced.end(), std::greater<>());
  const auto MajorityIndex = Synced[Synced.size() / 2];
  // A record of an earlier term is not committed by its presence on a majority:
  // a replica without it may still be elected leader.
  if (MajorityIndex <= CommitIndex || MajorityIndex < TermStart)
    return;
  CommitIndex = MajorityIndex;
  if (membersCommitted() && Log.members().find(Id) == nullptr)
    becomeFollower(State.Term, replica_id::none, Now);
}

auto raft_node::sendAppends(time_point Now) -> void {
  const auto HeartbeatIsDue = Now >= HeartbeatDue;
  if (HeartbeatIsDue)
    HeartbeatDue = Now + Timing.Heartbeat;
  for (auto &[To, Peer] : Peers) {
    // Resend a lost probe or snapshot chunk with the next heartbeat.
    if (HeartbeatIsDue)
      Peer.AwaitingReply = false;
    const auto OutboxSize = Outbox.size();
    replicateTo(To, Peer, Now);
    if (HeartbeatIsDue && Outbox.size() == OutboxSize)
      sendAppend(To, Peer, Now);
  }
}

/// \return whether \p Peer has not replied for the minimum election timeout. It
/// is sent heartbeats only, because records and snapshot chunks would waste
/// bandwidth.
auto raft_node::isUnresponsive(const peer_progress &Peer, time_point Now) const
    -> bool {
  return std::max(Peer.AckedSendTime, LeaderSince) <= Now - Timing.ElectionMin;
}

/// Sends records or a snapshot chunk that \p To lacks, within its window.
auto raft_node::replicateTo(replica_id To, peer_progress &Peer, time_point Now)
    -> void {
  if (isUnresponsive(Peer, Now))
    return Peer.SnapshotInTransfer.reset();
  if (Peer.SnapshotInTransfer || !Log.termAt(Peer.Next - 1)) {
    if (!Peer.AwaitingReply)
      sendChunk(To, Peer, Now);
    return;
  }
  const auto Limit = Peer.Match + Limits.Window;
  while (!Peer.AwaitingReply && Peer.Next <= Log.last().Index &&
         Peer.Next <= Limit)
    sendAppend(To, Peer, Now);
}

auto raft_node::sendAppend(replica_id To, peer_progress &Peer, time_point Now)
    -> void {
  const auto Known = Log.termAt(Peer.Next - 1).has_value();
  const auto Previous = Known ? Peer.Next - 1 : Log.baseSnapshot().Index;
  append_request Body;
  Body.Term = State.Term;
  Body.Previous = {Previous, Log.termAt(Previous).value_or(0)};
  Body.CommitIndex = CommitIndex;
  Body.SentAt = wireTime(Now);
  const auto Last = std::min(Log.last().Index, Peer.Match + Limits.Window);
  if (!isUnresponsive(Peer, Now))
    Body.Records = Log.slice(Peer.Next, Last, Limits.AppendBytes);
  if (Peer.Probing)
    Peer.AwaitingReply = true;
  else
    Peer.Next += Body.Records.size();
  send(To, std::move(Body));
}

} // namespace acacianotch
