/// \file Tests of the consensus core.
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

/// Replicas on a network that delivers at once, with disks that sync at once
/// unless told otherwise.
class lockstep {
public:
  explicit lockstep(std::uint64_t Voters) {
    for (std::uint64_t Id = 1; Id <= Voters; ++Id)
      add(Id, {{}, {0, 0, group(Voters)}, {}});
  }

  auto add(std::uint64_t Id, durable_state State) -> void {
    raft_options Options{replica_id{Id}, Now, Id, {}, {}};
    Options.Limits.Trailing = 0;
    Options.Limits.ChunkBytes = 4;
    auto Node = raft_node::create(Options, std::move(State));
    REQUIRE(Node.ok());
    Nodes.insert_or_assign(Id, std::move(*Node));
  }

  auto at(std::uint64_t Id) -> raft_node & { return Nodes.at(Id); }

  /// Delivers messages until there are none.
  auto settle() -> void {
    for (auto Busy = true; Busy;) {
      Busy = false;
      for (auto &[Id, Node] : Nodes)
        Busy = step(Id, Node) || Busy;
    }
  }

  auto run(duration Length) -> void {
    for (const auto End = Now + Length; Now < End; Now += 10ms) {
      for (auto &[Id, Node] : Nodes)
        Node.tick(Now);
      settle();
    }
  }

  /// Runs until one of the replicas holds the lease. \return its id.
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

  auto step(std::uint64_t Id, raft_node &Node) -> bool {
    auto Effects = Node.takeEffects(Now);
    if (Effects.Restore)
      Restored[Id] = *Effects.Restore;
    for (auto &Record : Effects.Committed)
      Committed[Id].push_back(std::move(Record));
    if (Effects.Write.Sequence != 0 && !Stalled[Id])
      Node.synced(Effects.Write.Sequence, Now);
    for (const auto &Envelope : Effects.Messages) {
      const auto To = static_cast<std::uint64_t>(Envelope.To);
      const auto Found = Nodes.find(To);
      if (Cut[{Id, To}])
        Wasted += encodeEnvelope(Envelope).size();
      else if (Found != Nodes.end())
        Found->second.receive(Envelope, Now);
    }
    return !Effects.Messages.empty() || Effects.Write.Sequence != 0;
  }

  auto isolate(std::uint64_t Id, bool On) -> void {
    for (const auto &[Other, Node] : Nodes)
      Cut[{Id, Other}] = Cut[{Other, Id}] = On;
  }

  time_point Now{1s};
  std::map<std::uint64_t, raft_node> Nodes;
  std::map<std::uint64_t, bool> Stalled; ///< Syncs never complete.
  std::map<std::pair<std::uint64_t, std::uint64_t>, bool> Cut;
  std::map<std::uint64_t, std::vector<log_record>> Committed;
  std::map<std::uint64_t, snapshot> Restored;
  std::size_t Wasted = 0; ///< Bytes sent into cut links.
};

auto wireTime(time_point Time) -> std::uint64_t {
  return static_cast<std::uint64_t>(Time.time_since_epoch().count());
}

} // namespace

// Guards against records appended to a log file that still holds records which
// the snapshot replaced: the next recovery would drop or refuse them.
TEST_CASE("a node replaces an outdated log file first") {
  const auto Base = encodeSnapshot({2, 3, group(3)});
  auto Durable = recover(Base, {encodeFrame(command(1, 1))});
  REQUIRE(Durable.ok());
  raft_options Options;
  Options.Id = replica_id{1};
  auto Node = raft_node::create(Options, std::move(*Durable));
  REQUIRE(Node.ok());
  const auto Write = Node->takeEffects(Options.Start).Write;
  REQUIRE(Write.Base.has_value());
  CHECK(Write.Base->Index == 2);
  CHECK(Write.State.has_value());
  CHECK(Write.Records.empty());
}

// Guards against a replica that takes part although its identity is lost.
TEST_CASE("a replica without an identity does not start") {
  const auto Node = raft_node::create({}, {});
  REQUIRE_FALSE(Node.ok());
  CHECK(Node.error().Code == errc::bad_settings);
}

