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

auto tomlText(const std::string &Text) -> std::string {
  return '"' + Text + '"';
}

auto keyOf(const std::string &Account) -> std::string {
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
  return "[[entries]]\nkind = \"account\"\nname = " + tomlText(Name) +
         "\nowner = \"test\"\n[entries.body]\nkey_sha256 = " +
         tomlText(sha256Hex(keyOf(Name))) + "\nallowed = [" + Allowed +
         "]\nspend_limit = 1000000000\nweight = 1.0\nmax_in_flight = 64\n";
}

auto versionEntry(const std::string &Version) -> std::string {
  return "[[entries]]\nkind = \"version\"\nname = \"small@" + Version +
         "\"\nowner = \"test\"\n[entries.body]\nmodel = \"small\"\n"
         "version = " +
         tomlText(Version) +
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
  makeControls();
  makeAgents();
  for (std::size_t Index = 0; Index < Options.Entries; ++Index)
    Entries.push_back(makeNode("entry", Index));
  for (auto &Row : Entries)
    start(Row);
  for (auto *Rows : {&Agents, &Entries})
    for (const auto &Row : *Rows)
      waitReady(Row);
}

deployment::~deployment() {
  // A failed check needs what the processes logged.
  if (std::getenv("ACACIANOTCH_KEEP_TEST_FOLDER") != nullptr)
    return;
  for (auto *Rows : {&Entries, &Agents, &Controls})
    for (auto &Row : *Rows)
      Row.Process.reset();
  std::error_code Ignored;
  std::filesystem::remove_all(Folder, Ignored);
}

auto deployment::writeSettings(const daemon_row &Row, const std::string &Role,
                               const std::string &Lines) -> void {
  std::ostringstream Text;
  Text << "role = " << tomlText(Role) << "\n[node]\nid = " << tomlText(Row.Name)
       << "\nzone = \"a\"\nsecret_file = " << tomlText(Folder / "secret")
       << "\n[admin]\nlisten = " << tomlText(loopbackText(Row.Admin))
       << "\nrpc_listen = " << tomlText(loopbackText(Row.AdminRpc)) << "\n"
       << Lines;
  if (Row.Rpc != 0)
    Text << "[rpc]\nlisten = " << tomlText(loopbackText(Row.Rpc)) << "\n";
  if (Row.Http != 0)
    Text << "[http]\nlisten = " << tomlText(loopbackText(Row.Http)) << "\n";
  writeFile(Folder / (Row.Name + ".toml"), Text.str());
}

auto deployment::start(daemon_row &Row) -> void {
  const std::string Program = PROGRAM_FOLDER "/acacianotchd";
  Row.Process = std::make_unique<child_process>(
      std::vector<std::string>{Program, "--settings",
                               Folder / (Row.Name + ".toml")},
      Folder / (Row.Name + ".log"));
}

auto deployment::start(standin_row &Row) -> void {
  Row.Process = std::make_unique<child_process>(
      std::vector<std::string>{PROGRAM_FOLDER "/" + Row.Program, "--listen",
                               loopbackText(Row.Port)},
      Folder / (Row.Program + ".log"));
}

auto deployment::runDaemon(const daemon_row &Row,
                           std::vector<std::string> Words)
    -> std::optional<int> {
  Words.insert(Words.begin(), {PROGRAM_FOLDER "/acacianotchd", "--settings",
                               Folder / (Row.Name + ".toml")});
  return child_process(Words, Folder / "run.log").wait();
}

auto deployment::makeControl(std::uint64_t ReplicaId) -> daemon_row {
  daemon_row Row;
  Row.Name = "control-" + std::to_string(ReplicaId);
  Row.Rpc = nextPort();
  Row.Admin = nextPort();
  Row.AdminRpc = nextPort();
  Row.Public = Options.ControlRelays ? nextPort() : Row.Rpc;
  if (Options.ControlRelays)
    Row.Relay = std::make_unique<tcp_relay>(Row.Public, Row.Rpc);
  return Row;
}

auto deployment::writeControl(const daemon_row &Row, std::uint64_t ReplicaId)
    -> void {
  writeSettings(Row, "control",
                "[control]\nreplica_id = " + std::to_string(ReplicaId) +
                    "\npeers = [" + Peers +
                    "]\ndata_folder = " + tomlText(Folder / Row.Name) + "\n");
}

auto deployment::addControl(std::uint64_t ReplicaId) -> daemon_row & {
  auto &Row = Controls.emplace_back(makeControl(ReplicaId));
  writeControl(Row, ReplicaId);
  return Row;
}

auto deployment::makeControls() -> void {
  for (std::uint64_t Id = 1; Id <= Options.Replicas; ++Id) {
    const auto &Row = Controls.emplace_back(makeControl(Id));
    Peers += (Id == 1 ? "" : ", ") +
             tomlText(std::to_string(Id) + "=" + loopbackText(Row.Public));
  }
  for (std::uint64_t Id = 1; Id <= Options.Replicas; ++Id) {
    auto &Row = Controls[Id - 1];
    writeControl(Row, Id);
    REQUIRE(runDaemon(Row, {"--initialise"}) == 0);
    start(Row);
  }
}

