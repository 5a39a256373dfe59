/// \file Randomized soak test of the real processes with injected faults.
///
/// Phases alternate. In a fault phase, processes, disks and connections fail in
/// series and concurrently. In a fault-free phase, only planned restarts and
/// drains happen. Callers and the operator run in both phases. Prints one JSON
/// line for each seed; the exit status is 1 if a guarantee was violated.
#include "soak/callers.h"
#include "soak/faults.h"
#include "soak/ledger.h"
#include "soak/operator.h"
#include "soak/route_probes.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>
#include <optional>

using namespace acacianotch;
using namespace acacianotch::soak;
using nlohmann::json;

namespace {

struct soak_options {
  std::uint64_t Seed = 1;
  std::uint64_t Runs = 1;
  int Seconds = 20;
  std::size_t Gateways = 3;
  std::size_t Servers = 4;
  std::size_t Callers = 8;
  bool Keep = false;
};

constexpr int HttpOk = 200;
constexpr auto FaultPhaseTime = std::chrono::seconds(4);
constexpr auto MaxFaultPauseMs = 350;
/// Documented limits: time until service is restored after the last fault, and
/// time after which a draining server receives no new work.
constexpr auto RecoveryTime = std::chrono::seconds(12);
constexpr auto DrainTime = std::chrono::seconds(3);
/// Time for requests affected by the last fault to end before answers must be
/// complete; longer than the timeout of every route.
constexpr auto InFlightWorkTime = std::chrono::seconds(6);
/// Small, so that logs and snapshots are replaced while faults happen.
constexpr int SnapshotEvery = 10;
/// Time in which a process exits after SIGTERM.
constexpr auto GraceTime = std::chrono::seconds(6);

class soak_run {
public:
  soak_run(const soak_options &TheOptions, std::uint64_t TheSeed)
      : Options(TheOptions), Seed(TheSeed), Random(TheSeed),
        System({3, Options.Gateways, Options.Servers, true,
                std::chrono::duration<double>(GraceTime).count(), SnapshotEvery,
                true}),
        Operator(System, Ledger, TheSeed + 1), Faults(System, TheSeed + 2) {}

  auto run() -> json {
    if (Options.Keep)
      System.keepFolder();
    const auto Formed =
        System.sendOperatorRequest("PUT", "/api/config", routingDocument(0))
            .Status == HttpOk;
    if (!Formed)
      Ledger.recordViolation("a group forms", "no acknowledgement");
    Operator.start();
    Callers.emplace(System, Ledger, Options.Callers, Seed + 100);
    Probes.emplace(System, Ledger, Operator);
    const auto End = fault_clock::now() + std::chrono::seconds(Options.Seconds);
    do {
      injectFaults();
      checkRecovery();
      runPlannedWork();
    } while (fault_clock::now() < End);
    Operator.stop();
    Callers->stop();
    Probes->stop();
    checkFinalState();
    return report();
  }

private:
  auto injectFaults() -> void {
    const auto End = fault_clock::now() + FaultPhaseTime;
    while (fault_clock::now() < End) {
      Faults.injectFault();
      std::this_thread::sleep_for(
          std::chrono::milliseconds(Random() % MaxFaultPauseMs));
    }
    Faults.revertAll();
  }

  /// \return whether \p Gateway serves \p Path.
  auto serves(const gateway_instance &Gateway, const std::string &Path)
      -> bool {
    const auto Id = "probe-" + std::to_string(++ServiceChecks);
    Ledger.recordRequest(Id, true);
    const auto Answer = http_call(Gateway.Callers,
                                  httpRequest("GET", Path,
                                              {{"X-Acacianotch-Request-Id", Id},
                                               {"X-Api-Key", "key"}},
                                              ""))
                            .finish();
    return Answer.Status == HttpOk && Answer.Complete;
  }

  auto checkRecovery() -> void {
    if (!waitUntil([&] { return System.allReplicasVote(); }, RecoveryTime))
      Ledger.recordViolation("all replicas vote after the last fault", "");
    for (const auto &Gateway : System.Gateways)
      if (!waitUntil([&] { return serves(Gateway, "/safe/probe"); },
                     RecoveryTime))
        Ledger.recordViolation("service is back after the last fault",
                               Gateway.Name);
  }

  auto runPlannedWork() -> void {
    std::this_thread::sleep_for(InFlightWorkTime);
    Callers->setFaultFree(true);
    restartGateways();
    drainServer();
    Callers->setFaultFree(false);
  }

