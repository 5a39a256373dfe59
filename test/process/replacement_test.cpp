/// \file Replicas that are replaced as planned, and losses that follow.
#include "process/support/platform_deployment.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <fstream>

using namespace acacianotch;

namespace {

constexpr int HttpOk = 200;

auto publish(platform_deployment &System, int Version) -> void {
  CHECK(System
            .sendOperatorRequest("PUT", "/api/config",
                                 emptyConfiguration(Version))
            .Status == HttpOk);
  CHECK(System.sendOperatorRequest("GET", "/api/config").Body ==
        emptyConfiguration(Version));
}

auto leads(const control_instance &Replica) -> bool {
  const auto Dump = httpGet(Replica.Admin, "/dump").json();
  return Dump.is_object() && Dump.value("leader", false);
}

/// Waits until a replica leads. \return it, or one that follows it.
auto findReplica(platform_deployment &System, bool Leader)
    -> control_instance & {
  auto &Replicas = System.Replicas;
  REQUIRE(waitUntil(
      [&] { return std::any_of(Replicas.begin(), Replicas.end(), leads); }));
  const auto Found =
      std::find_if(Replicas.begin(), Replicas.end(), [&](const auto &Replica) {
        return leads(Replica) == Leader;
      });
  REQUIRE(Found != Replicas.end());
  return *Found;
}

/// Starts a replica with an empty disk and waits until all replicas vote.
auto addReplica(platform_deployment &System) -> void {
  System.Replicas.push_back(System.makeReplica());
  System.start(System.Replicas.back(), false);
  REQUIRE(waitUntil([&] { return System.allReplicasVote(); }));
}

auto stop(control_instance &Replica) -> void {
  Replica.Process->signal(SIGTERM);
  REQUIRE(Replica.Process->wait() == 0);
}

/// \return the fields of the last line with \p Message in a log.
auto lastLine(const std::filesystem::path &Log, const std::string &Message)
    -> nlohmann::json {
  auto Fields = nlohmann::json::object();
  std::ifstream File(Log);
  for (std::string Text; std::getline(File, Text);) {
    const auto Line = nlohmann::json::parse(Text, nullptr, false);
    if (Line.is_object() && Line.value("message", "") == Message)
      Fields = Line["fields"];
  }
  return Fields;
}

auto forget(platform_deployment &System, const control_instance &Replica)
    -> void {
  std::erase_if(System.Replicas, [Rpc = Replica.Rpc](const auto &Row) {
    return Row.Rpc == Rpc;
  });
}

} // namespace

// Guards against a group that loses its majority for good, because a replica
// that was replaced and has ended still counts when another one is lost.
TEST_CASE("the group bears a loss right after a replaced replica has stopped") {
  for (const auto StopLeader : {false, true}) {
    CAPTURE(StopLeader);
    platform_deployment System;
    publish(System, 1);
    addReplica(System);
    auto &Replaced = findReplica(System, StopLeader);
    stop(Replaced);
    forget(System, Replaced);
    System.Replicas.front().Process->kill();
    publish(System, 2);
  }
}

// Guards against a loss of the majority when the disk of another replica is
// lost at that time, so that it takes no part before it has joined anew.
TEST_CASE("the group bears a lost disk right after a replacement") {
  platform_deployment System;
  publish(System, 1);
  addReplica(System);
  auto &Replaced = findReplica(System, false);
  stop(Replaced);
  forget(System, Replaced);
  auto &Wiped = System.Replicas.front();
  Wiped.Process->kill();
  std::filesystem::remove_all(System.data(Wiped));
  System.start(Wiped, false);
  publish(System, 2);
  REQUIRE(waitUntil([&] { return System.allReplicasVote(); }));
  System.Replicas.back().Process->kill();
  publish(System, 3);
}

// Guards against a leader whose followers store its removal and then have no
// address to confirm it to, so that the group has no leader until its lease and
// an election timeout have passed.
TEST_CASE("a leader that is replaced commits its removal") {
  platform_deployment System;
  publish(System, 1);
  addReplica(System);
  auto &Replaced = findReplica(System, true);
  stop(Replaced);
  const auto Line = lastLine(System.folder() / (Replaced.Name + ".log"),
                             "finished leaving the group");
  CHECK(Line.value("outcome", "") == "removed");
  CHECK(Line.value("commit_index", -1) == Line.value("last_record", -2));
}

// Guards against votes of ended replicas that add up over replacements.
TEST_CASE("two replacements in a row leave no vote behind") {
  platform_deployment System;
  publish(System, 1);
  addReplica(System);
  addReplica(System);
  for (int Count = 0; Count < 2; ++Count) {
    auto &Replaced = System.Replicas.front();
    stop(Replaced);
    forget(System, Replaced);
  }
  System.Replicas.front().Process->kill();
  publish(System, 2);
}

// Guards against a replica that gives up a vote which the group needs: a group
// that shrinks with each restart would end with one voter.
TEST_CASE("a replica that is needed keeps its vote while it restarts") {
  platform_deployment System;
  publish(System, 1);
  REQUIRE(waitUntil([&] { return System.allReplicasVote(); }));
  for (auto &Replica : System.Replicas) {
    stop(Replica);
    const auto &Witness = &Replica == &System.Replicas.front()
                              ? System.Replicas.back()
                              : System.Replicas.front();
    CHECK(platform_deployment::votersAre(
        Witness,
        {&System.Replicas[0], &System.Replicas[1], &System.Replicas[2]}));
    System.start(Replica, false);
    REQUIRE(waitUntil([&] { return System.allReplicasVote(); }));
  }
  System.Replicas.front().Process->kill();
  publish(System, 2);
}

// Guards against a replica that left, starts again with its disk and stays out
// or disturbs the group.
TEST_CASE("a replica that left joins again when it starts") {
  platform_deployment System;
  publish(System, 1);
  addReplica(System);
  auto &Restarted = System.Replicas[1];
  stop(Restarted);
  publish(System, 2);
  System.start(Restarted, false);
  REQUIRE(waitUntil([&] { return System.allReplicasVote(); }));
  System.Replicas[0].Process->kill();
  publish(System, 3);
}

// Guards against replicas that all stop at once and take the group with them.
TEST_CASE("a group whose replicas all stop at once comes back") {
  platform_deployment System;
  publish(System, 1);
  addReplica(System);
  for (auto &Replica : System.Replicas)
    Replica.Process->signal(SIGTERM);
  for (auto &Replica : System.Replicas)
    REQUIRE(Replica.Process->wait() == 0);
  for (auto &Replica : System.Replicas)
    System.start(Replica, false);
  publish(System, 2);
  REQUIRE(waitUntil([&] { return System.allReplicasVote(); }));
}
