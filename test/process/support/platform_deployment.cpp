#include "process/support/platform_deployment.h"

#include "process/support/port_block.h"

#include <cstdlib>
#include <fstream>
#include <set>
#include <stdexcept>

namespace acacianotch {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpSeeOther = 307;
constexpr int HttpServerError = 500;

/// \return the settings of a VM with limits.
auto nodeLimits(const platform_options &Options) -> std::string {
  return "memory_mb = " + std::to_string(Options.MemoryMb) +
         "\nmax_descriptors = " + std::to_string(Options.MaxDescriptors) + "\n";
}

} // namespace

auto emptyConfiguration(int Version) -> std::string {
  return nlohmann::json{{"version", Version},
                        {"routes", nlohmann::json::array()},
                        {"services", nlohmann::json::array()}}
      .dump();
}

auto quotedLoopback(std::uint16_t Port) -> std::string {
  return '"' + loopbackText(Port) + '"';
}

platform_deployment::platform_deployment(const platform_options &TheOptions)
    : Platform(nextPort()), Options(TheOptions) {
  auto Pattern =
      (std::filesystem::temp_directory_path() / "acacianotch-test-XXXXXX")
          .string();
  if (mkdtemp(Pattern.data()) == nullptr)
    throw std::runtime_error("cannot create the test folder");
  Folder = Pattern;
  for (std::size_t Index = 0; Index < Options.Replicas; ++Index)
    Replicas.push_back(makeReplica());
  for (auto &Replica : Replicas)
    Seeds += (Seeds.empty() ? "" : ", ") + quotedLoopback(Replica.Rpc);
  for (auto &Replica : Replicas)
    start(Replica, true);
  startStandin();
  for (std::size_t Index = 0; Index < Options.Gateways; ++Index) {
    Gateways.push_back(makeGateway());
    start(Gateways.back());
  }
}

platform_deployment::~platform_deployment() {
  Gateways.clear();
  Standin.reset();
  Replicas.clear();
  std::error_code Ignored;
  if (!KeepData)
    std::filesystem::remove_all(Folder, Ignored);
}

auto platform_deployment::startStandin() -> void {
  std::vector<std::string> Words{PROGRAM_FOLDER "/" + Options.Standin,
                                 "--listen", loopbackText(Platform)};
  for (std::size_t Index = 0; Index < Options.Servers; ++Index) {
    const auto Listen = nextPort();
    const auto Listed = nextPort();
    ServerRelays.push_back(std::make_unique<tcp_relay>(Listed, Listen));
    Words.emplace_back("--server");
    Words.push_back(loopbackText(Listen) + "," + loopbackText(Listed));
  }
  Standin = std::make_unique<child_process>(Words, log("standin"));
}

auto platform_deployment::makeReplica() -> control_instance {
  control_instance Replica;
  Replica.Name = "control-" + std::to_string(InstanceCount++);
  Replica.Rpc = nextPort();
  Replica.Operator = nextPort();
  Replica.Admin = nextPort();
  return Replica;
}

auto platform_deployment::makeGateway() -> gateway_instance {
  gateway_instance Gateway;
  Gateway.Name = "gateway-" + std::to_string(InstanceCount++);
  Gateway.Http = nextPort();
  Gateway.Ready = nextPort();
  Gateway.Admin = nextPort();
  Gateway.Callers = Gateway.Http;
  if (!Options.CallerRelays)
    return Gateway;
  Gateway.Callers = nextPort();
  Gateway.Relay = std::make_unique<tcp_relay>(Gateway.Callers, Gateway.Http);
  return Gateway;
}

auto platform_deployment::start(control_instance &Replica, bool Bootstrap)
    -> void {
  const auto File = Folder / (Replica.Name + ".toml");
  std::filesystem::create_directories(data(Replica));
  std::ofstream(File) << "role = \"control\"\n[node]\nid = \"" << Replica.Name
                      << "\"\nzone = \"a\"\n"
                      << nodeLimits(Options) << "[control]\n"
                      << (Replica.RelayOnly ? ""
                                            : "data_folder = \"" +
                                                  data(Replica).string() + "\"")
                      << "\nseeds = [" << Seeds
                      << "]\nbootstrap = " << (Bootstrap ? "true" : "false")
                      << "\nsnapshot_every = " << Options.SnapshotEvery
                      << "\nzones = " << nlohmann::json(Options.Zones).dump()
                      << "\noperator_listen = "
                      << quotedLoopback(Replica.Operator)
                      << "\n[gateway]\nbackends = " << quotedLoopback(Platform)
                      << "\nbackend_interval_ms = 100"
                      << "\n[rpc]\nlisten = " << quotedLoopback(Replica.Rpc)
                      << "\n[admin]\nlisten = " << quotedLoopback(Replica.Admin)
                      << "\n";
  Replica.Process = startDaemon(File, Replica.Name);
}

