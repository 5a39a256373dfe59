#include "process/support/deployment.h"

#include "entry/caller_auth.h"
#include "process/support/port_block.h"

#include <doctest/doctest.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace acacianotch {

namespace {

constexpr auto Secret = "process-test-cluster-secret\n";

auto tomlString(const std::string &Text) -> std::string {
  return '"' + Text + '"';
}

auto apiKeyOf(const std::string &Account) -> std::string {
  return "process-test-key-of-" + Account;
}

auto writeFile(const std::filesystem::path &File, const std::string &Text)
    -> void {
  std::ofstream(File) << Text;
}

auto readFile(const std::filesystem::path &File) -> std::string {
  std::ostringstream Text;
  Text << std::ifstream(File).rdbuf();
  return Text.str();
}

auto accountEntry(const std::string &Name, const std::string &Allowed)
    -> std::string {
  return "[[entries]]\nkind = \"account\"\nname = " + tomlString(Name) +
         "\nowner = \"test\"\n[entries.body]\nkey_sha256 = " +
         tomlString(sha256Hex(apiKeyOf(Name))) + "\nallowed = [" + Allowed +
         "]\nspend_limit = 1000000000\nweight = 1.0\nmax_in_flight = 64\n";
}

auto versionEntry(const std::string &Version) -> std::string {
  return "[[entries]]\nkind = \"version\"\nname = \"small@" + Version +
         "\"\nowner = \"test\"\n[entries.body]\nmodel = \"small\"\n"
         "version = " +
         tomlString(Version) +
         "\nstate = \"active\"\ninput_cost = 1000\noutput_cost = 2000\n"
         "quality = 0.9\ngrace_ms = 0\n";
}

constexpr auto FixedEntries = R"(
[[entries]]
kind = "class"
name = "chat"
owner = "test"
[entries.body]
priority = 1
deadline_ms = 60000
long_share = 0.5
quality_target = 0.5
long_work = false
[[entries]]
kind = "route"
name = "answers"
owner = "test"
[entries.body]
candidates = ["small"]
class = "chat"
[[entries]]
kind = "service"
name = "booking-desk"
owner = "test"
[entries.body]
paths = ["/bookings", "/courts"]
idempotent_methods = ["GET", "HEAD"]
class = "chat"
)";

} // namespace

deployment::deployment(const deployment_options &TheOptions)
    : Options(TheOptions) {
  auto Pattern =
      (std::filesystem::temp_directory_path() / "acacianotch-test-XXXXXX")
          .string();
  REQUIRE(mkdtemp(Pattern.data()) != nullptr);
  Folder = Pattern;
  writeFile(Folder / "secret", Secret);
  startControls();
  startAgents();
  for (std::size_t Index = 0; Index < Options.Entries; ++Index)
    Entries.push_back(makeNode("entry", Index));
  for (auto &Instance : Entries)
    start(Instance);
  for (auto *Instances : {&Agents, &Entries})
    for (const auto &Instance : *Instances)
      waitReady(Instance);
}

deployment::~deployment() {
  // The logs are needed to diagnose a failed check.
  if (std::getenv("ACACIANOTCH_KEEP_TEST_FOLDER") != nullptr)
    return;
  for (auto *Instances : {&Entries, &Agents, &Controls})
    for (auto &Instance : *Instances)
      Instance.Process.reset();
  std::error_code Ignored;
  std::filesystem::remove_all(Folder, Ignored);
}

auto deployment::writeSettings(const daemon_instance &Instance,
                               const std::string &Role,
                               const std::string &Lines) -> void {
  std::ostringstream Text;
  Text << "role = " << tomlString(Role)
       << "\n[node]\nid = " << tomlString(Instance.Name)
       << "\nzone = \"a\"\nsecret_file = " << tomlString(Folder / "secret")
       << "\n[admin]\nlisten = " << tomlString(loopbackText(Instance.Admin))
       << "\nrpc_listen = " << tomlString(loopbackText(Instance.AdminRpc))
       << "\n"
       << Lines;
  if (Instance.Rpc != 0)
    Text << "[rpc]\nlisten = " << tomlString(loopbackText(Instance.Rpc))
         << "\n";
  if (Instance.Http != 0)
    Text << "[http]\nlisten = " << tomlString(loopbackText(Instance.Http))
         << "\n";
  writeFile(Folder / (Instance.Name + ".toml"), Text.str());
}

auto deployment::start(daemon_instance &Instance) -> void {
  const std::string Program = PROGRAM_FOLDER "/acacianotchd";
  Instance.Process = std::make_unique<child_process>(
      std::vector<std::string>{Program, "--settings",
                               Folder / (Instance.Name + ".toml")},
      Folder / (Instance.Name + ".log"),
      Options.Suspendable
          ? (Folder / (Instance.Name + ".suspended_ns")).string()
          : "");
}

