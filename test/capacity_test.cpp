/// \file Tests that the costs per node, change and decision do not grow with
/// the size of the system. They count bytes and steps and measure no time.
#include "capacity_fixture.h"

#include "controller/placement.h"

#include <doctest/doctest.h>

#include <cmath>

using namespace acacianotch;
using namespace acacianotch::bench;

namespace {

constexpr std::size_t Few = 10;
constexpr std::size_t Many = 2'000;

/// \return the update of a node from revision \p Held to the current one.
auto onlyUpdate(const sized_catalogue &Catalogue, revision Held)
    -> node_update {
  auto Updates = Catalogue.State.updatesSince(Held);
  REQUIRE(Updates.size() == 1);
  return Updates.front();
}

auto deltaBytes(std::size_t Backends) -> std::size_t {
  sized_catalogue Catalogue(Backends);
  const auto Held = Catalogue.State.currentRevision();
  Catalogue.drain(1, true);
  return onlyUpdate(Catalogue, Held).Payload.size();
}

auto snapshotBytes(std::size_t Backends) -> std::size_t {
  const sized_catalogue Catalogue(Backends);
  std::size_t Bytes = 0;
  for (const auto &Update : Catalogue.State.updatesSince(revision::none))
    Bytes += Update.Payload.size();
  return Bytes;
}

auto stepsPerPick(std::size_t Backends) -> double {
  constexpr std::size_t Picks = 2'000;
  seeded_random Random(7);
  virtual_clock Clock;
  backend_board Board;
  std::vector<backend_handle> Members;
  for (std::size_t Index = 0; Index < Backends; ++Index)
    Members.push_back(Board.put(
        {backend_id(backendEntry(Index).Name), zone_id("a"), 32, false}));
  placement<virtual_clock, seeded_random> Placement(
      Clock, Random, Board, node_id("entry-1"), zone_id("a"));
  Placement.update(Members);
  const std::vector<backend_handle> Tried{Members.front()};
  for (std::size_t Pick = 0; Pick < Picks; ++Pick)
    REQUIRE(Placement.pick({Random(), Tried, false}).ok());
  return static_cast<double>(Placement.steps()) / Picks;
}

} // namespace

// Guards against a confirmation that contains entries: every node receives two
// per second, so its size must not depend on the catalogue.
TEST_CASE("a confirmation has no payload for any size of the catalogue") {
  for (const auto Size : {Few, Many}) {
    const sized_catalogue Catalogue(Size);
    const auto Held = Catalogue.State.currentRevision();
    const auto Update = onlyUpdate(Catalogue, Held);
    CHECK(Update.Payload.empty());
    CHECK(Update.Chunks == 0);
  }
}

// Guards against a delta that contains more than the change. A number in CBOR
// takes up to 8 bytes more in a catalogue with larger revisions; the entry has
// two of them, and names of up to 4 more digits.
TEST_CASE("the bytes of one change do not depend on the catalogue's size") {
  constexpr std::size_t NumberGrowth = 2 * 8 + 2 * 4;
  CHECK(deltaBytes(Many) <= deltaBytes(Few) + NumberGrowth);
}

// Guards against deltas that repeat a key for each of its changes, so that the
// catch-up of a node grows with the number of changes instead of entries.
TEST_CASE("a delta contains an entry once for any number of its changes") {
  sized_catalogue Catalogue(Few);
  const auto Held = Catalogue.State.currentRevision();
  Catalogue.drain(1, true);
  const auto Once = onlyUpdate(Catalogue, Held).Payload.size();
  for (int Change = 0; Change < 100; ++Change) {
    Catalogue.drain(1, false);
    Catalogue.drain(1, true);
  }
  CHECK(onlyUpdate(Catalogue, Held).Payload.size() <= Once + 8);
}

// Guards against a snapshot that grows faster than the number of entries.
TEST_CASE("snapshot bytes per entry do not grow with the catalogue") {
  constexpr std::size_t Half = Many / 2;
  const auto Lower = snapshotBytes(Half);
  const auto Upper = snapshotBytes(Many) - Lower;
  // Names and revisions of the upper half may be a few bytes longer.
  CHECK(Upper <= Lower + Half * 8);
}

// Guards against a single message with a whole large snapshot, which would
// delay the confirmations queued behind it.
TEST_CASE("every chunk of a snapshot is bounded") {
  const sized_catalogue Catalogue(Many);
  const auto Updates = Catalogue.State.updatesSince(revision::none);
  CHECK(Updates.size() > 1);
  for (const auto &Update : Updates)
    CHECK(Update.Payload.size() < 2 * catalogue_state::ChunkBytes);
}

// Guards against a history of deltas that grows without bound, and against
// missing changes at a node with a revision older than the history.
TEST_CASE("a node older than the history gets a snapshot") {
  sized_catalogue Catalogue(Few);
  const auto Held = Catalogue.State.currentRevision();
  for (std::size_t Change = 0; Change < delta_history::Retained; ++Change)
    Catalogue.drain(1, Change % 2 == 0);
  CHECK(onlyUpdate(Catalogue, Held).Chunks == 0);
  Catalogue.drain(1, true);
  CHECK(onlyUpdate(Catalogue, Held).Chunks == 1);
}

// Guards against placement that examines every backend server, even if one has
// been tried already.
TEST_CASE("steps per decision at 10,000 backend servers grow as log n") {
  const auto Ratio = std::log(10'000.0) / std::log(10.0);
  CHECK(stepsPerPick(10'000) <= Ratio * stepsPerPick(10));
}

// Guards against memory per recorded request that grows with the length of its
// id: numbered ids of one entry share blocks of 64.
TEST_CASE("recorded usage takes one block for 64 numbered requests") {
  constexpr std::uint64_t Blocks = 10;
  sized_catalogue Catalogue(1);
  for (std::uint64_t Number = 0; Number < Blocks * 64; ++Number) {
    usage_record Record{request_id("entry-1-" + std::to_string(Number)),
                        account_id("account-1"),
                        "entry-1",
                        {}};
    Record.Attempts = {{{"assistant", "1"}, "primary", 1, 1, 1, true}};
    Catalogue.request(record_usage{{Record}});
  }
  const auto &Recorded = Catalogue.State.data().Recorded;
  CHECK(Recorded.Texts.empty());
  REQUIRE(Recorded.Sources.size() == 1);
  CHECK(Recorded.Sources.begin()->second.Blocks.size() == Blocks);
}
