/// \file Tests of the Raft state machine.
#include "core/random_type.h"
#include "replication/codec.h"
#include "replication/raft_node.h"
#include "replication_fixture.h"

#include <algorithm>
#include <chrono>
#include <doctest/doctest.h>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace std::chrono_literals;

namespace acacianotch::test {

namespace {

/// Replicas with a network that delivers messages immediately and disks that
/// sync immediately, unless a link or a disk is blocked.
class synchronous_group {
public:
  explicit synchronous_group(std::uint64_t Voters) {
    for (std::uint64_t Id = 1; Id <= Voters; ++Id)
      add(Id, {{}, {0, 0, group(Voters)}, {}});
  }

  auto add(std::uint64_t Id, durable_state State) -> void {
    raft_options Options{replica_id{Id}, Now, Id, {}, {}};
    Options.Limits.TrailingRecords = 0;
    Options.Limits.ChunkBytes = 4;
    auto Node = raft_node::create(Options, std::move(State));
    REQUIRE(Node.ok());
    Nodes.insert_or_assign(Id, std::move(*Node));
  }

  auto at(std::uint64_t Id) -> raft_node & { return Nodes.at(Id); }

  /// Executes effects and delivers messages until there are none.
  auto deliverAll() -> void {
    for (auto Busy = true; Busy;) {
      Busy = false;
      for (auto &[Id, Node] : Nodes)
        Busy = processEffects(Id, Node) || Busy;
    }
  }

  auto run(duration Length) -> void {
    for (const auto End = Now + Length; Now < End; Now += 10ms) {
      for (auto &[Id, Node] : Nodes)
        Node.tick(Now);
      deliverAll();
    }
  }

  /// Runs until a replica can confirm an index as leader. \return its id.
  auto elect() -> std::uint64_t {
    for (auto Round = 0; Round < 500; ++Round) {
      run(10ms);
      for (const auto &[Id, Node] : Nodes)
        if (Node.confirmedIndex(Now).ok())
          return Id;
    }
    FAIL("no leader");
    return 0;
  }

  auto processEffects(std::uint64_t Id, raft_node &Node) -> bool {
    auto Effects = Node.takeEffects(Now);
    if (Effects.Restore)
      Restored[Id] = *Effects.Restore;
    for (auto &Record : Effects.Committed)
      Committed[Id].push_back(std::move(Record));
    if (Effects.Write.Sequence != 0 && !SyncBlocked[Id])
      Node.synced(Effects.Write.Sequence, Now);
    for (const auto &Envelope : Effects.Messages) {
      const auto To = static_cast<std::uint64_t>(Envelope.To);
      const auto Found = Nodes.find(To);
      if (BlockedLinks[{Id, To}])
        UndeliveredBytes += encodeEnvelope(Envelope).size();
      else if (Found != Nodes.end())
        Found->second.receive(Envelope, Now);
    }
    return !Effects.Messages.empty() || Effects.Write.Sequence != 0;
  }

  auto isolate(std::uint64_t Id, bool On) -> void {
    for (const auto &[Other, Node] : Nodes)
      BlockedLinks[{Id, Other}] = BlockedLinks[{Other, Id}] = On;
  }

