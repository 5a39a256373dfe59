/// \file Gateways and a group of control that forms itself, as on the users'
/// platform, against a stand-in of it.
#include "process/support/child_process.h"
#include "process/support/http_call.h"
#include "process/support/port_block.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <set>

using namespace acacianotch;
using nlohmann::json;

namespace {

constexpr int HttpOk = 200;
constexpr int HttpBadRequest = 400;
constexpr int HttpSeeOther = 307;
constexpr int HttpUnauthorized = 401;
constexpr int HttpNotFound = 404;

auto loopbackText(std::uint16_t Port) -> std::string {
  return "\"127.0.0.1:" + std::to_string(Port) + "\"";
}

auto configuration(int Version, const std::string &Prefix = "/a/") -> json {
  return {{"version", Version},
          {"routes",
           {{{"name", "r"},
             {"host", "localhost"},
             {"path-prefix", Prefix},
             {"kind", "safe"},
             {"timeout-ms", 5000},
             {"target-latency-ms", 5000},
             {"service", "chat"},
             {"max-attempts", 2}}}},
          {"services", {{{"name", "chat"}, {"max-connections", 8}}}},
          {"tenants", {{{"name", "club"}, {"api-keys", {"key"}}}}}};
}

/// One control replica.
struct replica {
  std::string Name;
  std::uint16_t Rpc = 0;
  std::uint16_t Operator = 0;
  std::uint16_t Admin = 0;
  std::unique_ptr<child_process> Process;
  bool Relay = false; ///< Holds no replica.
};

/// Three seeds of control, one gateway and the stand-in.
class platform_deployment {
public:
  platform_deployment() {
    auto Pattern =
        (std::filesystem::temp_directory_path() / "acacianotch-test-XXXXXX")
            .string();
    REQUIRE(mkdtemp(Pattern.data()) != nullptr);
    Folder = Pattern;
    for (int Index = 0; Index < 3; ++Index)
      Replicas.push_back(makeReplica());
    for (auto &Each : Replicas)
      Seeds += (Seeds.empty() ? "" : ", ") + loopbackText(Each.Rpc);
    for (auto &Each : Replicas)
      start(Each, true);
    Standin = std::make_unique<child_process>(
        std::vector<std::string>{PROGRAM_FOLDER "/standin_platform", "--listen",
                                 "127.0.0.1:" + std::to_string(Platform)},
        log("standin"));
    startGateway();
  }
  ~platform_deployment() {
    Gateway.reset();
    Standin.reset();
    Replicas.clear();
    std::error_code Ignored;
    std::filesystem::remove_all(Folder, Ignored);
  }
  platform_deployment(const platform_deployment &) = delete;
  auto operator=(const platform_deployment &) -> platform_deployment & = delete;

  auto makeReplica() -> replica {
    replica Made;
    Made.Name = "control-" + std::to_string(Names++);
    Made.Rpc = nextPort();
    Made.Operator = nextPort();
    Made.Admin = nextPort();
    return Made;
  }

  auto start(replica &Each, bool Bootstrap) -> void {
    const auto File = Folder / (Each.Name + ".toml");
    std::filesystem::create_directories(data(Each));
    std::ofstream(File)
        << "role = \"control\"\n[node]\nid = \"" << Each.Name
        << "\"\nzone = \"a\"\n[control]\n"
        << (Each.Relay ? "" : "data_folder = \"" + data(Each).string() + "\"")
        << "\nseeds = [" << Seeds
        << "]\nbootstrap = " << (Bootstrap ? "true" : "false")
        << "\noperator_listen = " << loopbackText(Each.Operator)
        << "\n[gateway]\nbackends = " << loopbackText(Platform)
        << "\nbackend_interval_ms = 100"
        << "\n[rpc]\nlisten = " << loopbackText(Each.Rpc)
        << "\n[admin]\nlisten = " << loopbackText(Each.Admin) << "\n";
    Each.Process = startDaemon(File, Each.Name);
  }

  auto startGateway() -> void { startGateway(Seeds, Platform); }

