/// \file Tests of placement and subset selection.
#include "controller/placement.h"

#include <doctest/doctest.h>

#include <cmath>
#include <map>
#include <set>
#include <string>

using namespace acacianotch;

namespace {

using test_placement = placement<virtual_clock, seeded_random>;

struct fixture {
  virtual_clock Clock;
  seeded_random Random{7};
  backend_board Board;
  std::vector<backend_handle> Members;

  auto add(int Count, const std::string &Zone, std::uint32_t Slots = 8)
      -> void {
    for (int Index = 0; Index < Count; ++Index) {
      const auto Name = Zone + "-" + std::to_string(Index);
      Members.push_back(
          Board.put({backend_id(Name), zone_id(Zone), Slots, false}));
    }
  }

  auto make(const placement_settings &Settings = {},
            const std::string &Entry = "entry-1") -> test_placement {
    test_placement Placement(Clock, Random, Board, node_id(Entry), zone_id("a"),
                             Settings);
    Placement.update(Members);
    return Placement;
  }
};

auto asSet(std::span<const backend_handle> Handles)
    -> std::set<backend_handle> {
  return {Handles.begin(), Handles.end()};
}

auto stepsPerPick(int Backends) -> double {
  fixture Fixture;
  Fixture.add(Backends, "a");
  auto Placement = Fixture.make();
  constexpr int Picks = 2'000;
  for (std::uint64_t Pick = 0; Pick < Picks; ++Pick) {
    const auto Key = Fixture.Random();
    REQUIRE(Placement.pick({Key, {}, false}).ok());
  }
  return static_cast<double>(Placement.steps()) / Picks;
}

} // namespace

