/// \file The routing document and service rollouts in the replicated state.
#include "catalogue_support.h"

#include "catalogue/catalogue_view.h"

#include <doctest/doctest.h>

using namespace acacianotch;
using catalogue_test::cluster;

namespace {

struct group {
  cluster Cluster;

  auto run(command_body Body) -> command_result {
    const auto Command = Cluster.make(std::move(Body));
    const auto Decoded = decodeCommand(encodeCommand(Command));
    REQUIRE(Decoded.ok());
    return Cluster.State.apply(*Decoded, ++Cluster.Index);
  }
  [[nodiscard]] auto data() const -> const catalogue_data & {
    return Cluster.State.data();
  }
};

} // namespace

// Guards against an older or a different document in force after a race.
TEST_CASE("only a higher number changes the routing document") {
  group Group;
  CHECK(Group.run(publish_routing{7, {"seven"}}).ok());
  CHECK(Group.run(publish_routing{7, {"other seven"}}).ok());
  CHECK(Group.run(publish_routing{5, {"five"}}).ok());
  REQUIRE(Group.data().Routing);
  CHECK(Group.data().Routing->Number == 7);
  CHECK(Group.data().Routing->Text.Bytes == "seven");
  CHECK(Group.run(publish_routing{8, {"eight"}}).ok());
  CHECK(Group.data().Routing->Text.Bytes == "eight");
}

// Guards against a document that a snapshot or a node's copy changes.
TEST_CASE("snapshots and nodes hold the routing document byte by byte") {
  group Group;
  const std::string Text("{\"a\": \xff\x00 1 }", 11);
  CHECK(Group.run(publish_routing{3, {Text}}).ok());
  CHECK(Group.run(start_service_rollout{"chat", "v2", 1000}).ok());
  const auto Restored =
      catalogue_state::decodeSnapshot(Group.Cluster.State.encodeSnapshot());
  REQUIRE(Restored.ok());
  REQUIRE(Restored->data().Routing);
  CHECK(Restored->data().Routing->Text.Bytes == Text);
  CHECK(Restored->data().ServiceRollouts.at("chat").To == "v2");
  catalogue_view View;
  for (auto Update : Restored->updatesSince(revision::none)) {
    Update.Epoch = epoch{1};
    REQUIRE(View.apply(Update, {}).ok());
  }
  REQUIRE(View.routing() != nullptr);
  CHECK(View.routing()->Text.Bytes == Text);
  CHECK(View.serviceRollouts().at("chat").State == rollout_state::running);
}

// Guards against a rollout that a repeated order starts again or that two
// orders run at once.
TEST_CASE("an order of a rollout is accepted once") {
  group Group;
  CHECK(Group.run(start_service_rollout{"chat", "v2", 1000}).ok());
  CHECK(Group.run(start_service_rollout{"chat", "v2", 1000}).ok());
  CHECK(Group.run(start_service_rollout{"chat", "v3", 1000}).Code ==
        errc::revision_conflict);
  CHECK(Group
            .run(end_service_rollout{"chat", "v2", rollout_state::aborted,
                                     "errors"})
            .ok());
  CHECK(Group.run(end_service_rollout{"chat", "v2", rollout_state::done, ""})
            .Code == errc::revision_conflict);
  CHECK(Group.run(start_service_rollout{"chat", "v2", 1000}).ok());
  CHECK(Group.data().ServiceRollouts.at("chat").State ==
        rollout_state::aborted);
  CHECK(Group.run(start_service_rollout{"chat", "v3", 1000}).ok());
  CHECK(Group.data().ServiceRollouts.at("chat").State ==
        rollout_state::running);
}

// Guards against evidence that counts twice after a lost answer.
TEST_CASE("evidence of one sequence counts once") {
  group Group;
  CHECK(Group.run(start_service_rollout{"chat", "v2", 1000}).ok());
  arm_counts Counts;
  Counts.Arm = version_arm::candidate;
  Counts.Route = "r/0";
  Counts.Requests = 4;
  Counts.Errors = 1;
  const report_service_evidence Report{"chat", "v2", "g/1", 1, {Counts}};
  CHECK(Group.run(Report).ok());
  CHECK(Group.run(Report).ok());
  const auto &Rows = Group.data().ServiceEvidence.at("chat").Counts;
  REQUIRE(Rows.size() == 1);
  CHECK(Rows[0].Requests == 4);
  CHECK(Group.run(report_service_evidence{"chat", "v1", "g/1", 2, {Counts}})
            .Code == errc::unknown_entry);
}

// Guards against sessions that are lost or doubled between the gateways'
// reports and the rollout that all of them follow.
TEST_CASE("sessions reported while a rollout collects them are held") {
  group Group;
  CHECK(Group.run(start_service_rollout{"chat", "v2", 1000}).ok());
  CHECK(Group.data().ServiceRollouts.at("chat").Collecting);
  CHECK(Group.run(report_service_evidence{"chat", "v2", "g/1", 1, {}, {9, 3}})
            .ok());
  CHECK(Group.run(report_service_evidence{"chat", "v2", "g/2", 1, {}, {3, 5}})
            .ok());
  CHECK(Group.run(open_service_rollout{"chat", "v2"}).ok());
  CHECK(
      Group.run(report_service_evidence{"chat", "v2", "g/2", 2, {}, {7}}).ok());
  CHECK(Group.run(open_service_rollout{"chat", "v2"}).ok());
  const auto &Rollout = Group.data().ServiceRollouts.at("chat");
  CHECK_FALSE(Rollout.Collecting);
  CHECK(Rollout.Held == std::vector<std::uint64_t>{3, 5, 9});
}