  /// Starts the gateway with other \p Addresses of control than the seeds, and
  /// with the platform's list at \p ListPort.
  auto startGateway(const std::string &Addresses, std::uint16_t ListPort)
      -> void {
    const auto File = Folder / "gateway.toml";
    std::ofstream(File) << "role = \"gateway\"\n[node]\nid = \"gateway\"\n"
                           "zone = \"a\"\n[control]\naddresses = ["
                        << Addresses
                        << "]\n[http]\nlisten = " << loopbackText(Http)
                        << "\n[admin]\nlisten = " << loopbackText(Admin)
                        << "\n[gateway]\nready_listen = " << loopbackText(Ready)
                        << "\nbackends = " << loopbackText(ListPort)
                        << "\nbackend_interval_ms = 100\n";
    Gateway = startDaemon(File, "gateway");
  }

  [[nodiscard]] auto data(const replica &Each) const -> std::filesystem::path {
    return Folder / Each.Name;
  }

  /// Sends an order to the replicas in turn until one does not pass it on.
  auto order(const std::string &Method, const std::string &Path,
             const std::string &Body = "") -> http_answer {
    http_answer Answer;
    const auto Clear = waitUntil([&] {
      for (const auto &Each : Replicas) {
        Answer = http_call(Each.Operator, httpRequest(Method, Path, {}, Body))
                     .finish();
        if (Answer.Status >= HttpOk && Answer.Status != HttpSeeOther &&
            Answer.Status < 500)
          return true;
      }
      return false;
    });
    REQUIRE(Clear);
    return Answer;
  }

  auto call(const std::string &Path, const std::string &Key = "key") const
      -> http_answer {
    return http_call(Http, httpRequest("GET", Path,
                                       {{"X-Acacianotch-Request-Id", "q1"},
                                        {"X-Api-Key", Key}},
                                       ""))
        .finish();
  }

  auto waitServed(const std::string &Path) -> void {
    REQUIRE(waitUntil([&] { return call(Path).Status == HttpOk; }));
  }

  /// \return whether \p Of are the voters that \p Each knows.
  static auto votersAre(const replica &Each,
                        const std::vector<const replica *> &Of) -> bool {
    const auto Dump = httpGet(Each.Admin, "/dump").json();
    if (!Dump.is_object())
      return false;
    std::set<std::string> Known;
    for (const auto &Row : Dump.value("members", json::array()))
      if (Row.value("voter", false))
        Known.insert(Row.value("address", ""));
    std::set<std::string> Wanted;
    for (const auto *Row : Of)
      Wanted.insert("127.0.0.1:" + std::to_string(Row->Rpc));
    return Known == Wanted;
  }

  std::vector<replica> Replicas;
  std::unique_ptr<child_process> Gateway;
  std::uint16_t Http = nextPort();
  std::uint16_t Ready = nextPort();
  std::uint16_t Admin = nextPort();

  std::uint16_t Platform = nextPort();

private:
  auto startDaemon(const std::filesystem::path &File, const std::string &Name)
      -> std::unique_ptr<child_process> {
    return std::make_unique<child_process>(
        std::vector<std::string>{PROGRAM_FOLDER "/acacianotchd", "--settings",
                                 File},
        log(Name));
  }
  [[nodiscard]] auto log(const std::string &Name) const -> std::string {
    return Folder / (Name + ".log");
  }

  std::filesystem::path Folder;
  std::string Seeds;
  std::unique_ptr<child_process> Standin;
  int Names = 0;
};

} // namespace

// Guards against a path with a gap: order, replication, spread, list of backend
// servers, forwarding, refusals.
TEST_CASE("a configuration is in force at the gateway and read back as sent") {
  platform_deployment System;
  CHECK(httpGet(System.Ready, "/api/ready").Status != HttpOk);
  const auto Text = configuration(3).dump(2);
  CHECK(System.order("PUT", "/api/config", Text).Status == HttpOk);
  System.waitServed("/a/x?y=z");
  const auto Answer = System.call("/a/x?y=z");
  CHECK(Answer.Body == "/a/x?y=z");
  CHECK(Answer.header("x-acacianotch-response-seal") == "seal");
  CHECK(Answer.header("x-standin-tenant") == "club");
  CHECK(System.call("/a/x", "wrong").Status == HttpUnauthorized);
  CHECK(System.call("/b/x").Status == HttpNotFound);
  CHECK(httpGet(System.Ready, "/api/ready").Status == HttpOk);
  CHECK(System.order("PUT", "/api/config", "{").Status == HttpBadRequest);
  CHECK(System.order("PUT", "/api/config", configuration(2, "/c/").dump())
            .Status == HttpOk);
  CHECK(System.order("GET", "/api/config").Body == Text);
  System.Gateway->signal(SIGHUP);
  CHECK(System.call("/a/x").Status == HttpOk);
  System.Gateway->signal(SIGTERM);
  CHECK(System.Gateway->wait() == 0);
}

