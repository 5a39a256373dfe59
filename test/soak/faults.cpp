#include "soak/faults.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>
#include <vector>

namespace acacianotch::soak {

namespace {

constexpr auto ShortestFault = std::chrono::milliseconds(150);
constexpr auto LongestFaultMs = 2500;
/// Size of the incomplete record that a power loss leaves at the end of a log.
constexpr std::size_t TornBytes = 37;

} // namespace

fault_injector::fault_injector(platform_deployment &TheSystem,
                               std::uint64_t Seed)
    : System(TheSystem), Random(Seed), CommonRandom(Seed) {}

auto fault_injector::randomBelow(std::size_t Count) -> std::size_t {
  return Random() % Count;
}

auto fault_injector::scheduleRevert(std::function<void()> Revert) -> void {
  const auto Time =
      ShortestFault + std::chrono::milliseconds(randomBelow(LongestFaultMs));
  PendingReverts.emplace(fault_clock::now() + Time, std::move(Revert));
}

auto fault_injector::revertDue(fault_clock::time_point Now) -> void {
  while (!PendingReverts.empty() && PendingReverts.begin()->first <= Now) {
    const auto Revert = std::move(PendingReverts.begin()->second);
    PendingReverts.erase(PendingReverts.begin());
    Revert();
  }
}

// Disks come first: a replica does not start on one that cannot be written to.
auto fault_injector::revertAll() -> void {
  for (auto &Disk : BlockedDisks)
    Disk->release();
  BlockedDisks.clear();
  revertDue(fault_clock::time_point::max());
  for (auto &Relay : System.ServerRelays)
    Relay->setMode(relay_mode::pass);
  for (auto &Gateway : System.Gateways)
    if (Gateway.Relay != nullptr)
      Gateway.Relay->setMode(relay_mode::pass);
  for (auto &Replica : System.Replicas)
    if (!Replica.Process->running())
      System.start(Replica, false);
  for (auto &Gateway : System.Gateways)
    if (!Gateway.Process->running())
      System.start(Gateway);
}

auto fault_injector::injectFault() -> void {
  revertDue(fault_clock::now());
  std::string Kind;
  switch (randomBelow(4)) {
  case 0:
    Kind = injectControlFault();
    break;
  case 1:
    Kind = injectGatewayFault();
    break;
  case 2:
    Kind = injectConnectionFault();
    break;
  default:
    Kind = injectServerFault();
    break;
  }
  if (!Kind.empty())
    ++Counts[Kind];
  injectCommonFault();
}

// Draws from a generator of its own, so that a seed still stands for the same
// faults of single processes.
auto fault_injector::injectCommonFault() -> void {
  constexpr int OneOf = 8;
  switch (CommonRandom() % OneOf) {
  case 0:
    restartAll();
    ++Counts["restart_all"];
    return;
  case 1:
    holdUpAll();
    ++Counts["hold_up_all"];
    return;
  default:
    return;
  }
}

auto fault_injector::injectControlFault() -> std::string {
  auto &Replica = System.Replicas[randomBelow(System.Replicas.size())];
  if (!Replica.Process->running())
    return "";
  switch (randomBelow(8)) {
  case 0:
    killAllControl();
    return "control_kill_all";
  case 1:
    freeze(Replica.Process);
    return "control_freeze";
  case 2:
    appendTornRecord(Replica);
    return "control_torn_log";
  case 3:
    return wipeDataFolder(Replica) ? "control_wipe" : "";
  case 4:
    blockDisk(Replica);
    return "control_unwritable_disk";
  case 5:
    Replica.Process->signal(SIGTERM);
    scheduleRevert([this, &Replica] {
      Replica.Process->kill();
      System.start(Replica, false);
    });
    return "control_term";
  case 6:
    suspendVm(Replica.Process);
    return "control_suspend";
  default:
    killControl(Replica);
    return "control_kill";
  }
}

auto fault_injector::killControl(control_instance &Replica) -> void {
  Replica.Process->kill();
  scheduleRevert([this, &Replica] {
    if (!Replica.Process->running())
      System.start(Replica, false);
  });
}

auto fault_injector::killAllControl() -> void {
  for (auto &Replica : System.Replicas)
    Replica.Process->signal(SIGKILL);
  for (auto &Replica : System.Replicas)
    killControl(Replica);
}

auto fault_injector::restartAll() -> void {
  for (auto &Gateway : System.Gateways)
    Gateway.Process->signal(SIGKILL);
  killAllControl();
  for (auto &Gateway : System.Gateways) {
    Gateway.Process->kill();
    scheduleRevert([this, &Gateway] {
      if (!Gateway.Process->running())
        System.start(Gateway);
    });
  }
}

// The processes of a shared machine all wait for a processor at times.
auto fault_injector::holdUpAll() -> void {
  constexpr int HoldUps = 3;
  constexpr auto Shortest = std::chrono::milliseconds(200);
  constexpr auto Spread = std::chrono::milliseconds(400);
  std::vector<child_process *> Processes;
  for (auto &Replica : System.Replicas)
    Processes.push_back(Replica.Process.get());
  for (auto &Gateway : System.Gateways)
    Processes.push_back(Gateway.Process.get());
  for (int Count = 0; Count < HoldUps; ++Count) {
    for (auto *Process : Processes)
      Process->signal(SIGSTOP);
    std::this_thread::sleep_for(Shortest);
    std::shuffle(Processes.begin(), Processes.end(), CommonRandom);
    for (auto *Process : Processes) {
      Process->signal(SIGCONT);
      std::this_thread::sleep_for(Spread / Processes.size());
    }
  }
}

// After a power loss, the bytes after the last synced record can be garbage.
auto fault_injector::appendTornRecord(control_instance &Replica) -> void {
  Replica.Process->kill();
  std::filesystem::path Newest;
  for (const auto &Entry :
       std::filesystem::directory_iterator(System.data(Replica)))
    if (Entry.path().filename().string().starts_with("log") &&
        Entry.path() > Newest)
      Newest = Entry.path();
  std::string Garbage(TornBytes, '\0');
  for (auto &Byte : Garbage)
    Byte = static_cast<char>(randomBelow(256));
  if (!Newest.empty())
    std::ofstream(Newest, std::ios::app | std::ios::binary) << Garbage;
  System.start(Replica, false);
}

// A disk may be lost only while the group is complete: it does not tolerate the
// loss of a second disk before the first is repaired.
auto fault_injector::wipeDataFolder(control_instance &Replica) -> bool {
  std::vector<const control_instance *> All;
  for (auto &Other : System.Replicas) {
    if (!Other.Process->running())
      return false;
    All.push_back(&Other);
  }
  for (const auto *Other : All)
    if (Other != &Replica && !platform_deployment::votersAre(*Other, All))
      return false;
  Replica.Process->kill();
  std::filesystem::remove_all(System.data(Replica));
  System.start(Replica, false);
  // Injects no other fault until the group is complete again.
  return waitUntil(
      [&] { return platform_deployment::votersAre(Replica, All); });
}

// Lasts until revertAll(), because a disk is written to once in several
// changes.
auto fault_injector::blockDisk(const control_instance &Replica) -> void {
  BlockedDisks.push_back(
      std::make_unique<unwritable_disk>(System.data(Replica)));
}

// The process may be replaced by a new one before the fault is reverted.
auto fault_injector::freeze(std::unique_ptr<child_process> &Process) -> void {
  Process->signal(SIGSTOP);
  scheduleRevert([&Process] { Process->signal(SIGCONT); });
}

auto fault_injector::suspendVm(std::unique_ptr<child_process> &Process)
    -> void {
  Process->suspendVm();
  scheduleRevert([&Process] { Process->resumeVm(); });
}

auto fault_injector::injectGatewayFault() -> std::string {
  auto &Gateway = System.Gateways[randomBelow(System.Gateways.size())];
  if (!Gateway.Process->running())
    return "";
  switch (randomBelow(5)) {
  case 0:
    freeze(Gateway.Process);
    return "gateway_freeze";
  case 1:
    Gateway.Process->signal(SIGHUP);
    return "gateway_hup";
  case 2:
    Gateway.Process->signal(SIGTERM);
    break;
  case 3:
    suspendVm(Gateway.Process);
    return "gateway_suspend";
  default:
    Gateway.Process->kill();
    break;
  }
  scheduleRevert([this, &Gateway] {
    Gateway.Process->kill();
    System.start(Gateway);
  });
  return "gateway_end";
}

auto fault_injector::injectConnectionFault() -> std::string {
  std::vector<tcp_relay *> Relays;
  for (auto &ServerRelay : System.ServerRelays)
    Relays.push_back(ServerRelay.get());
  for (auto &Gateway : System.Gateways)
    if (Gateway.Relay != nullptr)
      Relays.push_back(Gateway.Relay.get());
  if (Relays.empty())
    return "";
  auto *Relay = Relays[randomBelow(Relays.size())];
  constexpr std::array Modes{relay_mode::blackhole, relay_mode::one_way,
                             relay_mode::slow};
  constexpr std::array Names{"connections_silent", "connections_one_way",
                             "connections_slow"};
  const auto Kind = randomBelow(Modes.size() + 1);
  if (Kind == Modes.size()) {
    Relay->reset();
    return "connections_reset";
  }
  Relay->setMode(Modes[Kind]);
  scheduleRevert([Relay] { Relay->setMode(relay_mode::pass); });
  return Names[Kind];
}

auto fault_injector::injectServerFault() -> std::string {
  if (System.ServerRelays.empty())
    return "";
  const auto Server = std::to_string(randomBelow(System.ServerRelays.size()));
  const auto Command = [this](const std::string &Path) {
    return http_call(System.Platform, httpRequest("POST", Path, {}, ""))
        .finish();
  };
  if (randomBelow(2) == 0) {
    Command("/standin/renew/" + Server);
    return "server_renew";
  }
  Command("/standin/drain/" + Server);
  scheduleRevert([Command, Server] { Command("/standin/renew/" + Server); });
  return "server_drain";
}

} // namespace acacianotch::soak