auto deployment::start(standin_instance &Instance) -> void {
  Instance.Process = std::make_unique<child_process>(
      std::vector<std::string>{PROGRAM_FOLDER "/" + Instance.Program,
                               "--listen", loopbackText(Instance.Port)},
      Folder / (Instance.Program + ".log"));
}

auto deployment::runDaemon(const daemon_instance &Instance,
                           std::vector<std::string> Arguments)
    -> std::optional<int> {
  Arguments.insert(Arguments.begin(),
                   {PROGRAM_FOLDER "/acacianotchd", "--settings",
                    Folder / (Instance.Name + ".toml")});
  return child_process(Arguments, Folder / "run.log").wait();
}

auto deployment::makeControl(std::uint64_t ReplicaId) -> daemon_instance {
  daemon_instance Instance;
  Instance.Name = "control-" + std::to_string(ReplicaId);
  Instance.Rpc = nextPort();
  Instance.Admin = nextPort();
  Instance.AdminRpc = nextPort();
  Instance.AdvertisedPort = Options.ControlRelays ? nextPort() : Instance.Rpc;
  if (Options.ControlRelays)
    Instance.Relay =
        std::make_unique<tcp_relay>(Instance.AdvertisedPort, Instance.Rpc);
  return Instance;
}

auto deployment::writeControlSettings(const daemon_instance &Instance,
                                      std::uint64_t ReplicaId) -> void {
  writeSettings(Instance, "control",
                "[control]\nreplica_id = " + std::to_string(ReplicaId) +
                    "\npeers = [" + Peers + "]\ndata_folder = " +
                    tomlString(Folder / Instance.Name) + "\n");
}

auto deployment::addControl(std::uint64_t ReplicaId) -> daemon_instance & {
  auto &Instance = Controls.emplace_back(makeControl(ReplicaId));
  writeControlSettings(Instance, ReplicaId);
  return Instance;
}

auto deployment::startControls() -> void {
  for (std::uint64_t Id = 1; Id <= Options.Replicas; ++Id) {
    const auto &Instance = Controls.emplace_back(makeControl(Id));
    Peers += (Id == 1 ? "" : ", ") +
             tomlString(std::to_string(Id) + "=" +
                        loopbackText(Instance.AdvertisedPort));
  }
  for (std::uint64_t Id = 1; Id <= Options.Replicas; ++Id) {
    auto &Instance = Controls[Id - 1];
    writeControlSettings(Instance, Id);
    REQUIRE(runDaemon(Instance, {"--initialise"}) == 0);
    start(Instance);
  }
}

auto deployment::makeNode(const std::string &Role, std::size_t Index)
    -> daemon_instance {
  daemon_instance Instance;
  Instance.Name = Role + "-" + std::to_string(Index + 1);
  Instance.Admin = nextPort();
  Instance.AdminRpc = nextPort();
  auto Addresses = controlAddresses("\", \"");
  if (Options.NodeRelays) {
    const auto Port = nextPort();
    Instance.Relay =
        std::make_unique<tcp_relay>(Port, Controls.front().AdvertisedPort);
    Addresses = loopbackText(Port);
  }
  auto Lines = "[control]\naddresses = [" + tomlString(Addresses) + "]\n";
  if (Role == "agent") {
    Instance.Rpc = nextPort();
    Lines += "[agent]\nbackend_name = " +
             tomlString("backend-" + std::to_string(Index + 1)) +
             "\nbackend_address = " +
             tomlString(loopbackText(Backends[Index].Port)) + "\n";
  } else {
    Instance.Http = nextPort();
  }
  writeSettings(Instance, Role, Lines);
  return Instance;
}

auto deployment::startAgents() -> void {
  for (std::size_t Index = 0; Index < Options.Engines + Options.Services;
       ++Index) {
    const auto IsEngine = Index < Options.Engines;
    Backends.push_back(
        {IsEngine ? "standin_engine" : "standin_service", nextPort(), nullptr});
    start(Backends.back());
    Agents.push_back(makeNode("agent", Index));
  }
  const auto Applied = apply(catalogue());
  INFO(Applied.Output);
  REQUIRE(Applied.Exit == 0);
  for (auto &Instance : Agents)
    start(Instance);
}

auto deployment::catalogue() -> std::string {
  auto Text = versionEntry("1") + versionEntry("2") + FixedEntries +
              accountEntry("club", tomlString("small")) +
              accountEntry("guest", "");
  for (std::size_t Index = 0; Index < Agents.size(); ++Index) {
    const auto IsEngine = Index < Options.Engines;
    Text += "[[entries]]\nkind = \"backend\"\nname = \"backend-" +
            std::to_string(Index + 1) +
            "\"\nowner = \"test\"\n[entries.body]\naddress = " +
            tomlString(loopbackText(Agents[Index].Rpc)) + "\nzone = \"a\"\n" +
            (IsEngine ? "versions = [\"small@1\", \"small@2\"]\nservice = \"\""
                      : "versions = []\nservice = \"booking-desk\"") +
            "\nslots = 8\nleaving = false\n";
  }
  return Text;
}