auto deployment::makeNode(const std::string &Role, std::size_t Index)
    -> daemon_row {
  daemon_row Row;
  Row.Name = Role + "-" + std::to_string(Index + 1);
  Row.Admin = nextPort();
  Row.AdminRpc = nextPort();
  auto Addresses = controlAddresses("\", \"");
  if (Options.NodeRelays) {
    const auto Port = nextPort();
    Row.Relay = std::make_unique<tcp_relay>(Port, Controls.front().Public);
    Addresses = loopbackText(Port);
  }
  auto Lines = "[control]\naddresses = [" + tomlText(Addresses) + "]\n";
  if (Role == "agent") {
    Row.Rpc = nextPort();
    Lines +=
        "[agent]\nbackend_name = " +
        tomlText("backend-" + std::to_string(Index + 1)) +
        "\nbackend_address = " + tomlText(loopbackText(Backends[Index].Port)) +
        "\n";
  } else {
    Row.Http = nextPort();
  }
  writeSettings(Row, Role, Lines);
  return Row;
}

auto deployment::makeAgents() -> void {
  for (std::size_t Index = 0; Index < Options.Engines + Options.Desks;
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
  for (auto &Row : Agents)
    start(Row);
}

auto deployment::catalogue() -> std::string {
  auto Text = versionEntry("1") + versionEntry("2") + FixedEntries +
              accountEntry("club", tomlText("small")) +
              accountEntry("guest", "");
  for (std::size_t Index = 0; Index < Agents.size(); ++Index) {
    const auto IsEngine = Index < Options.Engines;
    Text += "[[entries]]\nkind = \"backend\"\nname = \"backend-" +
            std::to_string(Index + 1) +
            "\"\nowner = \"test\"\n[entries.body]\naddress = " +
            tomlText(loopbackText(Agents[Index].Rpc)) + "\nzone = \"a\"\n" +
            (IsEngine ? "versions = [\"small@1\", \"small@2\"]\nservice = \"\""
                      : "versions = []\nservice = \"booking-desk\"") +
            "\nslots = 8\nleaving = false\n";
  }
  return Text;
}

auto deployment::controlAddresses(const std::string &Separator) -> std::string {
  std::string Text;
  for (const auto &Row : Controls)
    Text += (Text.empty() ? "" : Separator) + loopbackText(Row.Public);
  return Text;
}

auto deployment::client(std::vector<std::string> Words) -> ctl_result {
  return runClient(controlAddresses(","), std::move(Words));
}

auto deployment::clientOf(const daemon_row &Row, std::vector<std::string> Words)
    -> ctl_result {
  return runClient(loopbackText(Row.Rpc), std::move(Words));
}

auto deployment::runClient(const std::string &Control,
                           std::vector<std::string> Words) -> ctl_result {
  const auto Log = Folder / ("ctl-" + std::to_string(++Files) + ".log");
  Words.insert(Words.begin(),
               {PROGRAM_FOLDER "/acacianotchctl", "--control", Control});
  ctl_result Result;
  child_process Process(Words, Log);
  Result.Exit = Process.wait().value_or(-1);
  Result.Output = readFile(Log);
  return Result;
}

auto deployment::scratchFile(const std::string &Text) -> std::string {
  const auto File = Folder / ("scratch-" + std::to_string(++Files) + ".toml");
  writeFile(File, Text);
  return File;
}

auto deployment::apply(const std::string &Toml, std::vector<std::string> Words)
    -> ctl_result {
  Words.insert(Words.begin(), {"apply", scratchFile(Toml)});
  return client(std::move(Words));
}

auto deployment::dump(const daemon_row &Row) -> json {
  return httpGet(Row.Admin, "/dump").json();
}

auto deployment::ready(const daemon_row &Row) -> bool {
  return httpGet(Row.Admin, "/readyz").Status == 200;
}

auto deployment::waitReady(const daemon_row &Row) -> void {
  INFO(Row.Name);
  REQUIRE(waitUntil([&] { return ready(Row); }));
}

auto deployment::leader() -> std::size_t {
  std::size_t Found = 0;
  REQUIRE(waitUntil([&] {
    for (Found = 0; Found < Controls.size(); ++Found) {
      auto &Row = Controls[Found];
      if (!Row.Process || !Row.Process->running())
        continue;
      const auto Dump = dump(Row);
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
  Headers["Authorization"] = "Bearer " + keyOf(Account);
  Headers["Content-Type"] = "application/json";
  return Headers;
}

auto startChat(const daemon_row &Entry, const json &Body,
               const http_fields &More) -> std::unique_ptr<http_call> {
  return std::make_unique<http_call>(
      Entry.Http, httpRequest("POST", "/v1/chat/completions",
                              callerHeaders(More), Body.dump()));
}

auto startBooking(const daemon_row &Entry, const std::string &Key,
                  const json &Body) -> std::unique_ptr<http_call> {
  return std::make_unique<http_call>(
      Entry.Http,
      httpRequest("POST", "/v1/services/booking-desk/bookings",
                  callerHeaders({{"Idempotency-Key", Key}}), Body.dump()));
}

} // namespace acacianotch
