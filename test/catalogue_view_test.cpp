/// \file Tests of updates to nodes and of the node's view.
#include "catalogue_random.h"

#include "catalogue/catalogue_view.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>

using namespace acacianotch;
using namespace acacianotch::catalogue_test;

namespace {

constexpr auto Start = time_point(std::chrono::hours(1));

auto stamped(std::vector<node_update> Updates, epoch Epoch,
             bool Confirmed = true) -> std::vector<node_update> {
  for (auto &Update : Updates) {
    Update.Epoch = Epoch;
    Update.Confirmed = Confirmed;
  }
  return Updates;
}

/// Sends everything since the view's revision; the view must accept it.
auto sync(const cluster &Cluster, catalogue_view &View, time_point At = Start,
          epoch Epoch = epoch{1}) -> void {
  const auto Base = View.ready() ? View.currentRevision() : revision::none;
  for (const auto &Update : stamped(Cluster.State.updatesSince(Base), Epoch))
    REQUIRE(View.apply(Update, At).ok());
}

/// Many backends, so that a snapshot has several chunks.
auto largeCluster() -> cluster {
  cluster Cluster;
  REQUIRE(Cluster.put(versionEntry("m", "1")).ok());
  for (int Number = 0; Number < 800; ++Number)
    REQUIRE(Cluster.put(backendEntry("b" + std::to_string(Number), "1")).ok());
  return Cluster;
}

} // namespace

// Guards against a view that differs from every state the log went through, or
// that goes back, when updates are lost, repeated and reordered, the state is
// restored from snapshots, and leaders change.
TEST_CASE("a view fed by a lossy channel holds a prefix state") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    INFO("seed " << Seed);
    random_commands Commands(Seed);
    cluster Cluster;
    catalogue_view View;
    epoch Epoch{1};
    std::deque<node_update> Channel;
    std::map<revision, std::vector<shared_change>> Prefixes;
    Prefixes[revision::none] = {};
    for (int Step = 0; Step < 600; ++Step) {
      Commands.step(Cluster);
      const auto Revision = Cluster.State.currentRevision();
      if (!Prefixes.contains(Revision))
        Prefixes[Revision] = Cluster.State.sharedContent();
      if (Commands.below(200) == 0)
        REQUIRE(Cluster.restart());
      if (Commands.below(100) == 0)
        Epoch = epoch{static_cast<std::uint64_t>(Epoch) + 1};
      if (Commands.below(3) == 0) {
        const auto Acked =
            Commands.below(4) == 0 ? revision::none : View.currentRevision();
        const auto Bytes = 500 + Commands.below(8000);
        for (auto &Update :
             stamped(Cluster.State.updatesSince(Acked, Bytes), Epoch))
          Channel.push_back(std::move(Update));
      }
      if (Channel.empty() || Commands.below(2) == 0)
        continue;
      const auto Pick =
          Commands.below(std::min<std::size_t>(4, Channel.size()));
      const auto Update = Channel[Pick];
      if (Commands.below(5) != 0)
        Channel.erase(Channel.begin() + static_cast<std::ptrdiff_t>(Pick));
      if (Commands.below(10) == 0)
        continue;
      const auto BeforeRevision = View.currentRevision();
      const auto BeforeEpoch = View.currentEpoch();
      REQUIRE(View.apply(Update, Start).ok());
      REQUIRE(View.currentRevision() >= BeforeRevision);
      REQUIRE(View.currentEpoch() >= BeforeEpoch);
      REQUIRE(View.content() == Prefixes.at(View.currentRevision()));
    }
    sync(Cluster, View, Start, Epoch);
    CHECK(View.currentRevision() == Cluster.State.currentRevision());
    CHECK(View.content() == Cluster.State.sharedContent());
  }
}

// Guards against replicas that diverge: a replica restored from a snapshot must
// go on exactly like one that applied all commands.
TEST_CASE("a restored replica stays equal to the original") {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    INFO("seed " << Seed);
    random_commands One(Seed);
    random_commands Two(Seed);
    cluster Original;
    cluster Restored;
    for (int Step = 0; Step < 600; ++Step) {
      One.step(Original);
      Two.step(Restored);
      if (Step % 50 == 0)
        REQUIRE(Restored.restart());
    }
    CHECK(Original.State.encodeSnapshot() == Restored.State.encodeSnapshot());
  }
}

