/// \file Inputs, effects and durability of the consensus core.
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
  auto View =
      log_view::create(std::move(Durable.Base), std::move(Durable.Records));
  if (!View)
    return View.error();
  raft_node Node(Options, Durable.State, std::move(*View));
  if (Durable.Outdated)
    Node.writeBase();
  return Node;
}

// A replica that restarts has forgotten when it last answered a leader, whose
// lease may still count that answer. LeaderContact starts at the current time,
// so it gives no vote before the least election timeout has passed.
raft_node::raft_node(const raft_options &Options, term_state Stored,
                     log_view View)
    : Id(Options.Id), Timing(Options.Timing), Limits(Options.Limits),
      Random(Options.Seed), Log(std::move(View)), State(Stored),
      LeaderContact(Options.Start) {
  Commit = Log.base().Index;
  RestoreDue = Commit != 0;
  Durable = Log.last().Index;
  resetElectionTimer(Options.Start);
}

auto raft_node::tick(time_point Now) -> void {
  if (Failed)
    return;
  if (Role == raft_role::leader) {
    const auto Heard = std::max(majorityAnswered(Log.members()), LeaderSince);
    if (Heard <= Now - Timing.ElectionMax)
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
  if (auto Outcome = checkLeading(Now); !Outcome)
    return Outcome.error();
  if (Log.last().Index - Commit >= Limits.Uncommitted)
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

/// Makes the collected batch replace the log file by the log in memory.
auto raft_node::writeBase() -> void {
  writeState();
  Write.Base = Log.base();
  const auto Last = Log.last().Index;
  Write.Records.clear();
  for (auto Index = Log.base().Index + 1; Index <= Last; ++Index)
    Write.Records.push_back(Log.at(Index));
}

auto raft_node::stateDurable() const -> bool {
  return SyncedSequence >= StateSequence;
}

auto raft_node::send(replica_id To, message Body) -> void {
  Outbox.push_back({Id, To, std::move(Body)});
}

/// Sends \p Body once everything collected so far is durable. A message to
/// this replica itself is handled at that time.
auto raft_node::sendAfterSync(replica_id To, message Body) -> void {
  Held.push_back({StateSequence, {Id, To, std::move(Body)}});
}

auto raft_node::releaseHeld(time_point Now) -> void {
  std::vector<held_message> Due;
  const auto Split =
      std::stable_partition(Held.begin(), Held.end(), [&](const auto &Row) {
        return Row.Sequence > SyncedSequence;
      });
  std::move(Split, Held.end(), std::back_inserter(Due));
  Held.erase(Split, Held.end());
  for (auto &Row : Due) {
    if (Row.Envelope.To == Id)
      countVote(Id, Now);
    else
      Outbox.push_back(std::move(Row.Envelope));
  }
}

auto raft_node::synced(std::uint64_t Sequence, time_point Now) -> void {
  if (Failed)
    return;
  while (!Pending.empty() && Pending.front().Sequence <= Sequence) {
    SyncedSequence = Pending.front().Sequence;
    Durable = std::max(Durable, Pending.front().Last);
    Pending.pop_front();
  }
  releaseHeld(Now);
  if (Role == raft_role::leader)
    return advanceCommit(Now);
  if (ReportDue && Leader != replica_id::none && stateDurable()) {
    send(Leader, acceptedReply(0));
    ReportDue = Durable < Verified;
  }
}

auto raft_node::storageFailed(time_point Now) -> void {
  becomeFollower(State.Term, replica_id::none, Now);
  Failed = true;
  Held.clear();
  Outbox.clear();
  Write = {};
}

auto raft_node::compact(log_index Index, std::string Data) -> result<void> {
  if (Failed)
    return failure::of(errc::storage_failed, "the replica's disk has failed");
  if (Index > std::min(Applied, Durable) || Index <= Log.base().Index)
    return failure::of(errc::bad_request,
                       "snapshot index " + std::to_string(Index) +
                           " is not both applied and newer than the last one");
  Log.compact(Index, std::make_shared<const std::string>(std::move(Data)),
              Limits.Trailing);
  writeBase();
  return {};
}

auto raft_node::takeWrite() -> write_batch {
  if (!Write.State && !Write.Base && Write.Records.empty())
    return {};
  auto Batch = std::exchange(Write, {});
  Batch.Sequence = WriteSequence++;
  Pending.push_back({Batch.Sequence, Log.last().Index});
  return Batch;
}

auto raft_node::takeCommitted(raft_effects &Effects) -> void {
  if (std::exchange(RestoreDue, false)) {
    Effects.Restore = Log.base();
    Applied = Log.base().Index;
  }
  for (; Applied < Commit; ++Applied)
    Effects.Committed.push_back(Log.at(Applied + 1));
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
         majorityAnswered(Log.members()) > Now - Timing.Lease;
}

auto raft_node::confirmedIndex(time_point Now) const -> result<log_index> {
  if (auto Outcome = checkLeading(Now); !Outcome)
    return Outcome.error();
  if (Commit < TermStart)
    return failure::of(errc::not_ready,
                       "the leader has committed no record in its term");
  return Commit;
}

auto raft_node::nextDeadline() const -> time_point {
  if (Failed)
    return time_point::max();
  return Role == raft_role::leader ? HeartbeatDue : ElectionDeadline;
}

} // namespace acacianotch