auto deployment::controlAddresses(const std::string &Separator) -> std::string {
  std::string Text;
  for (const auto &Instance : Controls)
    Text +=
        (Text.empty() ? "" : Separator) + loopbackText(Instance.AdvertisedPort);
  return Text;
}

auto deployment::runCtl(std::vector<std::string> Arguments) -> ctl_result {
  return runCtlProcess(controlAddresses(","), std::move(Arguments));
}

auto deployment::runCtlDirect(const daemon_instance &Instance,
                              std::vector<std::string> Arguments)
    -> ctl_result {
  return runCtlProcess(loopbackText(Instance.Rpc), std::move(Arguments));
}

auto deployment::runCtlProcess(const std::string &Control,
                               std::vector<std::string> Arguments)
    -> ctl_result {
  const auto Log = Folder / ("ctl-" + std::to_string(++FileCount) + ".log");
  Arguments.insert(Arguments.begin(),
                   {PROGRAM_FOLDER "/acacianotchctl", "--control", Control});
  ctl_result Result;
  child_process Process(Arguments, Log);
  Result.Exit = Process.wait().value_or(-1);
  Result.Output = readFile(Log);
  return Result;
}

auto deployment::temporaryFile(const std::string &Text) -> std::string {
  const auto File =
      Folder / ("scratch-" + std::to_string(++FileCount) + ".toml");
  writeFile(File, Text);
  return File;
}

auto deployment::apply(const std::string &Toml,
                       std::vector<std::string> Arguments) -> ctl_result {
  Arguments.insert(Arguments.begin(), {"apply", temporaryFile(Toml)});
  return runCtl(std::move(Arguments));
}

auto deployment::dump(const daemon_instance &Instance) -> json {
  return httpGet(Instance.Admin, "/dump").json();
}

auto deployment::ready(const daemon_instance &Instance) -> bool {
  return httpGet(Instance.Admin, "/readyz").Status == 200;
}

auto deployment::waitReady(const daemon_instance &Instance) -> void {
  INFO(Instance.Name);
  REQUIRE(waitUntil([&] { return ready(Instance); }));
}

auto deployment::leader() -> std::size_t {
  std::size_t Found = 0;
  REQUIRE(waitUntil([&] {
    for (Found = 0; Found < Controls.size(); ++Found) {
      auto &Instance = Controls[Found];
      if (!Instance.Process || !Instance.Process->running())
        continue;
      const auto Dump = dump(Instance);
      if (Dump.is_object() && Dump.value("leader", false))
        return true;
    }
    return false;
  }));
  return Found;
}

auto deployment::stats(std::size_t Index) -> json {
  return httpGet(Backends[Index].Port, "/standin/stats").json();
}

auto deployment::runsOf(const std::string &Text) -> int {
  int Runs = 0;
  for (std::size_t Index = 0; Index < Options.Engines; ++Index) {
    const auto Stats = stats(Index);
    if (Stats.is_object())
      Runs += Stats["by_text"].value(Text, 0);
  }
  return Runs;
}

auto deployment::runs() -> int {
  int Runs = 0;
  for (std::size_t Index = 0; Index < Options.Engines; ++Index) {
    const auto Stats = stats(Index);
    if (Stats.is_object())
      Runs += Stats.value("runs", 0);
  }
  return Runs;
}

auto deployment::bookings(const std::string &Place) -> int {
  int Sum = 0;
  for (auto Index = Options.Engines; Index < Backends.size(); ++Index) {
    const auto Stats = stats(Index);
    if (Stats.is_object())
      Sum += Stats.value(Place, 0);
  }
  return Sum;
}

auto chatBody(const std::string &Text, const std::string &Model) -> json {
  return {{"model", Model},
          {"max_tokens", 8},
          {"messages", {{{"role", "user"}, {"content", Text}}}}};
}

auto callerHeaders(const http_fields &More, const std::string &Account)
    -> http_fields {
  auto Headers = More;
  Headers["Authorization"] = "Bearer " + apiKeyOf(Account);
  Headers["Content-Type"] = "application/json";
  return Headers;
}

auto startChat(const daemon_instance &Entry, const json &Body,
               const http_fields &More) -> std::unique_ptr<http_call> {
  return std::make_unique<http_call>(
      Entry.Http, httpRequest("POST", "/v1/chat/completions",
                              callerHeaders(More), Body.dump()));
}

auto startBooking(const daemon_instance &Entry, const std::string &Key,
                  const json &Body) -> std::unique_ptr<http_call> {
  return std::make_unique<http_call>(
      Entry.Http,
      httpRequest("POST", "/v1/services/booking-desk/bookings",
                  callerHeaders({{"Idempotency-Key", Key}}), Body.dump()));
}

} // namespace acacianotch