// Guards against a half-applied snapshot after an interruption, a lost chunk or
// a new leader.
TEST_CASE("an interrupted snapshot is discarded and asked for again") {
  auto Cluster = largeCluster();
  const auto Chunks = stamped(Cluster.State.updatesSince({}), epoch{1});
  REQUIRE(Chunks.size() > 2);
  catalogue_view View;
  CHECK(View.apply(Chunks[0], Start).value() == update_outcome::unchanged);
  CHECK(View.apply(Chunks[2], Start).value() == update_outcome::missing);
  CHECK(View.apply(Chunks[1], Start).value() == update_outcome::missing);
  CHECK(View.apply(Chunks[0], Start).value() == update_outcome::unchanged);
  auto NewLeader = Chunks[1];
  NewLeader.Epoch = epoch{2};
  CHECK(View.apply(NewLeader, Start).value() == update_outcome::missing);
  CHECK(View.content().empty());
  CHECK_FALSE(View.ready());
  for (const auto &Chunk : stamped(Cluster.State.updatesSince({}), epoch{2})) {
    REQUIRE(View.apply(Chunk, Start).ok());
    REQUIRE(View.apply(Chunk, Start).value() != update_outcome::missing);
  }
  CHECK(View.content() == Cluster.State.sharedContent());
}

// Guards against deltas from before the bounded history.
TEST_CASE("a node behind the history gets a snapshot") {
  cluster Cluster;
  auto Held = Cluster.put(accountEntry("a", 0)).Revision;
  const auto Old = Held;
  for (std::uint64_t Limit = 1; Limit <= delta_history::Retained; ++Limit)
    Held = Cluster.put(accountEntry("a", Limit), Held).Revision;
  CHECK(Cluster.State.updatesSince(Old).front().Chunks == 0);
  Cluster.put(accountEntry("a", 0), Held);
  CHECK(Cluster.State.updatesSince(Old).front().Chunks == 1);
  CHECK(Cluster.State.updatesSince(revision{Cluster.Index + 1}).empty());
}

// Guards against work on a catalogue that nobody has confirmed since the start,
// or not within the lease (I2), and against a grace that extends other
// versions.
TEST_CASE("freshness follows the lease and the version's grace") {
  using std::chrono::milliseconds;
  cluster Cluster;
  REQUIRE(Cluster.put(versionEntry("m", "1")).ok());
  auto Graceful = versionEntry("m", "2");
  std::get<version_body>(Graceful.Body).GraceMs = 5000;
  REQUIRE(Cluster.put(Graceful).ok());
  catalogue_view View;
  CHECK_FALSE(View.fresh(Start));
  for (const auto &Update :
       stamped(Cluster.State.updatesSince({}), epoch{1}, false))
    REQUIRE(View.apply(Update, Start).ok());
  CHECK_FALSE(View.ready());
  CHECK_FALSE(View.fresh(Start, {"m", "2"}));
  sync(Cluster, View);
  CHECK(View.ready());
  CHECK(View.fresh(Start + CatalogueLease));
  const auto Late = Start + CatalogueLease + milliseconds(1);
  CHECK_FALSE(View.fresh(Late));
  CHECK_FALSE(View.fresh(Late, {"m", "1"}));
  CHECK(View.fresh(Late, {"m", "2"}));
  CHECK_FALSE(View.fresh(Late + milliseconds(5000), {"m", "2"}));
  sync(Cluster, View, Late);
  CHECK(View.fresh(Late));
  sync(Cluster, View, Start);
  CHECK(View.fresh(Late + CatalogueLease));
}