// Guards against placement that examines every backend server of the pool.
TEST_CASE("steps per decision grow no faster than log n") {
  const auto Few = stepsPerPick(10);
  const auto Many = stepsPerPick(10'000);
  CHECK(Many / Few <= std::log(10'000.0) / std::log(10.0));
}

// Guards against new work on a backend server that is draining, ejected or
// removed, even if the affinity key maps to it.
TEST_CASE("draining, ejected and removed backend servers are never picked") {
  fixture Fixture;
  Fixture.add(6, "a");
  auto Placement = Fixture.make();
  Fixture.Board.put({backend_id("a-0"), zone_id("a"), 8, true});
  Fixture.Board.eject(Fixture.Members[1]);
  Fixture.Board.remove(backend_id("a-2"));
  load_report Leaving;
  Leaving.Leaving = true;
  Fixture.Board.reported(Fixture.Members[3], Leaving, Fixture.Clock.now());
  for (std::uint64_t Key = 0; Key < 500; ++Key) {
    const auto Spread = Placement.pick({});
    const auto Affine = Placement.pick({Key * 0x9e3779b97f4a7c15U, {}, false});
    CHECK(Spread.value() >= Fixture.Members[4]);
    CHECK(Affine.value() >= Fixture.Members[4]);
  }
}

// Guards against a stale handle that refers to another backend server after its
// row is reused.
TEST_CASE("a handle does not outlive its backend server") {
  fixture Fixture;
  Fixture.add(1, "a");
  Fixture.Board.remove(backend_id("a-0"));
  const auto New = Fixture.Board.put({backend_id("b"), zone_id("a"), 8, false});
  CHECK(New.Index == Fixture.Members[0].Index);
  CHECK_FALSE(Fixture.Board.eligible(Fixture.Members[0]));
  CHECK(Fixture.Board.eligible(New));
}

// Guards against a result other than `no_backend` when no candidate remains.
TEST_CASE("an empty or exhausted pool returns no_backend") {
  fixture Fixture;
  auto Empty = Fixture.make();
  CHECK(Empty.pick({}).error().Code == errc::no_backend);
  Fixture.add(2, "a");
  auto Tried = Fixture.make();
  const auto Result = Tried.pick({std::nullopt, Fixture.Members, false});
  REQUIRE_FALSE(Result.ok());
  CHECK(Result.error().Verdict == verdict::not_run);
}

// Guards against new connections and lost caches at many backend servers when
// one is removed.
TEST_CASE("one change of membership replaces at most one member") {
  fixture Fixture;
  Fixture.add(300, "a");
  auto Placement = Fixture.make();
  const auto Before = asSet(Placement.subset().local());
  REQUIRE(Before.size() == 300U);
  placement_settings Settings;
  Settings.Subset.Entries = 100;
  auto Small = Fixture.make(Settings);
  const auto First = asSet(Small.subset().local());
  const auto Removed = *First.begin();
  Fixture.Board.remove(Fixture.Board.row(Removed)->Facts.Id);
  REQUIRE(Small.pick({}).ok());
  const auto Second = asSet(Small.subset().local());
  std::vector<backend_handle> Kept;
  std::set_intersection(First.begin(), First.end(), Second.begin(),
                        Second.end(), std::back_inserter(Kept));
  CHECK(First.size() == 48U);
  CHECK(Second.size() == First.size());
  CHECK(Kept.size() == First.size() - 1);
}

// Guards against backend servers that no entry or most entries use.
TEST_CASE("subsets of many entries are balanced") {
  fixture Fixture;
  Fixture.add(200, "a");
  placement_settings Settings;
  Settings.Subset.Entries = 100;
  std::map<backend_handle, int> Users;
  for (int Entry = 0; Entry < 100; ++Entry) {
    auto Placement = Fixture.make(Settings, "entry-" + std::to_string(Entry));
    for (const auto Handle : Placement.subset().local())
      ++Users[Handle];
  }
  CHECK(Users.size() == 200U);
  for (const auto &[Handle, Count] : Users) {
    CHECK(Count >= 4);
    CHECK(Count <= 32);
  }
}

// Guards against traffic between availability zones while the own zone has free
// slots, and against a queue in the own zone while another zone is idle.
TEST_CASE("the own availability zone is used first until it is full") {
  fixture Fixture;
  Fixture.add(4, "a", 2);
  Fixture.add(4, "b", 2);
  auto Placement = Fixture.make();
  int Remote = 0;
  for (int Pick = 0; Pick < 16; ++Pick) {
    const auto Handle = Placement.pick({}).value();
    const bool Own = Fixture.Board.row(Handle)->Facts.Zone == zone_id("a");
    Remote += Own ? 0 : 1;
    CHECK((Pick >= 4 || Own));
    Fixture.Board.started(Handle, false);
  }
  CHECK(Remote >= 6);
}

// Guards against cache misses because requests with the same key run on
// different backend servers, and against a queue behind one popular key.
TEST_CASE("affinity applies until the backend server is full") {
  fixture Fixture;
  Fixture.add(8, "a");
  auto Placement = Fixture.make();
  const place_request Request{42, {}, false};
  const auto Home = Placement.pick(Request).value();
  for (int Pick = 0; Pick < 20; ++Pick)
    CHECK(Placement.pick(Request).value() == Home);
  for (int Started = 0; Started < 8; ++Started)
    Fixture.Board.started(Home, false);
  CHECK(Placement.pick(Request).value() != Home);
}

// Guards against old load reports that keep work away from a backend server
// which has become idle.
TEST_CASE("the weight of a load report decreases with age") {
  fixture Fixture;
  Fixture.add(2, "a");
  auto Placement = Fixture.make();
  Fixture.Board.reported(Fixture.Members[0], {8, 4, 0, 8, false},
                         Fixture.Clock.now());
  for (int Pick = 0; Pick < 20; ++Pick) {
    const auto Handle = Placement.pick({}).value();
    if (Handle == Fixture.Members[0])
      continue;
    CHECK(Placement.perSlot(Fixture.Members[0], false) > 1.0);
  }
  Fixture.Clock.advance(duration{6'000'000});
  CHECK(Placement.perSlot(Fixture.Members[0], false) < 0.2);
}