// Guards against an acknowledgement before a majority has synced.
TEST_CASE("a record commits only when a majority has synced it") {
  lockstep Group(3);
  const auto Leader = Group.elect();
  for (std::uint64_t Id = 1; Id <= 3; ++Id)
    Group.Stalled[Id] = Id != Leader;
  const auto Before = Group.at(Leader).commitIndex();
  REQUIRE(Group.at(Leader).propose("change", Group.Now).ok());
  Group.run(500ms);
  CHECK(Group.at(Leader).commitIndex() == Before);
  CHECK(Group.at(Leader).leaseHeld(Group.Now));
}

// Guards against a leader that counts its own record before its disk has it.
TEST_CASE("a leader counts its own record only when synced") {
  lockstep Group(3);
  const auto Leader = Group.elect();
  const auto Other = Leader % 3 + 1;
  Group.Stalled[Leader] = true;
  Group.isolate(Other, true);
  const auto Before = Group.at(Leader).commitIndex();
  REQUIRE(Group.at(Leader).propose("change", Group.Now).ok());
  Group.run(200ms);
  CHECK(Group.at(Leader).commitIndex() == Before);
  Group.isolate(Other, false);
  Group.run(200ms);
  CHECK(Group.at(Leader).commitIndex() == Before + 1);
}

// Guards against a frozen or partitioned leader that still acknowledges.
TEST_CASE("a leader without answers loses its lease and its role") {
  lockstep Group(3);
  const auto Leader = Group.elect();
  Group.isolate(Leader, true);
  CHECK(Group.at(Leader).leaseHeld(Group.Now));
  const auto Cut = Group.Now;
  Group.run(200ms);
  CHECK_FALSE(Group.at(Leader).leaseHeld(Group.Now));
  CHECK_FALSE(Group.at(Leader).confirmedIndex(Group.Now).ok());
  const auto Refused = Group.at(Leader).propose("change", Group.Now);
  REQUIRE_FALSE(Refused.ok());
  CHECK(Refused.error().Verdict == verdict::not_run);
  Group.run(Cut + 700ms - Group.Now);
  CHECK(Group.at(Leader).role() != raft_role::leader);
}