// Guards against a deposed leader that extends the lease or changes the view.
TEST_CASE("updates of an older epoch are ignored") {
  cluster Cluster;
  REQUIRE(Cluster.put(versionEntry("m", "1")).ok());
  catalogue_view View;
  sync(Cluster, View, Start, epoch{5});
  const auto Later = Start + CatalogueLease;
  for (const auto &Update : stamped(Cluster.State.updatesSince({}), epoch{4}))
    CHECK(View.apply(Update, Later).value() == update_outcome::stale_epoch);
  CHECK(View.lastConfirmation() == Start);
}

// Guards against a confirmation of changes that the view does not hold.
TEST_CASE("a confirmation beyond the view's revision does not count") {
  cluster Cluster;
  REQUIRE(Cluster.put(versionEntry("m", "1")).ok());
  catalogue_view View;
  sync(Cluster, View);
  const auto Held = Cluster.run(drain_backend{"none", true}).Revision;
  REQUIRE(Cluster.run(withdraw_version{{"m", "1"}, ""}).ok());
  node_update Update;
  Update.Epoch = epoch{1};
  Update.Base = Update.Revision = Cluster.State.currentRevision();
  Update.Confirmed = true;
  CHECK(View.apply(Update, Start + CatalogueLease).value() ==
        update_outcome::missing);
  CHECK(View.lastConfirmation() == Start);
  CHECK(View.currentRevision() == Held);
  CHECK(View.active({"m", "1"}));
  sync(Cluster, View);
  CHECK_FALSE(View.active({"m", "1"}));
}

// Guards against lookups that keep pointing at replaced or removed entries.
TEST_CASE("lookups follow changes") {
  cluster Cluster;
  REQUIRE(Cluster.put(versionEntry("m", "1")).ok());
  REQUIRE(Cluster.put(versionEntry("m", "2")).ok());
  const auto Backend = Cluster.put(backendEntry("b", "1"));
  const auto Account = Cluster.put(accountEntry("a", 1));
  catalogue_view View;
  sync(Cluster, View);
  const auto OldKey =
      std::get<account_body>(accountEntry("a", 1).Body).KeySha256;
  REQUIRE(View.accountByKey(OldKey) != nullptr);
  CHECK(allowed(*View.account("a"), {"m", "9"}));
  CHECK_FALSE(allowed(*View.account("a"), {"n", "1"}));
  CHECK(View.backends(version_ref{"m", "1"}).size() == 1);
  CHECK(View.versions("m").size() == 2);
  auto Changed = accountEntry("other", 1);
  Changed.Name = "a";
  REQUIRE(Cluster.put(Changed, Account.Revision).ok());
  REQUIRE(Cluster.put(backendEntry("b", "2"), Backend.Revision).ok());
  sync(Cluster, View);
  CHECK(View.accountByKey(OldKey) == nullptr);
  CHECK(View.backends(version_ref{"m", "1"}).empty());
  CHECK(View.backends(version_ref{"m", "2"}).size() == 1);
  CHECK(View.backends("service").empty());
}

// Guards against traffic to a version that no rollout has reached, and against
// an empty choice while a usable version remains.
TEST_CASE("shares follow the rollout") {
  cluster Cluster;
  catalogue_view View;
  REQUIRE(Cluster.put(versionEntry("m", "2")).ok());
  REQUIRE(Cluster.put(versionEntry("m", "1")).ok());
  sync(Cluster, View);
  REQUIRE(View.shares("m").size() == 1);
  CHECK(View.shares("m")[0].Version.Version == "2");
  REQUIRE(Cluster.run(start_rollout{"m", "2", "1", {{0.25, 0, 0}}, {}}).ok());
  sync(Cluster, View);
  REQUIRE(View.shares("m").size() == 2);
  CHECK(View.shares("m")[1].Version.Version == "1");
  CHECK(View.shares("m")[1].Share == 0.25);
  REQUIRE(Cluster.run(withdraw_version{{"m", "2"}, ""}).ok());
  sync(Cluster, View);
  REQUIRE(View.shares("m").size() == 1);
  CHECK(View.shares("m")[0].Version.Version == "1");
  REQUIRE(Cluster.run(withdraw_version{{"m", "1"}, ""}).ok());
  sync(Cluster, View);
  CHECK(View.shares("m").empty());
}
