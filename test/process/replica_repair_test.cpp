/// \file Replicas that take part in their group again after a fault has ended.
#include "process/support/platform_deployment.h"
#include "process/support/unwritable_disk.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>

using namespace acacianotch;
using nlohmann::json;

namespace {

constexpr int HttpOk = 200;

/// Publishes a configuration and checks that it is acknowledged.
auto publish(platform_deployment &System, int Version) -> void {
  CHECK(System
            .sendOperatorRequest("PUT", "/api/config",
                                 emptyConfiguration(Version))
            .Status == HttpOk);
}

auto dump(const control_instance &Replica) -> json {
  return httpGet(Replica.Admin, "/dump").json();
}

/// \return whether \p Replica is a voter in the members known to \p Witness.
auto isVoter(const control_instance &Witness, const control_instance &Replica)
    -> bool {
  const auto Dump = dump(Witness);
  if (!Dump.is_object())
    return false;
  const auto Members = Dump.value("members", json::array());
  return std::any_of(Members.begin(), Members.end(), [&](const json &Row) {
    return Row.value("voter", false) &&
           Row.value("address", "")
               .ends_with(":" + std::to_string(Replica.Rpc));
  });
}

} // namespace

// Guards against a replica that stays out of the group after a failed write.
TEST_CASE("a replica takes part again when its disk accepts writes again") {
  platform_options Options;
  Options.SnapshotEvery = 10;
  platform_deployment System(Options);
  publish(System, 1);
  auto &Repaired = System.Replicas[1];
  unwritable_disk Disk(System.data(Repaired));
  int Version = 2;
  REQUIRE(waitUntil([&] {
    publish(System, Version++);
    return dump(Repaired).value("failed", false);
  }));
  Disk.release();
  System.Replicas[0].Process->kill();
  publish(System, Version);
  CHECK(System.sendOperatorRequest("GET", "/api/config").Body ==
        emptyConfiguration(Version));
}

// Guards against a replica that was removed while silent and stays out.
TEST_CASE("a removed replica that comes back with its disk joins again") {
  platform_deployment System;
  publish(System, 1);
  System.Replicas[2].Process->signal(SIGSTOP);
  System.Replicas.push_back(System.makeReplica());
  System.start(System.Replicas.back(), false);
  const auto &Witness = System.Replicas[0];
  auto &Returning = System.Replicas[2];
  REQUIRE(waitUntil([&] {
    return isVoter(Witness, System.Replicas[3]) && !isVoter(Witness, Returning);
  }));
  Returning.Process->signal(SIGCONT);
  REQUIRE(waitUntil([&] { return isVoter(Witness, Returning); }));
  auto &NoLongerNeeded = System.Replicas[1];
  NoLongerNeeded.Process->kill();
  publish(System, 2);
  CHECK(System.sendOperatorRequest("GET", "/api/config").Body ==
        emptyConfiguration(2));
}