// Guards against an answer that renews the lease from the time it arrives,
// although the replica gave its promise earlier.
TEST_CASE("the lease counts from the send time of the heartbeat") {
  lockstep Group(3);
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

// Guards against a replica that forgets, by a restart, the promise on which
// the leader's lease rests.
TEST_CASE("a restarted replica gives no vote within the election timeout") {
  lockstep Group(3);
  auto &Node = Group.at(1);
  const vote_request Request{1, false, {0, 0}};
  Node.receive({replica_id{2}, replica_id{1}, Request}, Group.Now + 299ms);
  CHECK(Node.term() == 0);
  Node.receive({replica_id{2}, replica_id{1}, Request}, Group.Now + 300ms);
  CHECK(Node.term() == 1);
}

// Guards against a vote that is sent before it is durable, and could be given
// twice after a crash.
TEST_CASE("a vote is sent only after its sync") {
  lockstep Group(3);
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

// Guards against a replica that returns from a partition and deposes a leader
// that works.
TEST_CASE("a returning replica does not raise the term") {
  lockstep Group(3);
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

// Guards against a commit that counts replicas of an earlier term's record: a
// replica without it can still be elected and replace it.
TEST_CASE("a record of an earlier term commits only under a later one") {
  lockstep Group(3);
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

// Guards against a follower that reports a replaced record as synced because
// the one before it was, or commits records that only an earlier term of the
// same leader has shown to match.
TEST_CASE("a follower forgets replaced records") {
  lockstep Group(3);
  auto &Node = Group.at(2);
  const auto Give = [&](const append_request &Body) {
    Node.receive({replica_id{1}, replica_id{2}, Body}, Group.Now);
    return Node.takeEffects(Group.Now);
  };
  const auto Match = [](const raft_effects &Effects) {
    REQUIRE(Effects.Messages.size() == 1);
    return std::get<append_reply>(Effects.Messages[0].Body).Match;
  };
  const auto First =
      Give({1, {0, 0}, 0, 5, {command(1, 1), command(2, 1), command(3, 1)}});
  Node.synced(First.Write.Sequence, Group.Now);
  CHECK(Match(Node.takeEffects(Group.Now)) == 3);
  const auto NewTerm = Give({3, {1, 1}, 3, 6, {}});
  CHECK(Node.commitIndex() == 1);
  Node.synced(NewTerm.Write.Sequence, Group.Now);
  CHECK(Match(Node.takeEffects(Group.Now)) == 1);
  const auto Replaced = Give({3, {1, 1}, 1, 7, {command(2, 3)}});
  CHECK(Match(Replaced) == 1);
  Node.synced(Replaced.Write.Sequence, Group.Now);
  CHECK(Match(Node.takeEffects(Group.Now)) == 2);
}

// Guards against the acknowledgement of records that a failed disk lost.
TEST_CASE("a storage error ends all acknowledgements") {
  lockstep Group(3);
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

// Guards against a replica that stays behind when the leader has already
// dropped the records it needs, and against pieces that are put together
// wrongly.
TEST_CASE("a replica far behind gets the snapshot in pieces") {
  lockstep Group(3);
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

// Guards against a replica that never answers and costs the leader a message
// full of records, or a snapshot piece, with each heartbeat.
TEST_CASE("an unreachable replica gets heartbeats only") {
  lockstep Group(3);
  const auto Leader = Group.elect();
  auto &Node = Group.at(Leader);
  Group.Cut[{Leader, 4}] = true;
  Group.run(400ms);
  REQUIRE(Node.addLearner(replica_id{4}, "vm", Group.Now).ok());
  for (auto Count = 0; Count < 100; ++Count)
    REQUIRE(Node.propose(std::string(500, 'x'), Group.Now).ok());
  constexpr std::size_t HeartbeatBytes = 100;
  Group.run(1s);
  CHECK(Group.Wasted > 0);
  CHECK(Group.Wasted < 25 * HeartbeatBytes);
  const std::string Data(100'000, 's');
  REQUIRE(Node.compact(Node.commitIndex(), Data).ok());
  Group.run(1s);
  CHECK(Group.Wasted < 50 * HeartbeatBytes);
}

// Guards against two changes at a time, reused ids, the promotion of a learner
// that lacks records, and the loss of the last majority.
TEST_CASE("membership changes one replica at a time") {
  lockstep Group(3);
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

// Guards against a removed leader that goes on leading, and a removed replica
// that disturbs the others.
TEST_CASE("a leader that removes itself steps down") {
  lockstep Group(3);
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

// Guards against stray, crossed and impossible messages.
TEST_CASE("unexpected messages are ignored") {
  lockstep Group(3);
  const auto Leader = Group.elect();
  auto &Node = Group.at(Leader);
  const auto Term = Node.term();
  const auto Commit = Node.commitIndex();
  const auto Give = [&](std::uint64_t From, std::uint64_t To, message Body) {
    Node.receive({replica_id{From}, replica_id{To}, std::move(Body)},
                 Group.Now);
  };
  const auto Peer = Leader % 3 + 1;
  Give(Peer, Leader, append_reply{Term, true, 999, 0, 0});
  Give(9, Leader, append_reply{Term, true, Commit, 0, 0});
  Give(Peer, 9, append_reply{Term + 9, true, 0, 0, 0});
  Give(Leader, Leader, append_reply{Term + 9, true, 0, 0, 0});
  Give(Peer, Leader, append_request{Term, {0, 0}, 0, 0, {command(1, Term)}});
  Give(Peer, Leader, append_request{Term, {0, 7}, 0, 0, {}});
  Give(Peer, Leader, snapshot_reply{Term, 5, 99, 0});
  Give(Peer, Leader, vote_request{Term + 1, false, {999, Term}});
  CHECK(Node.role() == raft_role::leader);
  CHECK(Node.term() == Term);
  CHECK(Node.commitIndex() == Commit);
  Group.run(100ms);
  CHECK(Node.leaseHeld(Group.Now));
}

} // namespace acacianotch::test