auto platform_deployment::start(gateway_instance &Gateway) -> void {
  start(Gateway, Seeds, Platform);
}

auto platform_deployment::start(gateway_instance &Gateway,
                                const std::string &Addresses,
                                std::uint16_t ListPort) -> void {
  const auto File = Folder / (Gateway.Name + ".toml");
  std::ofstream(File) << "role = \"gateway\"\n[node]\nid = \"" << Gateway.Name
                      << "\"\nzone = \"a\"\n"
                      << nodeLimits(Options) << "[control]\naddresses = ["
                      << Addresses
                      << "]\n[http]\nlisten = " << quotedLoopback(Gateway.Http)
                      << "\n[admin]\nlisten = " << quotedLoopback(Gateway.Admin)
                      << "\n[gateway]\nready_listen = "
                      << quotedLoopback(Gateway.Ready)
                      << "\nbackends = " << quotedLoopback(ListPort)
                      << "\nbackend_interval_ms = 100\ngrace_s = "
                      << Options.GraceSeconds
                      << "\nstartup_hold_ms = " << Options.StartupHoldMs
                      << "\n";
  Gateway.Process = startDaemon(File, Gateway.Name);
}

auto platform_deployment::sendOperatorRequest(const std::string &Method,
                                              const std::string &Path,
                                              const std::string &Body,
                                              std::chrono::milliseconds Limit)
    -> http_answer {
  http_answer Answer;
  const auto Answered = waitUntil(
      [&] {
        for (const auto &Replica : Replicas) {
          Answer =
              http_call(Replica.Operator, httpRequest(Method, Path, {}, Body))
                  .finish();
          if (Answer.Status >= HttpOk && Answer.Status != HttpSeeOther &&
              Answer.Status < HttpServerError)
            return true;
        }
        return false;
      },
      Limit);
  return Answered ? Answer : http_answer{};
}

auto platform_deployment::call(const std::string &Path,
                               const std::string &Key) const -> http_answer {
  return http_call(Gateways.front().Callers,
                   httpRequest(
                       "GET", Path,
                       {{"X-Acacianotch-Request-Id", "q1"}, {"X-Api-Key", Key}},
                       ""))
      .finish();
}

auto platform_deployment::waitServed(const std::string &Path) const -> bool {
  return waitUntil([&] { return call(Path).Status == HttpOk; });
}

auto platform_deployment::votersAre(
    const control_instance &Replica,
    const std::vector<const control_instance *> &Expected) -> bool {
  const auto Dump = httpGet(Replica.Admin, "/dump").json();
  if (!Dump.is_object())
    return false;
  std::set<std::string> Known;
  for (const auto &Row : Dump.value("members", nlohmann::json::array()))
    if (Row.value("voter", false))
      Known.insert(Row.value("address", ""));
  std::set<std::string> Wanted;
  for (const auto *Row : Expected)
    Wanted.insert(loopbackText(Row->Rpc));
  return Known == Wanted;
}

auto platform_deployment::allReplicasVote() const -> bool {
  std::vector<const control_instance *> All;
  for (const auto &Replica : Replicas)
    All.push_back(&Replica);
  return std::all_of(All.begin(), All.end(), [&](const auto *Replica) {
    const auto Dump = httpGet(Replica->Admin, "/dump").json();
    return Dump.is_object() && !Dump.value("failed", true) &&
           votersAre(*Replica, All);
  });
}

auto platform_deployment::data(const control_instance &Replica) const
    -> std::filesystem::path {
  return Folder / Replica.Name;
}

auto platform_deployment::startDaemon(const std::filesystem::path &File,
                                      const std::string &Name)
    -> std::unique_ptr<child_process> {
  return std::make_unique<child_process>(
      std::vector<std::string>{PROGRAM_FOLDER "/acacianotchd", "--settings",
                               File},
      log(Name),
      Options.Suspendable ? (Folder / (Name + ".suspended_ns")).string() : "");
}

auto platform_deployment::log(const std::string &Name) const -> std::string {
  return Folder / (Name + ".log");
}

} // namespace acacianotch