// Guards against a lost disk that votes again under its old id, and against a
// group that an operator has to repair.
TEST_CASE("a replica that lost its disk joins again by itself") {
  platform_deployment System;
  CHECK(System.order("PUT", "/api/config", configuration(3).dump()).Status ==
        HttpOk);
  auto &Lost = System.Replicas[1];
  Lost.Process->kill();
  std::filesystem::remove_all(System.data(Lost));
  System.start(Lost, false);
  REQUIRE(waitUntil([&] {
    return platform_deployment::votersAre(
        Lost, {&System.Replicas[0], &Lost, &System.Replicas[2]});
  }));
  // The repaired replica is needed for a majority now.
  System.Replicas[0].Process->kill();
  CHECK(System.order("PUT", "/api/config", configuration(4, "/d/").dump())
            .Status == HttpOk);
  System.waitServed("/d/x");
}

// Guards against a group that keeps a replica that is gone for good, and
// against gateways that know only the first members.
TEST_CASE("a replica at another address takes the place of one that is gone") {
  platform_deployment System;
  CHECK(System.order("PUT", "/api/config", configuration(3).dump()).Status ==
        HttpOk);
  System.waitServed("/a/x");
  System.Replicas[2].Process->kill();
  System.Replicas.push_back(System.makeReplica());
  System.start(System.Replicas.back(), false);
  const auto &Added = System.Replicas.back();
  REQUIRE(waitUntil([&] {
    return platform_deployment::votersAre(
        Added, {&System.Replicas[0], &System.Replicas[1], &Added});
  }));
  System.Replicas[0].Process->kill();
  CHECK(System.order("PUT", "/api/config", configuration(5, "/e/").dump())
            .Status == HttpOk);
  System.waitServed("/e/x");
}

// Guards against gateways that find no leader when none of the addresses in
// their settings leads.
TEST_CASE("a gateway that knows one follower finds the leader") {
  platform_deployment System;
  CHECK(System.order("PUT", "/api/config", configuration(3).dump()).Status ==
        HttpOk);
  System.waitServed("/a/x");
  const auto Follower = std::find_if(
      System.Replicas.begin(), System.Replicas.end(), [](const replica &Each) {
        return http_call(Each.Operator,
                         httpRequest("GET", "/api/config", {}, ""))
                   .finish()
                   .Status == HttpSeeOther;
      });
  REQUIRE(Follower != System.Replicas.end());
  System.Gateway->kill();
  System.startGateway(loopbackText(Follower->Rpc), System.Platform);
  System.waitServed("/a/x");
}

// Guards against control processes without a disk that answer operators from
// memory, and against gateways that know only such a process.
TEST_CASE("a control process without a data folder names the leader") {
  platform_deployment System;
  CHECK(System.order("PUT", "/api/config", configuration(3).dump()).Status ==
        HttpOk);
  auto Relay = System.makeReplica();
  Relay.Relay = true;
  System.start(Relay, false);
  const auto Ask = [&] {
    return http_call(Relay.Operator, httpRequest("GET", "/api/config", {}, ""))
        .finish();
  };
  REQUIRE(waitUntil([&] { return Ask().Status == HttpSeeOther; }));
  CHECK(Ask().header("location").find("/api/config") != std::string::npos);
  System.Gateway->kill();
  System.startGateway(loopbackText(Relay.Rpc), System.Platform);
  System.waitServed("/a/x");
}

// Guards against gateways that each read the platform's list, or that lose it
// while they are cut off from the platform.
TEST_CASE(
    "a gateway that cannot reach the platform gets the list from control") {
  platform_deployment System;
  CHECK(System.order("PUT", "/api/config", configuration(3).dump()).Status ==
        HttpOk);
  System.Gateway->kill();
  System.startGateway(loopbackText(System.Replicas[0].Rpc), nextPort());
  System.waitServed("/a/x");
}