  /// Restarts the gateways in turn, sometimes two concurrently.
  auto restartGateways() -> void {
    for (std::size_t Index = 0; Index < System.Gateways.size(); ++Index) {
      auto &First = System.Gateways[Index];
      First.Process->signal(SIGTERM);
      std::this_thread::sleep_for(std::chrono::milliseconds(Random() % 500));
      if (Random() % 2 == 0 && Index + 1 < System.Gateways.size())
        restart(System.Gateways[++Index], true);
      restart(First, false);
    }
  }

  auto restart(gateway_instance &Gateway, bool Signal) -> void {
    if (Signal)
      Gateway.Process->signal(SIGTERM);
    const auto ExitCode = Gateway.Process->wait(GraceTime);
    if (ExitCode != 0)
      Ledger.recordViolation(
          "a stopping process ends by itself",
          Gateway.Name +
              (ExitCode ? " ended with " + std::to_string(*ExitCode)
                        : " still runs, " + Gateway.Process->kernelState()));
    System.start(Gateway);
    if (!waitUntil([&] { return serves(Gateway, "/safe/probe"); },
                   RecoveryTime))
      Ledger.recordViolation("a process that started serves", Gateway.Name);
  }

  auto drainServer() -> void {
    const auto Index =
        std::to_string(Random() % std::max<std::size_t>(Options.Servers, 1));
    const auto Command = [this](const std::string &Path) {
      return http_call(System.Platform, httpRequest("POST", Path, {}, ""))
          .finish()
          .Body;
    };
    const auto Id = Command("/standin/drain/" + Index);
    std::this_thread::sleep_for(DrainTime);
    const auto Before = runsAt(Id);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    const auto After = runsAt(Id);
    if (After > Before)
      Ledger.recordViolation("a leaving server gets no new work",
                             Id + " got " + std::to_string(After - Before));
    Command("/standin/renew/" + Index);
  }

  auto runs() -> json {
    return httpGet(System.Platform, "/standin/runs").json();
  }

  auto runsAt(const std::string &Server) -> std::int64_t {
    const auto Rows = runs();
    return std::count_if(Rows.begin(), Rows.end(), [&](const json &Row) {
      return Row.value("server", "") == Server;
    });
  }

  auto checkFinalState() -> void {
    const auto Acked = Operator.acknowledged();
    const auto Answer = System.sendOperatorRequest("GET", "/api/config");
    if (Answer.Status != HttpOk)
      Ledger.recordViolation("the document is read at the end", "no answer");
    Operator.checkRead(Answer, Acked);
    const auto StoredNumber = Answer.json().value("version", std::uint64_t{0});
    for (const auto &Gateway : System.Gateways)
      if (!waitUntil(
              [&] {
                return serves(Gateway,
                              "/number-" + std::to_string(StoredNumber) + "/x");
              },
              RecoveryTime))
        Ledger.recordViolation("the newest document is in force everywhere",
                               Gateway.Name);
    std::map<std::string, int> Counts;
    for (const auto &Row : runs())
      ++Counts[Row.value("id", "")];
    Ledger.checkRuns(Counts);
  }

  auto report() -> json {
    return {{"seed", Seed},
            {"requests", Ledger.requests()},
            {"answers", Ledger.answers()},
            {"refusals", Ledger.refusals()},
            {"documents", Operator.acknowledged()},
            {"route_probes", Probes->answers()},
            {"faults", Faults.counts()},
            {"broken", Ledger.violations()},
            {"folder", Options.Keep ? System.folder().string() : ""}};
  }

  const soak_options &Options;
  std::uint64_t Seed;
  std::mt19937_64 Random;
  platform_deployment System;
  ledger Ledger;
  routing_operator Operator;
  fault_injector Faults;
  std::optional<callers> Callers;
  std::optional<route_probes> Probes;
  std::uint64_t ServiceChecks = 0;
};

} // namespace

auto main(int ArgumentCount, char **Arguments) -> int {
  soak_options Options;
  CLI::App App("Runs the real processes under faults and checks the promises");
  App.add_option("--seed", Options.Seed, "First seed");
  App.add_option("--runs", Options.Runs, "Number of seeds");
  App.add_option("--seconds", Options.Seconds,
                 "Least time of each run in seconds");
  App.add_option("--gateways", Options.Gateways, "Number of gateways");
  App.add_option("--servers", Options.Servers, "Number of backend servers");
  App.add_option("--callers", Options.Callers, "Number of callers");
  App.add_flag("--keep", Options.Keep, "Keep logs and data");
  CLI11_PARSE(App, ArgumentCount, Arguments);
  bool Failed = false;
  for (std::uint64_t Run = 0; Run < Options.Runs; ++Run) {
    const auto Report = soak_run(Options, Options.Seed + Run).run();
    std::cout << Report.dump() << std::endl;
    Failed = Failed || !Report["broken"].empty();
  }
  return Failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
