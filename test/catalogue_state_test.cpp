/// \file Tests of entry and rollout commands and of change ids.
#include "catalogue_support.h"

#include <doctest/doctest.h>

using namespace acacianotch;
using namespace acacianotch::catalogue_test;

namespace {

auto stateOf(const cluster &Cluster, const std::string &Name) -> version_state {
  const auto *Entry = Cluster.find(entry_kind::version, Name);
  return Entry ? std::get<version_body>(Entry->Body).State
               : version_state::invalid;
}

auto twoVersions() -> cluster {
  cluster Cluster;
  REQUIRE(Cluster.put(versionEntry("m", "1")).ok());
  REQUIRE(Cluster.put(versionEntry("m", "2")).ok());
  return Cluster;
}

auto started(cluster &Cluster) -> std::string {
  const auto Result = Cluster.run(
      start_rollout{"m", "1", "2", {{0.1, 100, 1000}, {0.5, 0, 0}}, {}});
  REQUIRE(Result.ok());
  return Result.Payload.at("id").get<std::string>();
}

} // namespace

// Guards against a lost update: two operators that hold the same revision must
// not both succeed, and the loser must see the winner's content.
TEST_CASE("a put with an equal revision and other content conflicts") {
  cluster Cluster;
  const auto First = Cluster.put(accountEntry("a", 100));
  REQUIRE(First.ok());
  REQUIRE(Cluster.put(accountEntry("a", 200), First.Revision).ok());
  const auto Loser = Cluster.put(accountEntry("a", 300), First.Revision);
  CHECK(Loser.Code == errc::revision_conflict);
  CHECK(Loser.Payload.at("body").at("spend_limit") == 200);
  CHECK(Cluster.put(accountEntry("a", 200), First.Revision).ok());
  CHECK(Cluster.put(accountEntry("b", 1), First.Revision).Code ==
        errc::revision_conflict);
  const auto Wrong =
      Cluster.run(remove_entry{entry_kind::account, "a", First.Revision});
  CHECK(Wrong.Code == errc::revision_conflict);
  CHECK(Cluster.find(entry_kind::account, "a") != nullptr);
}

// Guards against a change that runs twice when its response is lost, also
// across a snapshot, and against a late resend that undoes a newer change.
TEST_CASE("a resent change gets the first result") {
  cluster Cluster;
  const auto Put = Cluster.make(put_entry{accountEntry("a", 100), {}, false});
  const auto First = Cluster.send(Put);
  REQUIRE(First.ok());
  REQUIRE(Cluster.put(accountEntry("a", 200), First.Revision).ok());
  for (const auto Restart : {false, true}) {
    if (Restart)
      REQUIRE(Cluster.restart());
    const auto Again = Cluster.send(Put);
    CHECK(Again.Repeated);
    CHECK(Again.Code == First.Code);
    CHECK(Again.Revision == First.Revision);
    CHECK(Again.Payload == First.Payload);
  }
  auto Other = Put;
  Other.Body = put_entry{accountEntry("a", 300), {}, false};
  CHECK(Cluster.send(Other).Code == errc::idempotency_conflict);
  Cluster.NowMs += RetentionMs + 2 * SweepIntervalMs;
  Cluster.runPlain(record_usage{{}});
  CHECK(Cluster.State.data().Changes.empty());
  CHECK(Cluster.send(Put).Code == errc::bad_request);
  const auto *Entry = Cluster.find(entry_kind::account, "a");
  CHECK(std::get<account_body>(Entry->Body).SpendLimit == 200);
}

// Guards against a failed change that succeeds on a resend although its sender
// was told that it failed.
TEST_CASE("a failed change is remembered as failed") {
  cluster Cluster;
  const auto Drain = Cluster.make(drain_backend{"b", true});
  CHECK(Cluster.send(Drain).Code == errc::unknown_entry);
  REQUIRE(Cluster.put(versionEntry("m", "1")).ok());
  REQUIRE(Cluster.put(backendEntry("b", "1")).ok());
  CHECK(Cluster.send(Drain).Code == errc::unknown_entry);
  CHECK(Cluster.run(drain_backend{"b", true}).ok());
}

