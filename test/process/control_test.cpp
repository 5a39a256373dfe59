/// \file Control replicas that are killed, frozen, cut off and repaired.
#include "process/support/deployment.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace acacianotch;

namespace {

auto controlOnly() -> deployment_options {
  return {.Replicas = 3, .Entries = 0, .Engines = 0, .Desks = 0};
}

auto classEntry(const std::string &Name, int Priority, int Revision = 0)
    -> std::string {
  const auto Held =
      Revision == 0 ? "" : "revision = " + std::to_string(Revision) + "\n";
  return "[[entries]]\nkind = \"class\"\nname = \"" + Name +
         "\"\nowner = \"test\"\n" + Held +
         "[entries.body]\npriority = " + std::to_string(Priority) +
         "\ndeadline_ms = 1000\nlong_share = 0.5\nquality_target = 0.5\n"
         "long_work = false\n";
}

auto mustApply(deployment &System, const std::string &Toml) -> void {
  const auto Done = System.apply(Toml);
  INFO(Done.Output);
  REQUIRE(Done.Exit == 0);
}

auto entryOf(deployment &System, const std::string &Name) -> json {
  const auto Reply = System.client({"--json", "get", "class/" + Name});
  INFO(Reply.Output);
  const auto Value = json::parse(Reply.Output, nullptr, false);
  if (!Value.is_object() || Value["entries"].empty())
    return json();
  return Value["entries"][0];
}

auto caughtUp(deployment &System) -> bool {
  const auto Revision =
      deployment::dump(System.Controls[System.leader()])["revision"];
  for (auto &Row : System.Controls)
    if (Row.Process && Row.Process->running() &&
        deployment::dump(Row).value("revision", json()) != Revision)
      return false;
  return true;
}

} // namespace

// Guards against a change that is lost with the leader that acknowledged it.
TEST_CASE("a killed leader loses no acknowledged change") {
  deployment System(controlOnly());
  mustApply(System, classEntry("kept", 3));
  System.Controls[System.leader()].Process->kill();
  mustApply(System, classEntry("later", 4));
  REQUIRE(waitUntil([&] { return caughtUp(System); }));
  CHECK(entryOf(System, "kept")["body"]["priority"] == 3);
  CHECK(entryOf(System, "later")["body"]["priority"] == 4);
}

// Guards against a leader that wakes up and still acts as the leader.
TEST_CASE("a frozen leader does not answer as the leader after it resumes") {
  deployment System(controlOnly());
  const auto Old = System.leader();
  const auto Epoch = deployment::dump(System.Controls[Old])["term"];
  System.Controls[Old].Process->signal(SIGSTOP);
  mustApply(System, classEntry("during", 5));
  System.Controls[Old].Process->signal(SIGCONT);
  REQUIRE(waitUntil([&] { return caughtUp(System); }));
  const auto Dump = deployment::dump(System.Controls[Old]);
  CHECK(Dump["term"] > Epoch);
  std::size_t Leaders = 0;
  for (const auto &Row : System.Controls)
    Leaders += deployment::dump(Row)["leader"] == true ? 1 : 0;
  CHECK(Leaders == 1);
  CHECK(entryOf(System, "during")["body"]["priority"] == 5);
}

// Guards against a leader that hears nobody and still acknowledges changes or
// keeps the others from electing another leader.
TEST_CASE("a leader that is cut off silently is replaced") {
  auto Sizes = controlOnly();
  Sizes.ControlRelays = true;
  deployment System(Sizes);
  auto &Old = System.Controls[System.leader()];
  Old.Relay->cut(true);
  const auto Pending = System.scratchFile(classEntry("pending", 6));
  const auto Direct =
      System.clientOf(Old, {"--timeout", "2000", "apply", Pending});
  INFO(Direct.Output);
  CHECK(Direct.Exit == 6);
  mustApply(System, classEntry("during", 5));
  CHECK(deployment::dump(Old)["leader"] == false);
  Old.Relay->cut(false);
  REQUIRE(waitUntil([&] { return caughtUp(System); }));
  CHECK(entryOf(System, "during")["body"]["priority"] == 5);
}

// Guards against an acknowledgement by a leader that has no majority.
TEST_CASE("a change without a majority is not acknowledged") {
  deployment System(controlOnly());
  const auto Leader = System.leader();
  for (std::size_t Index = 0; Index < System.Controls.size(); ++Index)
    if (Index != Leader)
      System.Controls[Index].Process->signal(SIGSTOP);
  const auto Done = System.apply(classEntry("pending", 6),
                                 {"--timeout", "2000", "--change-id", "p-1"});
  INFO(Done.Output);
  CHECK(Done.Exit == 6);
  for (auto &Row : System.Controls)
    Row.Process->signal(SIGCONT);
  const auto Again =
      System.apply(classEntry("pending", 6), {"--change-id", "p-1"});
  INFO(Again.Output);
  CHECK(Again.Exit == 0);
  CHECK(entryOf(System, "pending")["body"]["priority"] == 6);
}

// Guards against two operators who both believe that their change holds.
TEST_CASE("of operators with equal revisions one wins") {
  deployment System(controlOnly());
  mustApply(System, classEntry("raced", 1));
  const auto Held = entryOf(System, "raced")["revision"].get<int>();
  std::vector<int> Exits;
  for (int Priority = 2; Priority < 5; ++Priority)
    Exits.push_back(System.apply(classEntry("raced", Priority, Held)).Exit);
  CHECK(Exits == std::vector<int>{0, 5, 5});
  CHECK(entryOf(System, "raced")["body"]["priority"] == 2);
}

// Guards against a resend that is applied twice or refused, after a leader
// change and after a restart of all replicas.
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
  for (auto &Row : System.Controls)
    Row.Process->kill();
  for (auto &Row : System.Controls)
    System.start(Row);
  const auto Third = System.apply(classEntry("once", 1), Id);
  INFO(Third.Output);
  CHECK(Third.Exit == 0);
  CHECK(Second.Output == Third.Output);
  CHECK(entryOf(System, "once")["body"]["priority"] == 2);
}

// Guards against a replica with a blank disk that votes under its old id.
TEST_CASE("a blank data folder is refused") {
  deployment System(controlOnly());
  auto &Row = System.Controls[0];
  Row.Process->kill();
  std::filesystem::remove_all(System.folder() / Row.Name);
  System.start(Row);
  const auto Exit = Row.Process->wait();
  REQUIRE(Exit.has_value());
  CHECK(*Exit > 0);
  mustApply(System, classEntry("served", 1));
}

// Guards against changes that are lost when a lost disk was replaced and
// another replica fails right after the repair.
TEST_CASE("a lost disk is repaired under a new replica id") {
  deployment System(controlOnly());
  for (int Number = 0; Number < 20; ++Number)
    mustApply(System, classEntry("kept-" + std::to_string(Number), Number));
  const auto Lost = (System.leader() + 1) % 3;
  System.Controls[Lost].Process->kill();
  std::filesystem::remove_all(System.folder() / System.Controls[Lost].Name);
  const auto Replica = [&](std::vector<std::string> Words) {
    Words.insert(Words.begin(), "replica");
    ctl_result Done;
    const auto Accepted = waitUntil([&] {
      Done = System.client(Words);
      return Done.Exit == 0;
    });
    INFO(Done.Output);
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
