#include "soak/faults.h"

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>

namespace acacianotch::soak {

namespace {

constexpr auto ShortestFault = std::chrono::milliseconds(150);
constexpr auto LongestFaultMs = 2500;
/// Bytes of a record that was being written when power was lost.
constexpr std::size_t TornBytes = 37;

} // namespace

fault_injector::fault_injector(platform_deployment &TheSystem,
                               std::uint64_t Seed)
    : System(TheSystem), Random(Seed) {}

auto fault_injector::below(std::size_t Count) -> std::size_t {
  return Random() % Count;
}

auto fault_injector::later(std::function<void()> TakeBack) -> void {
  const auto Time =
      ShortestFault + std::chrono::milliseconds(below(LongestFaultMs));
  Due.emplace(fault_clock::now() + Time, std::move(TakeBack));
}

auto fault_injector::takeBackDue(fault_clock::time_point Now) -> void {
  while (!Due.empty() && Due.begin()->first <= Now) {
    const auto TakeBack = std::move(Due.begin()->second);
    Due.erase(Due.begin());
    TakeBack();
  }
}

auto fault_injector::heal() -> void {
  takeBackDue(fault_clock::time_point::max());
  for (auto &Each : System.ServerRelays)
    Each->setMode(relay_mode::pass);
  for (auto &Each : System.Gateways)
    if (Each.Relay != nullptr)
      Each.Relay->setMode(relay_mode::pass);
  for (auto &Each : System.Replicas)
    if (!Each.Process->running())
      System.start(Each, false);
  for (auto &Each : System.Gateways)
    if (!Each.Process->running())
      System.start(Each);
}

auto fault_injector::step() -> void {
  takeBackDue(fault_clock::now());
  std::string Kind;
  switch (below(4)) {
  case 0:
    Kind = disturbControl();
    break;
  case 1:
    Kind = disturbGateway();
    break;
  case 2:
    Kind = disturbConnections();
    break;
  default:
    Kind = disturbServers();
    break;
  }
  if (!Kind.empty())
    ++Counts[Kind];
}

auto fault_injector::disturbControl() -> std::string {
  auto &Each = System.Replicas[below(System.Replicas.size())];
  if (!Each.Process->running())
    return "";
  switch (below(6)) {
  case 0:
    killAllControl();
    return "control_kill_all";
  case 1:
    freeze(*Each.Process);
    return "control_freeze";
  case 2:
    tearLog(Each);
    return "control_torn_log";
  case 3:
    return wipeDisk(Each) ? "control_wipe" : "";
  case 4:
    Each.Process->signal(SIGTERM);
    later([this, &Each] {
      Each.Process->kill();
      System.start(Each, false);
    });
    return "control_term";
  default:
    killControl(Each);
    return "control_kill";
  }
}

auto fault_injector::killControl(control_row &Each) -> void {
  Each.Process->kill();
  later([this, &Each] {
    if (!Each.Process->running())
      System.start(Each, false);
  });
}

auto fault_injector::killAllControl() -> void {
  for (auto &Each : System.Replicas)
    Each.Process->signal(SIGKILL);
  for (auto &Each : System.Replicas)
    killControl(Each);
}

// What follows the last synced record may be torn after a loss of power.
auto fault_injector::tearLog(control_row &Each) -> void {
  Each.Process->kill();
  std::filesystem::path Newest;
  for (const auto &Entry :
       std::filesystem::directory_iterator(System.data(Each)))
    if (Entry.path().filename().string().starts_with("log") &&
        Entry.path() > Newest)
      Newest = Entry.path();
  std::string Torn(TornBytes, '\0');
  for (auto &Byte : Torn)
    Byte = static_cast<char>(below(256));
  if (!Newest.empty())
    std::ofstream(Newest, std::ios::app | std::ios::binary) << Torn;
  System.start(Each, false);
}

// One disk may be lost while the group is complete; a second one before the
// repair would be more than it tolerates.
auto fault_injector::wipeDisk(control_row &Each) -> bool {
  std::vector<const control_row *> All;
  for (auto &Row : System.Replicas) {
    if (!Row.Process->running())
      return false;
    All.push_back(&Row);
  }
  for (const auto *Row : All)
    if (Row != &Each && !platform_deployment::votersAre(*Row, All))
      return false;
  Each.Process->kill();
  std::filesystem::remove_all(System.data(Each));
  System.start(Each, false);
  // Nothing else is lost until the group is complete again.
  return waitUntil([&] { return platform_deployment::votersAre(Each, All); });
}

auto fault_injector::freeze(child_process &Process) -> void {
  Process.signal(SIGSTOP);
  later([&Process] { Process.signal(SIGCONT); });
}

auto fault_injector::disturbGateway() -> std::string {
  auto &Each = System.Gateways[below(System.Gateways.size())];
  if (!Each.Process->running())
    return "";
  switch (below(4)) {
  case 0:
    freeze(*Each.Process);
    return "gateway_freeze";
  case 1:
    Each.Process->signal(SIGHUP);
    return "gateway_hup";
  case 2:
    Each.Process->signal(SIGTERM);
    break;
  default:
    Each.Process->kill();
    break;
  }
  later([this, &Each] {
    Each.Process->kill();
    System.start(Each);
  });
  return "gateway_end";
}

auto fault_injector::disturbConnections() -> std::string {
  std::vector<tcp_relay *> Relays;
  for (auto &Each : System.ServerRelays)
    Relays.push_back(Each.get());
  for (auto &Each : System.Gateways)
    if (Each.Relay != nullptr)
      Relays.push_back(Each.Relay.get());
  if (Relays.empty())
    return "";
  auto *Relay = Relays[below(Relays.size())];
  constexpr std::array Modes{relay_mode::silent, relay_mode::one_way,
                             relay_mode::slow};
  constexpr std::array Names{"connections_silent", "connections_one_way",
                             "connections_slow"};
  const auto Kind = below(Modes.size() + 1);
  if (Kind == Modes.size()) {
    Relay->reset();
    return "connections_reset";
  }
  Relay->setMode(Modes[Kind]);
  later([Relay] { Relay->setMode(relay_mode::pass); });
  return Names[Kind];
}

auto fault_injector::disturbServers() -> std::string {
  if (System.ServerRelays.empty())
    return "";
  const auto Server = std::to_string(below(System.ServerRelays.size()));
  const auto Command = [this](const std::string &Path) {
    return http_call(System.Platform, httpRequest("POST", Path, {}, ""))
        .finish();
  };
  if (below(2) == 0) {
    Command("/standin/renew/" + Server);
    return "server_renew";
  }
  Command("/standin/drain/" + Server);
  later([Command, Server] { Command("/standin/renew/" + Server); });
  return "server_drain";
}

} // namespace acacianotch::soak