// Guards against operator changes that cannot be recognised when resent.
TEST_CASE("operator changes need a change id and a time of issue") {
  cluster Cluster;
  auto Put = Cluster.make(put_entry{accountEntry("a", 1), {}, false});
  Put.ChangeId.clear();
  CHECK(Cluster.send(Put).Code == errc::bad_request);
  Put.ChangeId = "x";
  Put.IssuedMs = 0;
  CHECK(Cluster.send(Put).Code == errc::bad_request);
  Put.ChangeId = "y";
  Put.IssuedMs = Cluster.NowMs + 2 * 3'600'000ULL;
  CHECK(Cluster.send(Put).Code == errc::bad_request);
}

// Guards against a withdrawn version that becomes active again by a routine
// apply, also after its entry was removed (I2, I10).
TEST_CASE("a withdrawn version returns only when reinstated") {
  auto Cluster = twoVersions();
  const auto Withdrawn =
      Cluster.run(withdraw_version{{"m", "1"}, "wrong answers"});
  REQUIRE(Withdrawn.ok());
  const auto Put = Cluster.put(versionEntry("m", "1"), Withdrawn.Revision);
  CHECK(Put.Code == errc::version_withdrawn);
  const auto Removed =
      Cluster.run(remove_entry{entry_kind::version, "m@1", Withdrawn.Revision});
  REQUIRE(Removed.ok());
  REQUIRE(Cluster.restart());
  CHECK(Cluster.put(versionEntry("m", "1")).Code == errc::version_withdrawn);
  CHECK(Cluster.put(versionEntry("m", "1"), {}, true).ok());
  CHECK(stateOf(Cluster, "m@1") == version_state::active);
  CHECK(Cluster.State.data().Withdrawn.empty());
}