  time_point Now{1s};
  std::map<std::uint64_t, raft_node> Nodes;
  /// Replicas whose syncs never complete.
  std::map<std::uint64_t, bool> SyncBlocked;
  std::map<std::pair<std::uint64_t, std::uint64_t>, bool> BlockedLinks;
  std::map<std::uint64_t, std::vector<log_record>> Committed;
  std::map<std::uint64_t, snapshot> Restored;
  std::size_t UndeliveredBytes = 0; ///< Bytes sent to blocked links.
};

auto wireTime(time_point Time) -> std::uint64_t {
  return static_cast<std::uint64_t>(Time.time_since_epoch().count());
}

} // namespace

// Guards against appending records to a log file that still contains records
// covered by the snapshot: the next recovery would drop or reject them.
TEST_CASE("a node first replaces an outdated log file") {
  const auto Base = encodeSnapshot({2, 3, group(3)});
  auto Durable = recover(Base, {encodeFrame(command(1, 1))});
  REQUIRE(Durable.ok());
  raft_options Options;
  Options.Id = replica_id{1};
  auto Node = raft_node::create(Options, std::move(*Durable));
  REQUIRE(Node.ok());
  const auto Write = Node->takeEffects(Options.Start).Write;
  REQUIRE(Write.BaseSnapshot.has_value());
  CHECK(Write.BaseSnapshot->Index == 2);
  CHECK(Write.State.has_value());
  CHECK(Write.Records.empty());
}

// Guards against the participation of a replica that has lost its identity.
TEST_CASE("a replica without an identity does not start") {
  const auto Node = raft_node::create({}, {});
  REQUIRE_FALSE(Node.ok());
  CHECK(Node.error().Code == errc::bad_settings);
}

// Guards against committing a record before a majority has synced it.
TEST_CASE("a record commits only when a majority has synced it") {
  synchronous_group Group(3);
  const auto Leader = Group.elect();
  for (std::uint64_t Id = 1; Id <= 3; ++Id)
    Group.SyncBlocked[Id] = Id != Leader;
  const auto Before = Group.at(Leader).commitIndex();
  REQUIRE(Group.at(Leader).propose("change", Group.Now).ok());
  Group.run(500ms);
  CHECK(Group.at(Leader).commitIndex() == Before);
  CHECK(Group.at(Leader).leaseHeld(Group.Now));
}

// Guards against a leader that counts its own copy of a record before it is
// synced.
TEST_CASE("a leader counts its own record only when synced") {
  synchronous_group Group(3);
  const auto Leader = Group.elect();
  const auto Other = Leader % 3 + 1;
  Group.SyncBlocked[Leader] = true;
  Group.isolate(Other, true);
  const auto Before = Group.at(Leader).commitIndex();
  REQUIRE(Group.at(Leader).propose("change", Group.Now).ok());
  Group.run(200ms);
  CHECK(Group.at(Leader).commitIndex() == Before);
  Group.isolate(Other, false);
  Group.run(200ms);
  CHECK(Group.at(Leader).commitIndex() == Before + 1);
}

// Guards against a paused or partitioned leader that continues to acknowledge.
TEST_CASE("a leader without replies loses its lease and steps down") {
  synchronous_group Group(3);
  const auto Leader = Group.elect();
  Group.isolate(Leader, true);
  CHECK(Group.at(Leader).leaseHeld(Group.Now));
  const auto IsolatedAt = Group.Now;
  Group.run(200ms);
  CHECK_FALSE(Group.at(Leader).leaseHeld(Group.Now));
  CHECK_FALSE(Group.at(Leader).confirmedIndex(Group.Now).ok());
  const auto Rejected = Group.at(Leader).propose("change", Group.Now);
  REQUIRE_FALSE(Rejected.ok());
  CHECK(Rejected.error().Verdict == verdict::not_run);
  Group.run(IsolatedAt + 700ms - Group.Now);
  CHECK(Group.at(Leader).role() != raft_role::leader);
}

// Guards against extending the lease from the arrival of a reply: the follower
// withholds its vote only for a time after it has received the heartbeat.
TEST_CASE("the lease counts from the send time of the heartbeat") {
  synchronous_group Group(3);
  const auto Leader = Group.elect();
  const auto Sent = Group.Now;
  auto &Node = Group.at(Leader);
  Group.isolate(Leader, true);
  Group.run(150ms);
  const append_reply Late{Node.term(), true, 0, 0, wireTime(Sent)};
  Node.receive({replica_id{Leader % 3 + 1}, replica_id{Leader}, Late},
               Group.Now);
  CHECK(Node.leaseHeld(Sent + 199ms));
  CHECK_FALSE(Node.leaseHeld(Sent + 200ms));
}

// Guards against a replica that grants a vote right after a restart, although
// the lease of a leader may still rely on its reply from before the restart.
TEST_CASE("a restarted replica grants no vote within the election timeout") {
  synchronous_group Group(3);
  auto &Node = Group.at(1);
  const vote_request Request{1, false, {0, 0}};
  Node.receive({replica_id{2}, replica_id{1}, Request}, Group.Now + 299ms);
  CHECK(Node.term() == 0);
  Node.receive({replica_id{2}, replica_id{1}, Request}, Group.Now + 300ms);
  CHECK(Node.term() == 1);
}

// Guards against sending a vote before it is durable: after a crash, the
// replica could vote again in the same term.
TEST_CASE("a vote is sent only after its sync") {
  synchronous_group Group(3);
  auto &Node = Group.at(1);
  const auto Later = Group.Now + 400ms;
  const vote_request Request{1, false, {0, 0}};
  Node.receive({replica_id{2}, replica_id{1}, Request}, Later);
  const auto Effects = Node.takeEffects(Later);
  CHECK(Effects.Messages.empty());
  REQUIRE(Effects.Write.State.has_value());
  CHECK(*Effects.Write.State == term_state{1, replica_id{2}});
  Node.synced(Effects.Write.Sequence, Later);
  const auto Sent = Node.takeEffects(Later).Messages;
  REQUIRE(Sent.size() == 1);
  CHECK(std::get<vote_reply>(Sent[0].Body) == vote_reply{1, false, true});
  Node.receive({replica_id{3}, replica_id{1}, Request}, Later);
  const auto Second = Node.takeEffects(Later).Messages;
  REQUIRE(Second.size() == 1);
  CHECK_FALSE(std::get<vote_reply>(Second[0].Body).Granted);
}

// Guards against a replica that returns from a network partition and deposes a
// working leader.
TEST_CASE("a returning replica does not raise the term") {
  synchronous_group Group(3);
  const auto Leader = Group.elect();
  const auto Other = Leader % 3 + 1;
  const auto Term = Group.at(Leader).term();
  Group.isolate(Other, true);
  Group.run(3s);
  Group.isolate(Other, false);
  Group.run(1s);
  CHECK(Group.at(Leader).role() == raft_role::leader);
  CHECK(Group.at(Leader).term() == Term);
}

// Guards against committing a record of an earlier term because a majority
// stores it: a replica without it can still be elected and replace it.
TEST_CASE("a record of an earlier term commits only with a later one") {
  synchronous_group Group(3);
  durable_state State{{2, replica_id::none}, {0, 0, group(3)}, {}};
  State.Records = {command(1, 1), command(2, 2)};
  Group.add(1, State);
  auto &Node = Group.at(1);
  const auto From = [&](message Body) {
    Node.receive({replica_id{2}, replica_id{1}, std::move(Body)}, Group.Now);
    const auto Sequence = Node.takeEffects(Group.Now).Write.Sequence;
    Node.synced(Sequence, Group.Now);
  };
  Group.Now += 700ms;
  Node.tick(Group.Now);
  From(vote_reply{3, true, true});
  From(vote_reply{3, false, true});
  REQUIRE(Node.role() == raft_role::leader);
  From(append_reply{3, true, 2, 0, wireTime(Group.Now)});
  CHECK(Node.commitIndex() == 0);
  REQUIRE(Node.leaseHeld(Group.Now));
  CHECK(Node.confirmedIndex(Group.Now).error().Code == errc::not_ready);
  CHECK(Node.addLearner(replica_id{4}, "vm", Group.Now).error().Code ==
        errc::not_ready);
  From(append_reply{3, true, 3, 0, 0});
  CHECK(Node.commitIndex() == 3);
}

// Guards against a follower that reports a new record as synced because the
// record that it replaced was synced, and against committing records that were
// verified only in an earlier term of the same leader.
TEST_CASE("a follower does not report replaced records as synced") {
  synchronous_group Group(3);
  auto &Node = Group.at(2);
  const auto Receive = [&](const append_request &Body) {
    Node.receive({replica_id{1}, replica_id{2}, Body}, Group.Now);
    return Node.takeEffects(Group.Now);
  };
  const auto Match = [](const raft_effects &Effects) {
    REQUIRE(Effects.Messages.size() == 1);
    return std::get<append_reply>(Effects.Messages[0].Body).Match;
  };
  const auto First =
      Receive({1, {0, 0}, 0, 5, {command(1, 1), command(2, 1), command(3, 1)}});
  Node.synced(First.Write.Sequence, Group.Now);
  CHECK(Match(Node.takeEffects(Group.Now)) == 3);
  const auto NewTerm = Receive({3, {1, 1}, 3, 6, {}});
  CHECK(Node.commitIndex() == 1);
  Node.synced(NewTerm.Write.Sequence, Group.Now);
  CHECK(Match(Node.takeEffects(Group.Now)) == 1);
  const auto Replaced = Receive({3, {1, 1}, 1, 7, {command(2, 3)}});
  CHECK(Match(Replaced) == 1);
  Node.synced(Replaced.Write.Sequence, Group.Now);
  CHECK(Match(Node.takeEffects(Group.Now)) == 2);
}

// Guards against acknowledging records that a failed disk has lost.
TEST_CASE("a replica stops acknowledging after a storage error") {
  synchronous_group Group(3);
  const auto Leader = Group.elect();
  Group.at(Leader).storageFailed(Group.Now);
  CHECK_FALSE(Group.at(Leader).leaseHeld(Group.Now));
  CHECK(Group.at(Leader).propose("x", Group.Now).error().Code ==
        errc::storage_failed);
  const auto Next = Group.elect();
  CHECK(Next != Leader);
  CHECK(Group.at(Leader).takeEffects(Group.Now).Messages.empty());
  CHECK(Group.at(Leader).nextDeadline() == time_point::max());
}

// Guards against a replica that never catches up because the leader no longer
// has the records that it needs, and against wrongly assembled chunks.
TEST_CASE("a replica far behind receives the snapshot in chunks") {
  synchronous_group Group(3);
  const auto Leader = Group.elect();
  const auto Other = Leader % 3 + 1;
  Group.isolate(Other, true);
  for (auto Count = 0; Count < 20; ++Count)
    REQUIRE(Group.at(Leader).propose("change", Group.Now).ok());
  Group.run(100ms);
  const auto Index = Group.at(Leader).commitIndex();
  REQUIRE(Group.at(Leader).compact(Index, "a state of 24 bytes here").ok());
  CHECK_FALSE(Group.at(Leader).compact(Index, "again").ok());
  CHECK_FALSE(Group.at(Leader).compact(Index + 5, "future").ok());
  Group.isolate(Other, false);
  Group.run(300ms);
  CHECK(*Group.Restored[Other].Data == "a state of 24 bytes here");
  REQUIRE(Group.at(Leader).propose("after", Group.Now).ok());
  Group.run(100ms);
  REQUIRE_FALSE(Group.Committed[Other].empty());
  CHECK(Group.Committed[Other].back().Payload == "after");
  CHECK(Group.Committed[Other].back().Index == Index + 1);
}

// Guards against sending records or a snapshot chunk with each heartbeat to a
// replica that never replies.
TEST_CASE("an unreachable replica is sent heartbeats only") {
  synchronous_group Group(3);
  const auto Leader = Group.elect();
  auto &Node = Group.at(Leader);
  Group.BlockedLinks[{Leader, 4}] = true;
  Group.run(400ms);
  REQUIRE(Node.addLearner(replica_id{4}, "vm", Group.Now).ok());
  for (auto Count = 0; Count < 100; ++Count)
    REQUIRE(Node.propose(std::string(500, 'x'), Group.Now).ok());
  constexpr std::size_t HeartbeatBytes = 100;
  Group.run(1s);
  CHECK(Group.UndeliveredBytes > 0);
  CHECK(Group.UndeliveredBytes < 25 * HeartbeatBytes);
  const std::string Data(100'000, 's');
  REQUIRE(Node.compact(Node.commitIndex(), Data).ok());
  Group.run(1s);
  CHECK(Group.UndeliveredBytes < 50 * HeartbeatBytes);
}

// Guards against concurrent membership changes, reused ids, promotion of a
// learner that lacks records, and loss of the majority.
TEST_CASE("membership changes one replica at a time") {
  synchronous_group Group(3);
  const auto Leader = Group.elect();
  auto &Node = Group.at(Leader);
  const auto Lost = replica_id{Leader % 3 + 1};
  const auto Learner = replica_id{4};
  CHECK_FALSE(Node.addLearner(Lost, "vm", Group.Now).ok());
  REQUIRE(Node.addLearner(Learner, "vm", Group.Now).ok());
  CHECK(Node.remove(Lost, Group.Now).error().Code == errc::not_ready);
  Group.run(100ms);
  CHECK(Node.promote(Learner, Group.Now).error().Code == errc::not_ready);
  Group.add(4, {});
  Group.run(200ms);
  CHECK(Group.at(4).commitIndex() == Node.commitIndex());
  CHECK_FALSE(Group.at(4).members().isVoter(Learner));
  REQUIRE(Node.promote(Learner, Group.Now).ok());
  Group.run(100ms);
  REQUIRE(Node.remove(Lost, Group.Now).ok());
  Group.run(100ms);
  CHECK(Node.membersCommitted());
  CHECK(Node.members().voterCount() == 3);
  CHECK(Node.addLearner(Lost, "vm", Group.Now).error().Code ==
        errc::bad_request);
  Group.isolate(4, true);
  Group.run(300ms);
  const auto Third = 6 - Leader - static_cast<std::uint64_t>(Lost);
  CHECK(Node.remove(replica_id{Third}, Group.Now).error().Code ==
        errc::not_ready);
}

// Guards against a leader that continues to lead after its removal, and against
// a removed replica that disrupts the others.
TEST_CASE("a leader that removes itself steps down") {
  synchronous_group Group(3);
  const auto Leader = Group.elect();
  REQUIRE(Group.at(Leader).remove(replica_id{Leader}, Group.Now).ok());
  Group.run(100ms);
  CHECK(Group.at(Leader).role() == raft_role::follower);
  const auto Next = Group.elect();
  CHECK(Next != Leader);
  const auto Term = Group.at(Next).term();
  Group.run(2s);
  CHECK(Group.at(Next).term() == Term);
}

// Guards against misdirected, outdated and invalid messages.
TEST_CASE("unexpected messages are ignored") {
  synchronous_group Group(3);
  const auto Leader = Group.elect();
  auto &Node = Group.at(Leader);
  const auto Term = Node.term();
  const auto Commit = Node.commitIndex();
  const auto Receive = [&](std::uint64_t From, std::uint64_t To, message Body) {
    Node.receive({replica_id{From}, replica_id{To}, std::move(Body)},
                 Group.Now);
  };
  const auto Peer = Leader % 3 + 1;
  Receive(Peer, Leader, append_reply{Term, true, 999, 0, 0});
  Receive(9, Leader, append_reply{Term, true, Commit, 0, 0});
  Receive(Peer, 9, append_reply{Term + 9, true, 0, 0, 0});
  Receive(Leader, Leader, append_reply{Term + 9, true, 0, 0, 0});
  Receive(Peer, Leader, append_request{Term, {0, 0}, 0, 0, {command(1, Term)}});
  Receive(Peer, Leader, append_request{Term, {0, 7}, 0, 0, {}});
  Receive(Peer, Leader, snapshot_reply{Term, 5, 99, 0});
  Receive(Peer, Leader, vote_request{Term + 1, false, {999, Term}});
  CHECK(Node.role() == raft_role::leader);
  CHECK(Node.term() == Term);
  CHECK(Node.commitIndex() == Commit);
  Group.run(100ms);
  CHECK(Node.leaseHeld(Group.Now));
}

} // namespace acacianotch::test
