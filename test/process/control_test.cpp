/// \file Failure and repair of control replicas.
#include "process/support/deployment.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace acacianotch;

namespace {

auto controlOnly() -> deployment_options {
  return {.Replicas = 3, .Entries = 0, .Engines = 0, .Services = 0};
}

auto classEntry(const std::string &Name, int Priority, int Revision = 0)
    -> std::string {
  const auto RevisionLine =
      Revision == 0 ? "" : "revision = " + std::to_string(Revision) + "\n";
  return "[[entries]]\nkind = \"class\"\nname = \"" + Name +
         "\"\nowner = \"test\"\n" + RevisionLine +
         "[entries.body]\npriority = " + std::to_string(Priority) +
         "\ndeadline_ms = 1000\nlong_share = 0.5\nquality_target = 0.5\n"
         "long_work = false\n";
}

auto mustApply(deployment &System, const std::string &Toml) -> void {
  const auto Result = System.apply(Toml);
  INFO(Result.Output);
  REQUIRE(Result.Exit == 0);
}

auto entryOf(deployment &System, const std::string &Name) -> json {
  const auto Reply = System.runCtl({"--json", "get", "class/" + Name});
  INFO(Reply.Output);
  const auto Value = json::parse(Reply.Output, nullptr, false);
  if (!Value.is_object() || Value["entries"].empty())
    return json();
  return Value["entries"][0];
}

auto caughtUp(deployment &System) -> bool {
  const auto Revision =
      deployment::dump(System.Controls[System.leader()])["revision"];
  for (auto &Control : System.Controls)
    if (Control.Process && Control.Process->running() &&
        deployment::dump(Control).value("revision", json()) != Revision)
      return false;
  return true;
}

} // namespace

// Guards against loss of a change when the leader that acknowledged it fails.
TEST_CASE("a killed leader loses no acknowledged change") {
  deployment System(controlOnly());
  mustApply(System, classEntry("kept", 3));
  System.Controls[System.leader()].Process->kill();
  mustApply(System, classEntry("later", 4));
  REQUIRE(waitUntil([&] { return caughtUp(System); }));
  CHECK(entryOf(System, "kept")["body"]["priority"] == 3);
  CHECK(entryOf(System, "later")["body"]["priority"] == 4);
}

// Guards against a paused leader that still acts as the leader when it resumes.
TEST_CASE("a paused leader does not act as the leader after it resumes") {
  deployment System(controlOnly());
  const auto OldLeader = System.leader();
  const auto Epoch = deployment::dump(System.Controls[OldLeader])["term"];
  System.Controls[OldLeader].Process->signal(SIGSTOP);
  mustApply(System, classEntry("during", 5));
  System.Controls[OldLeader].Process->signal(SIGCONT);
  REQUIRE(waitUntil([&] { return caughtUp(System); }));
  const auto Dump = deployment::dump(System.Controls[OldLeader]);
  CHECK(Dump["term"] > Epoch);
  std::size_t Leaders = 0;
  for (const auto &Control : System.Controls)
    Leaders += deployment::dump(Control)["leader"] == true ? 1 : 0;
  CHECK(Leaders == 1);
  CHECK(entryOf(System, "during")["body"]["priority"] == 5);
}

// Guards against a leader that receives no messages and still acknowledges
// changes or prevents the election of another leader.
TEST_CASE("a leader whose incoming traffic is dropped is replaced") {
  auto Options = controlOnly();
  Options.ControlRelays = true;
  deployment System(Options);
  auto &OldLeader = System.Controls[System.leader()];
  OldLeader.Relay->setBlackhole(true);
  const auto Pending = System.temporaryFile(classEntry("pending", 6));
  const auto Direct =
      System.runCtlDirect(OldLeader, {"--timeout", "2000", "apply", Pending});
  INFO(Direct.Output);
  CHECK(Direct.Exit == 6);
  mustApply(System, classEntry("during", 5));
  CHECK(deployment::dump(OldLeader)["leader"] == false);
  OldLeader.Relay->setBlackhole(false);
  REQUIRE(waitUntil([&] { return caughtUp(System); }));
  CHECK(entryOf(System, "during")["body"]["priority"] == 5);
}

