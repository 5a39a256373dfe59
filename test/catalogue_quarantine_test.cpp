/// \file Tests of crash reports and quarantine.
#include "catalogue_support.h"

#include <doctest/doctest.h>

using namespace acacianotch;
using namespace acacianotch::catalogue_test;

namespace {

constexpr fingerprint Poison{1};
constexpr fingerprint Innocent{2};
constexpr fingerprint Other{3};

auto crash(const std::string &Id, std::vector<fingerprint> Crashed)
    -> report_crash {
  return {Id, "b", false, std::move(Crashed), {}};
}

auto isolated(const std::string &Id, fingerprint Crashed) -> report_crash {
  return {Id, "b", true, {Crashed}, {}};
}

auto cleared(const std::string &Id, fingerprint Fingerprint) -> report_crash {
  return {Id, "b", true, {}, {Fingerprint}};
}

auto stateOf(const cluster &Cluster, fingerprint Fingerprint) -> suspicion {
  const auto Place = Cluster.State.data().Crashes.find(Fingerprint);
  return Place == Cluster.State.data().Crashes.end() ? suspicion::invalid
                                                     : Place->second.State;
}

auto isShared(const cluster &Cluster, fingerprint Fingerprint) -> bool {
  return Cluster.State.sharedValue(quarantineKey(Fingerprint)).has_value();
}

} // namespace

// Guards against quarantine of requests that only shared a crash with the
// poison request, and against a poison request that goes on crashing servers.
TEST_CASE("only a crash in isolation quarantines") {
  cluster Cluster;
  Cluster.run(crash("c1", {Poison, Innocent, Other}));
  CHECK(stateOf(Cluster, Poison) == suspicion::watched);
  CHECK_FALSE(isShared(Cluster, Poison));
  Cluster.run(crash("c2", {Poison, Innocent}));
  CHECK(stateOf(Cluster, Poison) == suspicion::suspect);
  CHECK(stateOf(Cluster, Innocent) == suspicion::suspect);
  CHECK(stateOf(Cluster, Other) == suspicion::watched);
  CHECK(isShared(Cluster, Innocent));
  REQUIRE(Cluster.restart());
  Cluster.run(cleared("i1", Innocent));
  CHECK(stateOf(Cluster, Innocent) == suspicion::cleared);
  CHECK_FALSE(isShared(Cluster, Innocent));
  Cluster.run(isolated("c3", Poison));
  CHECK(stateOf(Cluster, Poison) == suspicion::quarantined);
  Cluster.run(cleared("i2", Poison));
  CHECK(stateOf(Cluster, Poison) == suspicion::quarantined);
}

// Guards against one crash that counts twice because entry and agent both
// report it, or because a report is resent after the request was cleared.
TEST_CASE("a crash counts once") {
  cluster Cluster;
  Cluster.run(crash("c1", {Innocent}));
  Cluster.run(crash("c1", {Innocent}));
  CHECK(stateOf(Cluster, Innocent) == suspicion::watched);
  Cluster.run(crash("c2", {Innocent}));
  Cluster.run(cleared("i1", Innocent));
  Cluster.run(crash("c1", {Innocent}));
  Cluster.run(crash("c2", {Innocent}));
  CHECK(stateOf(Cluster, Innocent) == suspicion::cleared);
  Cluster.run(crash("c3", {Innocent}));
  CHECK(stateOf(Cluster, Innocent) == suspicion::watched);
  Cluster.run(crash("c4", {Innocent}));
  CHECK(stateOf(Cluster, Innocent) == suspicion::suspect);
}

// Guards against a missed quarantine when a report of the same crash without
// the isolation flag arrives first.
TEST_CASE("the isolation report counts after a plain report") {
  cluster Cluster;
  Cluster.run(crash("c1", {Poison}));
  Cluster.run(crash("c2", {Poison}));
  Cluster.run(crash("c3", {Poison}));
  CHECK(stateOf(Cluster, Poison) == suspicion::suspect);
  Cluster.run(isolated("c3", Poison));
  CHECK(stateOf(Cluster, Poison) == suspicion::quarantined);
}

// Guards against a quarantine that ends by itself, and one that an operator
// cannot end.
TEST_CASE("a quarantine lasts until it is lifted") {
  cluster Cluster;
  Cluster.run(crash("c1", {Poison, Innocent}));
  Cluster.run(crash("c2", {Poison, Innocent}));
  Cluster.run(isolated("c3", Poison));
  Cluster.NowMs += 40 * RetentionMs;
  Cluster.runPlain(record_usage{{}});
  CHECK(stateOf(Cluster, Poison) == suspicion::quarantined);
  CHECK(stateOf(Cluster, Innocent) == suspicion::invalid);
  CHECK(Cluster.State.currentRevision() == revision{Cluster.Index});
  CHECK(Cluster.run(lift_quarantine{Poison, "fixed engine"}).ok());
  CHECK(stateOf(Cluster, Poison) == suspicion::cleared);
  CHECK(Cluster.run(lift_quarantine{Poison, ""}).Code == errc::unknown_entry);
}