// Guards against a withdrawal that is reported as in effect while a node still
// holds an earlier, longer disconnected grace.
TEST_CASE("withdrawal reports the largest grace a node may hold") {
  cluster Cluster;
  auto Entry = versionEntry("m", "1");
  std::get<version_body>(Entry.Body).GraceMs = 60'000;
  const auto First = Cluster.put(Entry);
  std::get<version_body>(Entry.Body).GraceMs = 0;
  REQUIRE(Cluster.put(Entry, First.Revision).ok());
  const auto Result = Cluster.run(withdraw_version{{"m", "1"}, ""});
  CHECK(Result.Payload.at("grace_ms") == 60'000);
}

// Guards against two accounts that one bearer key could select between, and
// against a key that stays taken after its account gave it up.
TEST_CASE("a bearer key belongs to one account") {
  for (const auto Restart : {false, true}) {
    cluster Cluster;
    const auto First = Cluster.put(accountEntry("a", 1));
    REQUIRE(First.ok());
    if (Restart)
      REQUIRE(Cluster.restart());
    auto Other = accountEntry("a", 1);
    Other.Name = "b";
    CHECK(Cluster.put(Other).Code == errc::bad_request);
    auto Rotated = accountEntry("new key", 1);
    Rotated.Name = "a";
    const auto Second = Cluster.put(Rotated, First.Revision);
    REQUIRE(Second.ok());
    REQUIRE(Cluster.put(Other).ok());
    Rotated.Name = "c";
    CHECK(Cluster.put(Rotated).Code == errc::bad_request);
    REQUIRE(Cluster.run(remove_entry{entry_kind::account, "a", Second.Revision})
                .ok());
    CHECK(Cluster.put(Rotated).ok());
  }
}

// Guards against a rollout that skips evidence, time or a stage, advances
// twice on a race, or goes on after it was stopped.
TEST_CASE("a rollout follows its plan") {
  auto Cluster = twoVersions();
  const auto Id = started(Cluster);
  CHECK(Cluster.run(advance_rollout{Id, 0}).Code == errc::bad_request);
  Cluster.NowMs += 1000;
  CHECK(Cluster.run(advance_rollout{Id, 0}).Code == errc::bad_request);
  const report_version_evidence Report{Id, "entry-1", 1, {{"2", 100}}};
  CHECK(Cluster.runPlain(Report).ok());
  CHECK(Cluster.runPlain(Report).Detail == "duplicate");
  CHECK(Cluster.State.data().Evidence.at("m").Totals.at("2").Requests == 100);
  CHECK(Cluster.run(advance_rollout{Id, 0}).ok());
  CHECK(Cluster.run(advance_rollout{Id, 0}).Code == errc::revision_conflict);
  CHECK(Cluster.State.data().Rollouts.at("m").share() == 0.5);
  REQUIRE(Cluster.run(set_rollout_state{Id, rollout_state::paused, "look", {}})
              .ok());
  CHECK(Cluster.run(advance_rollout{Id, 1}).Code == errc::revision_conflict);
  const auto Blind =
      Cluster.run(set_rollout_state{Id, rollout_state::running, "", {}});
  CHECK(Blind.Code == errc::revision_conflict);
  const auto Held = Cluster.State.data().Rollouts.at("m").Revision;
  REQUIRE(Cluster.run(set_rollout_state{Id, rollout_state::running, "", Held})
              .ok());
  REQUIRE(Cluster.run(advance_rollout{Id, 1}).ok());
  CHECK(Cluster.State.data().Rollouts.at("m").State == rollout_state::done);
  CHECK(servingVersion(Cluster.State.data(), "m") == "2");
}

// Guards against a stop that is undone, and a second rollout that would move
// traffic back to an older version.
TEST_CASE("an aborted rollout stays aborted") {
  auto Cluster = twoVersions();
  const auto Id = started(Cluster);
  CHECK(Cluster.run(start_rollout{"m", "1", "2", {{1, 0, 0}}, {}}).Code ==
        errc::revision_conflict);
  REQUIRE(Cluster.run(set_rollout_state{Id, rollout_state::aborted, "bad", {}})
              .ok());
  const auto Resume = Cluster.run(
      set_rollout_state{Id, rollout_state::running, "",
                        Cluster.State.data().Rollouts.at("m").Revision});
  CHECK(Resume.Code == errc::revision_conflict);
  CHECK(Cluster.State.data().Rollouts.at("m").Reason == "bad");
  CHECK(servingVersion(Cluster.State.data(), "m") == "1");
  CHECK(Cluster.run(start_rollout{"m", "2", "1", {{1, 0, 0}}, {}}).Code ==
        errc::revision_conflict);
}

// Guards against a rollout that keeps sending work to a withdrawn version.
TEST_CASE("withdrawing a version stops its rollout") {
  auto Cluster = twoVersions();
  started(Cluster);
  REQUIRE(Cluster.run(withdraw_version{{"m", "2"}, "bad"}).ok());
  const auto &Rollout = Cluster.State.data().Rollouts.at("m");
  CHECK(Rollout.State == rollout_state::aborted);
  CHECK(Rollout.share() == 0);
}

// Guards against a check that changes the state, or that differs from what
// apply then does.
TEST_CASE("a check has no side effects and predicts the result") {
  auto Cluster = twoVersions();
  const auto Before = Cluster.State.encodeSnapshot();
  for (const auto &Body : std::initializer_list<command_body>{
           put_entry{versionEntry("m", "3"), {}, false},
           remove_entry{entry_kind::version, "m@1", revision{9}},
           withdraw_version{{"m", "1"}, ""},
           start_rollout{"m", "1", "2", {{1, 0, 0}}, {}},
           claim_request{account_id("a"), "k", "d", request_id("r"), 1000},
           drain_backend{"none", true}}) {
    const auto Command = Cluster.make(Body);
    auto Copy = Cluster.State;
    const auto Checked = Cluster.State.test(Command);
    CHECK(Cluster.State.encodeSnapshot() == Before);
    CHECK(Copy.apply(Command, Cluster.Index + 1).Code == Checked.Code);
  }
}

// Guards against a replayed log record that is applied twice after a restart.
TEST_CASE("a log index is applied once") {
  cluster Cluster;
  const auto Put = Cluster.make(put_entry{accountEntry("a", 1), {}, false});
  REQUIRE(Cluster.State.apply(Put, 5).ok());
  CHECK(Cluster.State.apply(Put, 5).Code == errc::internal);
  CHECK(Cluster.State.index() == 5);
}

// Guards against a history that grows without bound or loses who changed what.
TEST_CASE("the history of an entry is bounded and names the issuer") {
  cluster Cluster;
  auto Held = Cluster.put(accountEntry("a", 0)).Revision;
  for (std::uint64_t Limit = 1; Limit < 20; ++Limit)
    Held = Cluster.put(accountEntry("a", Limit), Held).Revision;
  const auto &Rows =
      Cluster.State.data().History.at({entry_kind::account, "a"});
  REQUIRE(Rows.size() == HistoryRows);
  CHECK(Rows.back().Revision == Held);
  CHECK(Rows.back().Issuer == "operator");
  CHECK(Rows.back().Action == "put_entry");
  CHECK(std::get<account_body>(Rows.back().Entry->Body).SpendLimit == 19);
}
