/// \file Knowledge of the leader in replicas that do not vote.
#include "replication/raft_node.h"
#include "replication_fixture.h"

#include <doctest/doctest.h>

namespace acacianotch::test {

namespace {

constexpr auto Leader = replica_id{1};

auto heartbeat() -> append_request {
  append_request Heartbeat;
  Heartbeat.Term = 1;
  return Heartbeat;
}

auto options(replica_id Id) -> raft_options {
  raft_options Options;
  Options.Id = Id;
  Options.Start = time_point{std::chrono::seconds(1)};
  return Options;
}

/// \return a replica of a group of three voters that has just heard its leader.
auto follower(const raft_options &Options) -> raft_node {
  durable_state Durable;
  Durable.BaseSnapshot = {0, 0, group(3)};
  auto Node = raft_node::create(Options, std::move(Durable));
  REQUIRE(Node.ok());
  Node->receive({Leader, Options.Id, heartbeat()}, Options.Start);
  return std::move(Node).value();
}

} // namespace

// Guards against operators who are redirected to a leader that is gone.
TEST_CASE("a replica without a vote forgets a leader that is silent") {
  const auto Options = options(replica_id{4});
  auto Node = follower(Options);
  CHECK(Node.leader() == Leader);
  Node.tick(Options.Start + Options.Timing.ElectionMin / 2);
  CHECK(Node.leader() == Leader);
  Node.tick(Options.Start + Options.Timing.ElectionMax);
  CHECK(Node.leader() == replica_id::none);
}

// Guards against an election, or a vote, by a replica that did not run and has
// not read yet what its leader sent meanwhile.
TEST_CASE("a replica that was held up first reads what its leader sent") {
  const auto Options = options(replica_id{2});
  auto Node = follower(Options);
  const auto Resumed = Options.Start + 3 * Options.Timing.ElectionMax;
  Node.resume(Resumed);
  Node.tick(Resumed);
  CHECK(Node.leader() == Leader);
  CHECK(Node.nextDeadline() >= Resumed + Options.Timing.ElectionMin);
  CHECK(Node.nextDeadline() <= Resumed + Options.Timing.ElectionMax);
  Node.receive({replica_id{3}, Options.Id, vote_request{2, false, {}}},
               Resumed);
  CHECK(Node.term() == 1);
  SUBCASE("and follows it") {
    const auto Read = Resumed + Options.Timing.ElectionMin / 2;
    Node.receive({Leader, Options.Id, heartbeat()}, Read);
    Node.tick(Read + Options.Timing.ElectionMin);
    CHECK(Node.leader() == Leader);
  }
  SUBCASE("and starts an election if there is nothing") {
    Node.tick(Resumed + Options.Timing.ElectionMax);
    CHECK(Node.leader() == replica_id::none);
    CHECK(Node.role() == raft_role::pre_candidate);
  }
}

} // namespace acacianotch::test
