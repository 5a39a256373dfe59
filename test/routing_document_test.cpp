/// \file The routing document and service rollouts in the replicated state.
#include "catalogue_support.h"

#include "catalogue/catalogue_view.h"

#include <doctest/doctest.h>

using namespace acacianotch;
using catalogue_test::cluster;

namespace {

struct state_fixture {
  cluster Cluster;

  auto applyCommand(command_body Body) -> command_result {
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

// Guards against an older or a different document becoming active when several
// are published concurrently.
TEST_CASE("only a higher number changes the routing document") {
  state_fixture Fixture;
  CHECK(Fixture.applyCommand(publish_routing{7, {"seven"}}).ok());
  CHECK(Fixture.applyCommand(publish_routing{7, {"other seven"}}).ok());
  CHECK(Fixture.applyCommand(publish_routing{5, {"five"}}).ok());
  REQUIRE(Fixture.data().Routing);
  CHECK(Fixture.data().Routing->Number == 7);
  CHECK(Fixture.data().Routing->Text.Bytes == "seven");
  CHECK(Fixture.applyCommand(publish_routing{8, {"eight"}}).ok());
  CHECK(Fixture.data().Routing->Text.Bytes == "eight");
}

// Guards against a snapshot or an update of a node altering the document.
TEST_CASE("snapshots and updates preserve the bytes of the routing document") {
  state_fixture Fixture;
  const std::string Text("{\"a\": \xff\x00 1 }", 11);
  CHECK(Fixture.applyCommand(publish_routing{3, {Text}}).ok());
  CHECK(Fixture.applyCommand(start_service_rollout{"chat", "v2", 1000}).ok());
  const auto Restored =
      catalogue_state::decodeSnapshot(Fixture.Cluster.State.encodeSnapshot());
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

// Guards against a repeated command that restarts a rollout, and against two
// rollouts of one service at once.
TEST_CASE("a repeated rollout command has no further effect") {
  state_fixture Fixture;
  CHECK(Fixture.applyCommand(start_service_rollout{"chat", "v2", 1000}).ok());
  CHECK(Fixture.applyCommand(start_service_rollout{"chat", "v2", 1000}).ok());
  CHECK(Fixture.applyCommand(start_service_rollout{"chat", "v3", 1000}).Code ==
        errc::revision_conflict);
  CHECK(Fixture
            .applyCommand(end_service_rollout{"chat", "v2",
                                              rollout_state::aborted, "errors"})
            .ok());
  CHECK(Fixture
            .applyCommand(
                end_service_rollout{"chat", "v2", rollout_state::done, ""})
            .Code == errc::revision_conflict);
  CHECK(Fixture.applyCommand(start_service_rollout{"chat", "v2", 1000}).ok());
  CHECK(Fixture.data().ServiceRollouts.at("chat").State ==
        rollout_state::aborted);
  CHECK(Fixture.applyCommand(start_service_rollout{"chat", "v3", 1000}).ok());
  CHECK(Fixture.data().ServiceRollouts.at("chat").State ==
        rollout_state::running);
}

// Guards against evidence that is counted twice when a gateway repeats a report
// whose answer was lost.
TEST_CASE("evidence is counted once per sequence number") {
  state_fixture Fixture;
  CHECK(Fixture.applyCommand(start_service_rollout{"chat", "v2", 1000}).ok());
  arm_counts Counts;
  Counts.Arm = version_arm::candidate;
  Counts.Route = "r/0";
  Counts.Requests = 4;
  Counts.Errors = 1;
  const report_service_evidence Report{"chat", "v2", "g/1", 1, {Counts}};
  CHECK(Fixture.applyCommand(Report).ok());
  CHECK(Fixture.applyCommand(Report).ok());
  const auto &Rows = Fixture.data().ServiceEvidence.at("chat").Counts;
  REQUIRE(Rows.size() == 1);
  CHECK(Rows[0].Requests == 4);
  CHECK(Fixture
            .applyCommand(
                report_service_evidence{"chat", "v1", "g/1", 2, {Counts}})
            .Code == errc::unknown_entry);
}

// Guards against sessions that are lost or duplicated when the gateways'
// reports are merged into the rollout.
TEST_CASE("sessions reported while a rollout collects them are held") {
  state_fixture Fixture;
  CHECK(Fixture.applyCommand(start_service_rollout{"chat", "v2", 1000}).ok());
  CHECK(Fixture.data().ServiceRollouts.at("chat").Collecting);
  CHECK(Fixture
            .applyCommand(
                report_service_evidence{"chat", "v2", "g/1", 1, {}, {9, 3}})
            .ok());
  CHECK(Fixture
            .applyCommand(
                report_service_evidence{"chat", "v2", "g/2", 1, {}, {3, 5}})
            .ok());
  CHECK(Fixture.applyCommand(open_service_rollout{"chat", "v2"}).ok());
  CHECK(Fixture
            .applyCommand(
                report_service_evidence{"chat", "v2", "g/2", 2, {}, {7}})
            .ok());
  CHECK(Fixture.applyCommand(open_service_rollout{"chat", "v2"}).ok());
  const auto &Rollout = Fixture.data().ServiceRollouts.at("chat");
  CHECK_FALSE(Rollout.Collecting);
  CHECK(Rollout.Held == std::vector<std::uint64_t>{3, 5, 9});
}

// Guards against a rolled-back version that serves in the next rollout.
TEST_CASE("a rollout keeps which version serves and which were rolled back") {
  state_fixture Fixture;
  const auto Run = [&](const std::string &To, rollout_state End) {
    REQUIRE(Fixture.applyCommand(start_service_rollout{"chat", To, 1000}).ok());
    REQUIRE(
        Fixture.applyCommand(end_service_rollout{"chat", To, End, ""}).ok());
  };
  Run("v2", rollout_state::aborted);
  Run("v3", rollout_state::done);
  Run("v4", rollout_state::aborted);
  REQUIRE(Fixture.applyCommand(start_service_rollout{"chat", "v5", 1000}).ok());
  const auto &Rollout = Fixture.data().ServiceRollouts.at("chat");
  CHECK(Rollout.From == "v3");
  CHECK(Rollout.Withdrawn == std::vector<std::string>{"v2", "v4"});
  CHECK(Rollout.precededBy("v3", true));
  for (const auto *Version : {"v1", "v2", "v4", "v5"})
    CHECK_FALSE(Rollout.precededBy(Version, true));
  CHECK(Rollout.precededBy("v1", false));
  CHECK_FALSE(Rollout.precededBy("v2", false));
}

// Guards against a version barred for ever, and a list that only grows.
TEST_CASE("a version that is rolled out again is not withdrawn") {
  state_fixture Fixture;
  for (int Number = 0; Number < 40; ++Number) {
    const auto To = "v" + std::to_string(Number);
    REQUIRE(Fixture.applyCommand(start_service_rollout{"chat", To, 1000}).ok());
    REQUIRE(Fixture
                .applyCommand(
                    end_service_rollout{"chat", To, rollout_state::aborted, ""})
                .ok());
  }
  REQUIRE(
      Fixture.applyCommand(start_service_rollout{"chat", "v38", 1000}).ok());
  const auto &Rollout = Fixture.data().ServiceRollouts.at("chat");
  CHECK(Rollout.Withdrawn.size() <= 16);
  CHECK_FALSE(
      std::count(Rollout.Withdrawn.begin(), Rollout.Withdrawn.end(), "v38"));
}