// Guards against an acknowledgement by a leader without a majority.
TEST_CASE("a change without a majority is not acknowledged") {
  deployment System(controlOnly());
  const auto Leader = System.leader();
  for (std::size_t Index = 0; Index < System.Controls.size(); ++Index)
    if (Index != Leader)
      System.Controls[Index].Process->signal(SIGSTOP);
  const auto Result = System.apply(classEntry("pending", 6),
                                   {"--timeout", "2000", "--change-id", "p-1"});
  INFO(Result.Output);
  CHECK(Result.Exit == 6);
  for (auto &Control : System.Controls)
    Control.Process->signal(SIGCONT);
  const auto Again =
      System.apply(classEntry("pending", 6), {"--change-id", "p-1"});
  INFO(Again.Output);
  CHECK(Again.Exit == 0);
  CHECK(entryOf(System, "pending")["body"]["priority"] == 6);
}

// Guards against success being reported for conflicting changes of several
// operators.
TEST_CASE("only one of several changes to the same revision is accepted") {
  deployment System(controlOnly());
  mustApply(System, classEntry("raced", 1));
  const auto Revision = entryOf(System, "raced")["revision"].get<int>();
  std::vector<int> Exits;
  for (int Priority = 2; Priority < 5; ++Priority)
    Exits.push_back(System.apply(classEntry("raced", Priority, Revision)).Exit);
  CHECK(Exits == std::vector<int>{0, 5, 5});
  CHECK(entryOf(System, "raced")["body"]["priority"] == 2);
}

// Guards against a resent change that is applied twice or rejected after a
// leader change or a restart of all replicas.
TEST_CASE("a resent change gets its first result") {
  deployment System(controlOnly());
  const std::vector<std::string> Id = {"--json", "--change-id", "c-1"};
  const auto First = System.apply(classEntry("once", 1), Id);
  REQUIRE(First.Exit == 0);
  mustApply(System, classEntry("once", 2,
                               entryOf(System, "once")["revision"].get<int>()));
  System.Controls[System.leader()].Process->kill();
  const auto Second = System.apply(classEntry("once", 1), Id);
  INFO(First.Output, Second.Output);
  CHECK(Second.Exit == 0);
  for (auto &Control : System.Controls)
    Control.Process->kill();
  for (auto &Control : System.Controls)
    System.start(Control);
  const auto Third = System.apply(classEntry("once", 1), Id);
  INFO(Third.Output);
  CHECK(Third.Exit == 0);
  CHECK(Second.Output == Third.Output);
  CHECK(entryOf(System, "once")["body"]["priority"] == 2);
}

// Guards against a replica that lost its data and votes under its old id.
TEST_CASE("a blank data folder is refused") {
  deployment System(controlOnly());
  auto &Control = System.Controls[0];
  Control.Process->kill();
  std::filesystem::remove_all(System.folder() / Control.Name);
  System.start(Control);
  const auto Exit = Control.Process->wait();
  REQUIRE(Exit.has_value());
  CHECK(*Exit > 0);
  mustApply(System, classEntry("served", 1));
}

// Guards against loss of changes when another replica fails right after the
// repair of a lost disk.
TEST_CASE("a lost disk is repaired under a new replica id") {
  deployment System(controlOnly());
  for (int Number = 0; Number < 20; ++Number)
    mustApply(System, classEntry("kept-" + std::to_string(Number), Number));
  const auto Lost = (System.leader() + 1) % 3;
  System.Controls[Lost].Process->kill();
  std::filesystem::remove_all(System.folder() / System.Controls[Lost].Name);
  const auto Replica = [&](std::vector<std::string> Words) {
    Words.insert(Words.begin(), "replica");
    ctl_result Result;
    const auto Accepted = waitUntil([&] {
      Result = System.runCtl(Words);
      return Result.Exit == 0;
    });
    INFO(Result.Output);
    REQUIRE(Accepted);
  };
  auto &New = System.addControl(4);
  Replica({"add", "4", "127.0.0.1:" + std::to_string(New.Rpc)});
  REQUIRE(System.runDaemon(New, {"--join-as", "4"}) == 0);
  System.start(New);
  Replica({"promote", "4"});
  Replica({"remove", std::to_string(Lost + 1)});
  REQUIRE(waitUntil([&] {
    const auto Dump = deployment::dump(New);
    return Dump.is_object() && Dump["members"].size() == 3;
  }));
  const auto Second = System.leader();
  System.Controls[Second].Process->kill();
  mustApply(System, classEntry("after", 7));
  for (int Number = 0; Number < 20; ++Number)
    CHECK(entryOf(System, "kept-" + std::to_string(
                                        Number))["body"]["priority"] == Number);
  CHECK(entryOf(System, "after")["body"]["priority"] == 7);
}
