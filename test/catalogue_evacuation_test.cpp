/// \file Tests of the commands that evacuate availability zones.
#include "catalogue_support.h"

#include "catalogue/catalogue_view.h"
#include "catalogue/cbor.h"

#include <doctest/doctest.h>

using namespace acacianotch;
using namespace acacianotch::catalogue_test;

namespace {

/// Applies all updates since the revision of \p View.
auto follow(const cluster &Cluster, catalogue_view &View) -> void {
  for (auto &Update :
       Cluster.State.updatesSince(View.currentRevision(), 1 << 16)) {
    Update.Epoch = epoch{1};
    REQUIRE(View.apply(Update, {}).ok());
  }
}

} // namespace

// Guards against an order that is rejected or applied again because its first
// acknowledgement was lost, and against a zone that stays evacuated.
TEST_CASE("a repeated evacuation is accepted and changes nothing") {
  cluster Cluster;
  REQUIRE(Cluster.runPlain(evacuate_zone{"a"}).ok());
  const auto Revision = Cluster.State.currentRevision();
  Cluster.NowMs += 1000;
  REQUIRE(Cluster.runPlain(evacuate_zone{"a"}).ok());
  CHECK(Cluster.State.currentRevision() == Revision);
  CHECK(Cluster.State.data().Evacuations.at("a").ChangedMs == StartMs);
  REQUIRE(Cluster.runPlain(end_evacuation{"a"}).ok());
  REQUIRE(Cluster.runPlain(end_evacuation{"a"}).ok());
  REQUIRE(Cluster.runPlain(end_evacuation{"never"}).ok());
  CHECK(countEvacuated(Cluster.State.data().Evacuations) == 0);
  CHECK(Cluster.State.data().Evacuations.size() == 1);
}

// Guards against evacuations that are lost with a restart from a snapshot, and
// against snapshots of earlier versions that can no longer be read.
TEST_CASE("evacuations survive a snapshot, and an older snapshot is read") {
  cluster Cluster;
  REQUIRE(Cluster.runPlain(evacuate_zone{"a"}).ok());
  REQUIRE(Cluster.runPlain(evacuate_zone{"b"}).ok());
  REQUIRE(Cluster.runPlain(end_evacuation{"b"}).ok());
  REQUIRE(Cluster.restart());
  CHECK(Cluster.State.data().Evacuations.at("a").Active);
  CHECK(!Cluster.State.data().Evacuations.at("b").Active);
  auto Older = decodeCbor(Cluster.State.encodeSnapshot());
  REQUIRE(Older.ok());
  Older->erase("evacuations");
  const auto Read = catalogue_state::decodeSnapshot(encodeCbor(*Older));
  REQUIRE(Read.ok());
  CHECK(Read->data().Evacuations.empty());
}

// Guards against a node that was disconnected during an evacuation or its end
// and keeps to the earlier state.
TEST_CASE("a node learns of an evacuation and its end by delta and snapshot") {
  cluster Cluster;
  REQUIRE(Cluster.runPlain(evacuate_zone{"a"}).ok());
  catalogue_view Early;
  follow(Cluster, Early);
  CHECK(Early.evacuated("a"));
  CHECK(!Early.evacuated("b"));
  REQUIRE(Cluster.runPlain(end_evacuation{"a"}).ok());
  follow(Cluster, Early);
  CHECK(!Early.evacuated("a"));
  catalogue_view Late;
  follow(Cluster, Late);
  CHECK(!Late.evacuated("a"));
  CHECK(Late.evacuations().contains("a"));
  CHECK(Late.content() == Early.content());
}

// Guards against operators who fill the state that each node holds with names
// of zones that do not exist.
TEST_CASE("the number of evacuated zones is bounded") {
  cluster Cluster;
  auto Accepted = 0;
  for (auto Index = 0; Index < 1000; ++Index)
    Accepted +=
        Cluster.runPlain(evacuate_zone{std::to_string(Index)}).ok() ? 1 : 0;
  CHECK(Accepted == 128);
}
