/// \file Tests of the replication of the list of backend servers.
#include "catalogue/routing_type.h"
#include "node/backend_list.h"

#include <capnp/message.h>
#include <doctest/doctest.h>

using namespace acacianotch;

namespace {

auto record(const std::string &Id) -> backend_record {
  backend_record Row;
  Row.Id = Id;
  Row.Service = "s";
  Row.Address = {"127.0.0.1", 80};
  Row.Zone = "a";
  Row.Version = "v1";
  Row.Slots = 4;
  Row.Leaving = true;
  Row.StartedMs = 1'700'000'000'000;
  return Row;
}

auto idsOf(const backend_changes &Changes) -> std::vector<std::string> {
  std::vector<std::string> Ids;
  for (const auto &Row : Changes.Rows)
    Ids.push_back(Row.Id);
  return Ids;
}

using ids = std::vector<std::string>;

} // namespace

// Guards against fields that are lost when control sends the list to a gateway.
TEST_CASE("an encoded list decodes to the same rows") {
  backend_list List;
  auto Other = record("i-2");
  Other.Zone = "b";
  CHECK(List.replaceRows({record("i-1"), Other}, time_point{}));
  std::uint64_t Since = 0;
  const auto Sent = List.changesAfter(Since, 10);
  capnp::MallocMessageBuilder Message;
  auto Root = Message.initRoot<wire::BackendList>();
  writeBackends(Root, Sent, std::chrono::milliseconds(700));
  CHECK(Root.getAgeMs() == 700);
  const auto Read = readBackends(Root.asReader());
  CHECK(Read.Rows == std::vector{record("i-1"), Other});
  CHECK(Read.Whole);
  CHECK(Read.Complete);
}

// Guards against an incremental update that omits servers which were removed,
// added or changed since the last update of the node.
TEST_CASE("a node is sent the changes since its last update") {
  backend_list List;
  CHECK(List.replaceRows({record("i-1"), record("i-2"), record("i-3")}, {}));
  std::uint64_t Since = 0;
  CHECK(idsOf(List.changesAfter(Since, 10)) == ids{"i-1", "i-2", "i-3"});
  auto Other = record("i-2");
  Other.Leaving = false;
  CHECK(List.replaceRows({Other, record("i-3")}, {}));
  const auto Part = List.changesAfter(Since, 10);
  CHECK_FALSE(Part.Whole);
  CHECK(idsOf(Part) == ids{"i-2"});
  CHECK(Part.Removed == ids{"i-1"});
  CHECK(Since == List.number());
  const auto Nothing = List.changesAfter(Since, 10);
  CHECK(Nothing.Rows.empty());
  CHECK(Nothing.Complete);
  CHECK(List.replaceRows({Other, record("i-3"), record("i-1")}, {}));
  CHECK(idsOf(List.changesAfter(Since, 10)) == ids{"i-1"});
}

// Guards against a long list that delays other updates, and against an
// incomplete part that is treated as the complete list.
TEST_CASE("a long list is sent in parts") {
  backend_list List;
  CHECK(List.replaceRows({record("i-1"), record("i-2"), record("i-3")}, {}));
  std::uint64_t Since = 0;
  const auto First = List.changesAfter(Since, 2);
  CHECK(First.Whole);
  CHECK_FALSE(First.Complete);
  const auto Second = List.changesAfter(Since, 2);
  CHECK_FALSE(Second.Whole);
  CHECK(Second.Complete);
  CHECK(idsOf(Second) == ids{"i-3"});
}

// Guards against a removed server that a node keeps using because its removal
// is no longer in the change history.
TEST_CASE("a node that lacks a dropped removal is sent the full list") {
  backend_list List;
  CHECK(List.replaceRows({record("keep"), record("gone")}, {}));
  std::uint64_t Since = 0;
  CHECK(List.changesAfter(Since, 10).Complete);
  for (int Round = 0; Round < 5000; ++Round) {
    CHECK(List.replaceRows(
        {record("keep"), record("r" + std::to_string(Round))}, {}));
  }
  const auto Part = List.changesAfter(Since, 10'000);
  CHECK(Part.Whole);
  CHECK(idsOf(Part) == ids{"keep", "r4999"});
}

// Guards against an unchanged list that is sent to every node after each read,
// and against its age counting from the last change instead of the last read.
TEST_CASE("a list gets a new sequence number only if its rows differ") {
  backend_list List;
  CHECK(List.replaceRows({}, time_point{}));
  CHECK(List.replaceRows({record("i-1")}, time_point{}));
  const auto Number = List.number();
  const auto Later = time_point{} + std::chrono::seconds(1);
  CHECK_FALSE(List.replaceRows({record("i-1")}, Later));
  CHECK(List.number() == Number);
  CHECK(List.readAt() == Later);
  auto Cold = record("i-1");
  Cold.Cold = true;
  CHECK(List.replaceRows({Cold}, Later));
  CHECK_FALSE(List.replaceRows({Cold}, Later));
  CHECK(List.replaceRows({record("i-1")}, Later));
}

// Guards against a rollout planned from servers that leave or are its own.
TEST_CASE("the servers of a predecessor are counted") {
  backend_list List;
  auto Stays = record("i-1");
  Stays.Leaving = false;
  auto New = Stays;
  New.Id = "i-2";
  New.Version = "v2";
  auto Other = Stays;
  Other.Id = "i-3";
  Other.Service = "other";
  CHECK(List.replaceRows({Stays, New, Other, record("i-4")}, {}));
  service_rollout Rollout;
  Rollout.Service = "s";
  Rollout.To = "v2";
  CHECK(List.countPredecessors(Rollout) == 1);
  // Servers of a version that was rolled back may still run.
  Rollout.To = "v3";
  Rollout.Withdrawn = {"v2"};
  CHECK(List.countPredecessors(Rollout) == 1);
  Rollout.Withdrawn.clear();
  Rollout.From = "v2";
  CHECK(List.countPredecessors(Rollout) == 1);
  Rollout.From = "gone";
  CHECK(List.countPredecessors(Rollout) == 2);
}
