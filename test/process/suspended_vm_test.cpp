/// \file Processes whose VM is suspended and resumed.
#include "process/support/deployment.h"
#include "process/support/platform_deployment.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <thread>

using namespace acacianotch;

namespace {

constexpr int HttpOk = 200;
/// Documented time from an acknowledgement until no read returns an older
/// configuration.
constexpr auto VisibilityDelay = std::chrono::milliseconds(2000);
/// Documented limit until a withdrawal takes effect.
constexpr auto WithdrawalDelay = std::chrono::seconds(4);
constexpr std::size_t Rounds = 3;
constexpr std::size_t ReadsPerRound = 4;

auto readRequest() -> std::string {
  return httpRequest("GET", "/api/config", {}, "");
}

/// A read that leaves its connection open.
constexpr auto FirstRead =
    "GET /api/config HTTP/1.1\r\nHost: localhost\r\n\r\n";

/// \return the replica that answers reads.
auto waitForLeader(platform_deployment &System) -> control_instance & {
  std::size_t Found = 0;
  REQUIRE(waitUntil([&] {
    for (Found = 0; Found < System.Replicas.size(); ++Found)
      if (http_call(System.Replicas[Found].Operator, readRequest())
              .finish()
              .Status == HttpOk)
        return true;
    return false;
  }));
  return System.Replicas[Found];
}

/// Publishes through the replicas other than \p Excluded.
auto publishWithout(platform_deployment &System,
                    const control_instance &Excluded, int Version) -> void {
  REQUIRE(waitUntil([&] {
    return std::any_of(System.Replicas.begin(), System.Replicas.end(),
                       [&](const control_instance &Replica) {
                         return Replica.Name != Excluded.Name &&
                                http_call(
                                    Replica.Operator,
                                    httpRequest("PUT", "/api/config", {},
                                                emptyConfiguration(Version)))
                                        .finish()
                                        .Status == HttpOk;
                       });
  }));
}

auto logOf(const platform_deployment &System, const control_instance &Replica)
    -> std::string {
  std::ostringstream Text;
  Text << std::ifstream(System.folder() / (Replica.Name + ".log")).rdbuf();
  return Text.str();
}

} // namespace

// Guards against a leader lease that outlives the suspension of its VM.
TEST_CASE("a leader whose VM was suspended returns no older configuration") {
  platform_options Options;
  Options.Suspendable = true;
  platform_deployment System(Options);
  CHECK(System.sendOperatorRequest("PUT", "/api/config", emptyConfiguration(1))
            .Status == HttpOk);
  int Version = 1;
  for (std::size_t Round = 0; Round < Rounds; ++Round) {
    auto &Leader = waitForLeader(System);
    std::vector<std::unique_ptr<http_call>> Reads;
    for (std::size_t Index = 0; Index < ReadsPerRound; ++Index) {
      Reads.push_back(std::make_unique<http_call>(Leader.Operator, FirstRead));
      REQUIRE(Reads.back()->readUntil("}"));
    }
    Leader.Process->suspendVm();
    publishWithout(System, Leader, ++Version);
    std::this_thread::sleep_for(VisibilityDelay);
    for (auto &Read : Reads)
      Read->send(readRequest());
    for (std::size_t Index = 0; Index < ReadsPerRound; ++Index)
      Reads.push_back(
          std::make_unique<http_call>(Leader.Operator, readRequest()));
    Leader.Process->resumeVm();
    for (auto &Read : Reads) {
      const auto Answer = Read->finish();
      if (Answer.Status == HttpOk)
        CHECK(Answer.Body == emptyConfiguration(Version));
    }
    CHECK(waitUntil([&] {
      return logOf(System, Leader).find("the VM was suspended") !=
             std::string::npos;
    }));
  }
}

// Guards against a catalogue lease that outlives the suspension of a node's VM.
TEST_CASE(
    "nodes whose VMs were suspended start no work on a withdrawn version") {
  deployment System({.Entries = 1,
                     .Engines = 1,
                     .Services = 0,
                     .NodeRelays = true,
                     .Suspendable = true});
  auto &Entry = System.Entries[0];
  auto &Agent = System.Agents[0];
  REQUIRE(startChat(Entry, chatBody("before", "small@1"))->finish().Status ==
          HttpOk);
  for (auto *Node : {&Entry, &Agent}) {
    Node->Relay->setBlackhole(true);
    Node->Process->suspendVm();
  }
  REQUIRE(System.runCtl({"withdraw", "small@1"}).Exit == 0);
  std::this_thread::sleep_for(WithdrawalDelay);
  const auto Chat = startChat(Entry, chatBody("after", "small@1"));
  Agent.Process->resumeVm();
  Entry.Process->resumeVm();
  const auto Refused = Chat->finish();
  INFO(Refused.Body);
  CHECK(Refused.error("code") == "stale_catalogue");
  CHECK(System.runsOf("after") == 0);
}
