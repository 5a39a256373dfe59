/// \file Processes that do not run for a while and are not told.
#include "process/support/platform_deployment.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

using namespace acacianotch;

namespace {

constexpr int HttpOk = 200;
constexpr int HttpNotFound = 404;
/// Longer than the longest election timeout and than the time in which a
/// gateway misses two updates.
constexpr auto HoldUpTime = std::chrono::milliseconds(1500);
/// Documented time from an acknowledgement until it is in force everywhere.
constexpr auto ApplyTime = std::chrono::milliseconds(2000);
constexpr int Rounds = 4;

auto routeName(int Version) -> std::string {
  return "number-" + std::to_string(Version);
}

/// \return a configuration with one route, which names its version.
auto configuration(int Version) -> std::string {
  const auto Name = routeName(Version);
  return nlohmann::json{{"version", Version},
                        {"routes",
                         {{{"name", Name},
                           {"host", "localhost"},
                           {"path-prefix", "/" + Name + "/"},
                           {"kind", "safe"},
                           {"timeout-ms", 5000},
                           {"service", "chat"},
                           {"max-attempts", 2}}}},
                        {"services", {{{"name", "chat"}}}}}
      .dump();
}

auto publish(platform_deployment &System, int Version) -> void {
  REQUIRE(
      System.sendOperatorRequest("PUT", "/api/config", configuration(Version))
          .Status == HttpOk);
}

auto ask(const gateway_instance &Gateway, int Version) -> int {
  return http_call(Gateway.Callers,
                   httpRequest("GET", "/" + routeName(Version) + "/x",
                               {{"X-Acacianotch-Request-Id", "q1"}}, ""))
      .finish()
      .Status;
}

auto waitInForce(const platform_deployment &System, int Version) -> void {
  for (const auto &Gateway : System.Gateways)
    REQUIRE(waitUntil([&] { return ask(Gateway, Version) == HttpOk; }));
}

auto term(const control_instance &Replica) -> int {
  const auto Dump = httpGet(Replica.Admin, "/dump").json();
  return Dump.is_object() ? Dump.value("term", 0) : 0;
}

auto leads(const control_instance &Replica) -> bool {
  const auto Dump = httpGet(Replica.Admin, "/dump").json();
  return Dump.is_object() && Dump.value("leader", false);
}

auto highestTerm(const platform_deployment &System) -> int {
  int Highest = 0;
  for (const auto &Replica : System.Replicas)
    Highest = std::max(Highest, term(Replica));
  return Highest;
}

auto logOf(const platform_deployment &System, const std::string &Name)
    -> std::string {
  std::ostringstream Text;
  Text << std::ifstream(System.folder() / (Name + ".log")).rdbuf();
  return Text.str();
}

/// Holds up all processes of a deployment now and then, each by itself.
class hold_ups {
public:
  explicit hold_ups(platform_deployment &System) {
    std::uint64_t Seed = 0;
    for (auto &Replica : System.Replicas)
      start(*Replica.Process, ++Seed);
    for (auto &Gateway : System.Gateways)
      start(*Gateway.Process, ++Seed);
  }
  ~hold_ups() { Stop = true; }
  hold_ups(const hold_ups &) = delete;
  auto operator=(const hold_ups &) -> hold_ups & = delete;

private:
  static constexpr double ShortestHoldUp = 0.2;
  static constexpr double LongestHoldUp = 0.6;
  static constexpr double MeanRun = 0.3;

  auto start(child_process &Process, std::uint64_t Seed) -> void {
    Threads.emplace_back([this, &Process, Seed] {
      std::mt19937_64 Random(Seed);
      std::uniform_real_distribution<> HoldUp(ShortestHoldUp, LongestHoldUp);
      std::exponential_distribution<> Run(1 / MeanRun);
      const auto Sleep = [](double Seconds) {
        std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
      };
      while (!Stop) {
        Sleep(Run(Random));
        Process.signal(SIGSTOP);
        Sleep(HoldUp(Random));
        Process.signal(SIGCONT);
      }
    });
  }

  std::atomic<bool> Stop = false;
  std::vector<std::jthread> Threads;
};

} // namespace

// Guards against an election after each time that a whole group did not run,
// because the replicas count it as a silence of their leader.
TEST_CASE("replicas that were held up together keep their leader") {
  platform_deployment System;
  publish(System, 1);
  const auto Before = highestTerm(System);
  for (int Round = 0; Round < Rounds; ++Round) {
    for (auto &Replica : System.Replicas)
      Replica.Process->signal(SIGSTOP);
    std::this_thread::sleep_for(HoldUpTime);
    for (auto &Replica : System.Replicas)
      Replica.Process->signal(SIGCONT);
    publish(System, 2 + Round);
  }
  CHECK(highestTerm(System) == Before);
}

// Guards against an election by replicas that run again a little before their
// leader does.
TEST_CASE("replicas that run again before their leader keep it") {
  constexpr auto Lead = std::chrono::milliseconds(150);
  platform_deployment System;
  publish(System, 1);
  const auto Before = highestTerm(System);
  auto &Replicas = System.Replicas;
  const auto Leader = std::find_if(Replicas.begin(), Replicas.end(), leads);
  REQUIRE(Leader != Replicas.end());
  std::iter_swap(Leader, Replicas.begin());
  for (int Round = 0; Round < Rounds; ++Round) {
    for (auto &Replica : Replicas)
      Replica.Process->signal(SIGSTOP);
    std::this_thread::sleep_for(HoldUpTime);
    for (std::size_t Index = 1; Index < Replicas.size(); ++Index)
      Replicas[Index].Process->signal(SIGCONT);
    std::this_thread::sleep_for(Lead);
    Replicas.front().Process->signal(SIGCONT);
    publish(System, 2 + Round);
  }
  CHECK(highestTerm(System) == Before);
}

// Guards against a gateway that drops its subscription together with the update
// that arrived while it did not run.
TEST_CASE("a gateway that was held up keeps its subscription") {
  platform_deployment System;
  publish(System, 1);
  waitInForce(System, 1);
  auto &Gateway = System.Gateways.front();
  for (int Round = 0; Round < Rounds; ++Round) {
    Gateway.Process->signal(SIGSTOP);
    publish(System, 2 + Round);
    std::this_thread::sleep_for(HoldUpTime);
    Gateway.Process->signal(SIGCONT);
    waitInForce(System, 2 + Round);
  }
  const auto Log = logOf(System, Gateway.Name);
  CHECK(Log.find("the event loop was held up") != std::string::npos);
  CHECK(Log.find("no update from control") == std::string::npos);
}

// Guards against gateways that refuse the routes of an acknowledged
// configuration for seconds, while all processes are held up now and then.
TEST_CASE("gateways refuse no acknowledged route while processes are held up") {
  platform_options Options;
  Options.Gateways = 4;
  platform_deployment System(Options);
  publish(System, 1);
  waitInForce(System, 1);
  const hold_ups HoldUps(System);
  for (int Version = 2; Version < 2 + 2 * Rounds; ++Version) {
    publish(System, Version);
    const auto AckedAt = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(ApplyTime);
    while (std::chrono::steady_clock::now() - AckedAt < 2 * ApplyTime)
      for (const auto &Gateway : System.Gateways)
        CHECK(ask(Gateway, Version) != HttpNotFound);
  }
}
