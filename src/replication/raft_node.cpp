/// \file Inputs, effects and durability of the Raft state machine.
#include "replication/raft_node.h"

#include "replication/codec.h"

#include <algorithm>
#include <utility>

namespace acacianotch {

auto raft_node::create(const raft_options &Options, durable_state Durable)
    -> result<raft_node> {
  if (Options.Id == replica_id::none)
    return failure::of(errc::bad_settings, "the replica has no identity");
  if (Options.Timing.Lease >= Options.Timing.ElectionMin ||
      Options.Timing.ElectionMin >= Options.Timing.ElectionMax)
    return failure::of(errc::bad_settings,
                       "lease, least and largest election timeout must ascend");
  auto View = log_view::create(std::move(Durable.BaseSnapshot),
                               std::move(Durable.Records));
  if (!View)
    return View.error();
  raft_node Node(Options, Durable.State, std::move(*View));
  if (Durable.LogOutdated)
    Node.rewriteSnapshotAndLog();
  return Node;
}

// After a restart, the replica does not know when it last replied to a leader,
// and the leader's lease may still rely on that reply. LastLeaderContact
// therefore starts at the current time, so that the replica grants no vote
// before the minimum election timeout has elapsed.
raft_node::raft_node(const raft_options &Options, term_state Stored,
                     log_view View)
    : Id(Options.Id), Timing(Options.Timing), Limits(Options.Limits),
      Random(Options.Seed), Log(std::move(View)), State(Stored),
      LastLeaderContact(Options.Start) {
  CommitIndex = Log.baseSnapshot().Index;
  RestoreDue = CommitIndex != 0;
  DurableIndex = Log.last().Index;
  resetElectionTimer(Options.Start);
}

// Its peers may have been held up as well, and may run again a little later, so
// they get the time that a sound leader has in any case.
auto raft_node::resume(time_point Now) -> void {
  ReadUntil = Now + Timing.ElectionMin;
  resetElectionTimer(Now);
}

auto raft_node::tick(time_point Now) -> void {
  if (Failed || Now < ReadUntil)
    return;
  if (Role == raft_role::leader) {
    const auto LastContact =
        std::max(majorityAckedSendTime(Log.members()), LeaderSince);
    if (LastContact <= Now - Timing.ElectionMax)
      becomeFollower(State.Term, replica_id::none, Now);
    return;
  }
  if (Now >= ElectionDeadline)
    startPreVote(Now);
}

auto raft_node::receive(const envelope &Envelope, time_point Now) -> void {
  if (Failed || Envelope.To != Id || Envelope.From == Id ||
      Envelope.From == replica_id::none)
    return;
  std::visit([&](const auto &Body) { handle(Envelope.From, Body, Now); },
             Envelope.Body);
}

auto raft_node::propose(std::string Command, time_point Now)
    -> result<log_position> {
  if (auto Outcome = checkLeadership(Now); !Outcome)
    return Outcome.error();
  if (Log.last().Index - CommitIndex >= Limits.MaxUncommitted)
    return failure::of(errc::overloaded, "too many uncommitted log records");
  return addRecord(record_kind::command, std::move(Command));
}

auto raft_node::addRecord(record_kind Kind, std::string Payload)
    -> log_position {
  log_record Record{Log.last().Index + 1, State.Term, Kind, std::move(Payload)};
  const log_position Position{Record.Index, Record.Term};
  Write.Records.push_back(Record);
  const auto Outcome = Log.append(std::move(Record));
  assert(Outcome.ok());
  (void)Outcome;
  return Position;
}

auto raft_node::writeState() -> void {
  Write.State = State;
  StateSequence = WriteSequence;
}

/// Makes the collected batch replace the snapshot and the log file by the
/// content of the in-memory log.
auto raft_node::rewriteSnapshotAndLog() -> void {
  writeState();
  Write.BaseSnapshot = Log.baseSnapshot();
  const auto Last = Log.last().Index;
  Write.Records.clear();
  for (auto Index = Log.baseSnapshot().Index + 1; Index <= Last; ++Index)
    Write.Records.push_back(Log.at(Index));
}

auto raft_node::stateDurable() const -> bool {
  return SyncedSequence >= StateSequence;
}

auto raft_node::send(replica_id To, message Body) -> void {
  Outbox.push_back({Id, To, std::move(Body)});
}

/// Sends \p Body once the current term and vote are durable. A message to this
/// replica itself is its own vote, which is counted at that time.
auto raft_node::sendAfterSync(replica_id To, message Body) -> void {
  Deferred.push_back({StateSequence, {Id, To, std::move(Body)}});
}

auto raft_node::releaseDeferred(time_point Now) -> void {
  std::vector<deferred_message> Ready;
  const auto Split = std::stable_partition(
      Deferred.begin(), Deferred.end(),
      [&](const auto &Message) { return Message.Sequence > SyncedSequence; });
  std::move(Split, Deferred.end(), std::back_inserter(Ready));
  Deferred.erase(Split, Deferred.end());
  for (auto &Message : Ready) {
    if (Message.Envelope.To == Id)
      countVote(Id, Now);
    else
      Outbox.push_back(std::move(Message.Envelope));
  }
}

auto raft_node::synced(std::uint64_t Sequence, time_point Now) -> void {
  if (Failed)
    return;
  while (!Pending.empty() && Pending.front().Sequence <= Sequence) {
    SyncedSequence = Pending.front().Sequence;
    DurableIndex = std::max(DurableIndex, Pending.front().Last);
    Pending.pop_front();
  }
  releaseDeferred(Now);
  if (Role == raft_role::leader)
    return advanceCommit(Now);
  if (LateReplyDue && Leader != replica_id::none && stateDurable()) {
    send(Leader, acceptedReply(0));
    LateReplyDue = DurableIndex < VerifiedIndex;
  }
}

auto raft_node::storageFailed(time_point Now) -> void {
  becomeFollower(State.Term, replica_id::none, Now);
  Failed = true;
  Deferred.clear();
  Outbox.clear();
  Write = {};
}

auto raft_node::compact(log_index Index, std::string Data) -> result<void> {
  if (Failed)
    return failure::of(errc::storage_failed, "the replica's disk has failed");
  if (Index > std::min(AppliedIndex, DurableIndex) ||
      Index <= Log.baseSnapshot().Index)
    return failure::of(errc::bad_request,
                       "snapshot index " + std::to_string(Index) +
                           " is not both applied and newer than the last one");
  Log.compact(Index, std::make_shared<const std::string>(std::move(Data)),
              Limits.TrailingRecords, Limits.TrailingBytes);
  rewriteSnapshotAndLog();
  return {};
}

auto raft_node::takeWrite() -> write_batch {
  if (!Write.State && !Write.BaseSnapshot && Write.Records.empty())
    return {};
  auto Batch = std::exchange(Write, {});
  Batch.Sequence = WriteSequence++;
  Pending.push_back({Batch.Sequence, Log.last().Index});
  return Batch;
}

auto raft_node::takeCommitted(raft_effects &Effects) -> void {
  if (std::exchange(RestoreDue, false)) {
    Effects.Restore = Log.baseSnapshot();
    AppliedIndex = Log.baseSnapshot().Index;
  }
  for (; AppliedIndex < CommitIndex; ++AppliedIndex)
    Effects.Committed.push_back(Log.at(AppliedIndex + 1));
}

auto raft_node::takeEffects(time_point Now) -> raft_effects {
  raft_effects Effects;
  if (Failed)
    return Effects;
  if (Role == raft_role::leader)
    sendAppends(Now);
  Effects.Messages = std::exchange(Outbox, {});
  Effects.Write = takeWrite();
  takeCommitted(Effects);
  return Effects;
}

auto raft_node::leaseHeld(time_point Now) const -> bool {
  return Role == raft_role::leader && !Failed &&
         majorityAckedSendTime(Log.members()) > Now - Timing.Lease;
}

auto raft_node::confirmedIndex(time_point Now) const -> result<log_index> {
  if (auto Outcome = checkLeadership(Now); !Outcome)
    return Outcome.error();
  if (CommitIndex < TermStart)
    return failure::of(errc::not_ready,
                       "the leader has committed no record in its term");
  return CommitIndex;
}

auto raft_node::nextDeadline() const -> time_point {
  if (Failed)
    return time_point::max();
  return Role == raft_role::leader ? HeartbeatDue : ElectionDeadline;
}

} // namespace acacianotch
