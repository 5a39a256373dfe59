/// \file Cold and evacuated backend servers in the directory of a gateway.
#include "gateway_fixture.h"

using namespace acacianotch;
using namespace acacianotch::gateway_test;

namespace {

auto record(const std::string &Id, const std::string &Zone) -> backend_record {
  backend_record Record;
  Record.Id = Id;
  Record.Service = "s";
  Record.Address = {"127.0.0.1", 9};
  Record.Zone = Zone;
  Record.Version = "v1";
  Record.Slots = 8;
  return Record;
}

auto tableWithColdLimit() -> routing_table {
  routing_table Table;
  auto &Service = Table.Services["s"];
  Service.Name = "s";
  Service.ColdPerSecond = 11;
  Service.ColdStart = std::chrono::seconds(3);
  return Table;
}

auto applyEvacuation(backend_directory &Directory, catalogue_view &View,
                     const zone_evacuation &Evacuation) -> void {
  node_update Update;
  Update.Epoch = epoch{1};
  Update.Revision =
      revision{View.currentRevision() == revision::none ? 1U : 2U};
  Update.Base = View.currentRevision();
  Update.Chunks = View.currentRevision() == revision::none ? 1 : 0;
  Update.Payload = encodeChanges(
      {{std::string(EvacuationPrefix) + Evacuation.Zone, Evacuation}});
  REQUIRE(View.apply(Update, {}).ok());
  Directory.applyCatalogue(View);
}

} // namespace

// Guards against requests to a listed cold server without a share, and against
// limits for services that state none.
TEST_CASE("a cold server takes part in placement only with a share") {
  gateway Gateway;
  auto &Directory = Gateway.Directory;
  auto Cold = record("cold", "a");
  Cold.Cold = true;
  Directory.applyList({Cold, record("warm", "a")});
  const auto Limited = [&] {
    return Directory.membersAtColdLimit(
        *Directory.pool("s", version_arm::serving));
  };
  CHECK(Limited().empty());
  Directory.setColdLimits(tableWithColdLimit(), 1.5, 5);
  REQUIRE(Limited().size() == 1);
  CHECK(Directory.find(Limited()[0])->Record.Id == "cold");
  CHECK(Directory.coldLimiter().knownCold(steady_clock::now()).at(0).Limit ==
        21);
  Directory.coldLimiter().setShares(
      std::vector<cold_share>{{serverKey("cold"), 2}}, steady_clock::now());
  CHECK(Limited().empty());
  Directory.applyList({record("cold", "a"), record("warm", "a")});
  CHECK(Directory.coldCount() == 1); // Told by the share.
  Directory.setColdLimits({}, 1.5, 5);
  CHECK(Directory.coldCount() == 0);
}

// Guards against new work in an evacuated zone, and against the traffic that
// all gateways send to its idle and cold servers when the evacuation ends.
TEST_CASE("servers of an evacuated zone are in no pool and cold afterwards") {
  gateway Gateway;
  auto &Directory = Gateway.Directory;
  catalogue_view View;
  Directory.setColdLimits(tableWithColdLimit(), 1.5, 5);
  Directory.applyList({record("i-a", "a"), record("i-b", "b")});
  const auto Key = serverKey("i-a");
  CHECK(!Directory.coldLimiter().cold(Key, steady_clock::now()));
  applyEvacuation(Directory, View, {"a", true, 1});
  CHECK(Directory.pool("s", version_arm::serving)->Members.size() == 1);
  CHECK(!Directory.evacuatedWholly("s"));
  Directory.applyList({record("i-a", "a")});
  CHECK(Directory.pool("s", version_arm::serving) == nullptr);
  CHECK(Directory.evacuatedWholly("s"));
  CHECK(!Directory.evacuatedWholly("other"));
  applyEvacuation(Directory, View, {"a", false, 2});
  REQUIRE(Directory.pool("s", version_arm::serving) != nullptr);
  CHECK(Directory.membersAtColdLimit(*Directory.pool("s", version_arm::serving))
            .size() == 1);
  CHECK(Directory.coldCount() == 1);
}

// Guards against a server that starts anew under its id and address and gets
// what the former process could take as well.
TEST_CASE("a new start under a known id is cold and keeps what was sent") {
  gateway Gateway;
  auto &Directory = Gateway.Directory;
  Directory.setColdLimits(tableWithColdLimit(), 1.5, 5);
  Directory.applyList({record("i", "a")});
  const auto Now = steady_clock::now();
  const auto Key = serverKey("i");
  const std::vector<cold_share> One{{Key, 1}};
  CHECK(!Directory.coldLimiter().cold(Key, Now));
  Directory.coldLimiter().recordSent(Key, Now);
  auto Restarted = record("i", "a");
  Restarted.StartedMs = 5;
  Directory.applyList({Restarted});
  Directory.coldLimiter().setShares(One, Now);
  CHECK(Directory.coldLimiter().cold(Key, Now));
  CHECK(!Directory.coldLimiter().admits(Key, Now));
}
