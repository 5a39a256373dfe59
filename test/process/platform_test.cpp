/// \file Gateways and a control group that bootstraps itself, run against a
/// stand-in for the users' platform.
#include "process/support/platform_deployment.h"
#include "process/support/port_block.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <filesystem>

using namespace acacianotch;
using nlohmann::json;

namespace {

constexpr int HttpOk = 200;
constexpr int HttpBadRequest = 400;
constexpr int HttpSeeOther = 307;
constexpr int HttpUnauthorized = 401;
constexpr int HttpNotFound = 404;

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

/// Publishes a configuration and checks that it is acknowledged.
auto publish(platform_deployment &System, int Version,
             const std::string &Prefix = "/a/") -> void {
  CHECK(System
            .sendOperatorRequest("PUT", "/api/config",
                                 configuration(Version, Prefix).dump())
            .Status == HttpOk);
}

} // namespace

// Guards against a fault at any stage of the path: operator request,
// replication, distribution to gateways, list of backend servers, forwarding
// and rejection.
TEST_CASE("a configuration is in force at the gateway and read back as sent") {
  platform_deployment System;
  CHECK(httpGet(System.Gateways[0].Ready, "/api/ready").Status != HttpOk);
  const auto Text = configuration(3).dump(2);
  CHECK(System.sendOperatorRequest("PUT", "/api/config", Text).Status ==
        HttpOk);
  REQUIRE(System.waitServed("/a/x?y=z"));
  const auto Answer = System.call("/a/x?y=z");
  CHECK(Answer.Body == "/a/x?y=z");
  CHECK(Answer.header("x-acacianotch-response-seal") == "seal");
  CHECK(Answer.header("x-standin-tenant") == "club");
  CHECK(System.call("/a/x", "wrong").Status == HttpUnauthorized);
  CHECK(System.call("/b/x").Status == HttpNotFound);
  CHECK(httpGet(System.Gateways[0].Ready, "/api/ready").Status == HttpOk);
  CHECK(System.sendOperatorRequest("PUT", "/api/config", "{").Status ==
        HttpBadRequest);
  publish(System, 2, "/c/");
  CHECK(System.sendOperatorRequest("GET", "/api/config").Body == Text);
  System.Gateways[0].Process->signal(SIGHUP);
  CHECK(System.call("/a/x").Status == HttpOk);
  System.Gateways[0].Process->signal(SIGTERM);
  CHECK(System.Gateways[0].Process->wait() == 0);
}

// Guards against a process that ends because a peer has closed a connection.
TEST_CASE("processes survive the signal of a broken connection") {
  platform_deployment System;
  publish(System, 1, "/a/");
  REQUIRE(System.waitServed("/a/x"));
  for (auto &Replica : System.Replicas)
    Replica.Process->signal(SIGPIPE);
  System.Gateways[0].Process->signal(SIGPIPE);
  CHECK(System.call("/a/x").Status == HttpOk);
  publish(System, 2, "/b/");
}

// Guards against a replica that lost its disk and votes under its old id, and
// against a group that needs manual repair.
TEST_CASE("a replica that lost its disk joins again by itself") {
  platform_deployment System;
  publish(System, 3);
  auto &Lost = System.Replicas[1];
  Lost.Process->kill();
  std::filesystem::remove_all(System.data(Lost));
  System.start(Lost, false);
  REQUIRE(waitUntil([&] {
    return platform_deployment::votersAre(
        Lost, {&System.Replicas[0], &Lost, &System.Replicas[2]});
  }));
  // From here on a majority needs the repaired replica.
  System.Replicas[0].Process->kill();
  publish(System, 4, "/d/");
  REQUIRE(System.waitServed("/d/x"));
}

// Guards against a group that keeps a permanently lost replica, and against
// gateways that know only the initial members.
TEST_CASE("a replica at another address takes the place of one that is gone") {
  platform_deployment System;
  publish(System, 3);
  REQUIRE(System.waitServed("/a/x"));
  System.Replicas[2].Process->kill();
  System.Replicas.push_back(System.makeReplica());
  System.start(System.Replicas.back(), false);
  const auto &Added = System.Replicas.back();
  REQUIRE(waitUntil([&] {
    return platform_deployment::votersAre(
        Added, {&System.Replicas[0], &System.Replicas[1], &Added});
  }));
  System.Replicas[0].Process->kill();
  publish(System, 5, "/e/");
  REQUIRE(System.waitServed("/e/x"));
}

// Guards against gateways that find no leader when it is not among the
// addresses in their settings.
TEST_CASE("a gateway that knows one follower finds the leader") {
  platform_deployment System;
  publish(System, 3);
  REQUIRE(System.waitServed("/a/x"));
  const auto Follower =
      std::find_if(System.Replicas.begin(), System.Replicas.end(),
                   [](const control_instance &Replica) {
                     return http_call(Replica.Operator,
                                      httpRequest("GET", "/api/config", {}, ""))
                                .finish()
                                .Status == HttpSeeOther;
                   });
  REQUIRE(Follower != System.Replicas.end());
  System.Gateways[0].Process->kill();
  System.start(System.Gateways[0], quotedLoopback(Follower->Rpc),
               System.Platform);
  REQUIRE(System.waitServed("/a/x"));
}

// Guards against control processes without a data folder that answer operator
// requests from memory, and against gateways that cannot connect when they know
// only such a process.
TEST_CASE("a control process without a data folder names the leader") {
  platform_deployment System;
  publish(System, 3);
  auto Relay = System.makeReplica();
  Relay.RelayOnly = true;
  System.start(Relay, false);
  const auto GetConfig = [&] {
    return http_call(Relay.Operator, httpRequest("GET", "/api/config", {}, ""))
        .finish();
  };
  REQUIRE(waitUntil([&] { return GetConfig().Status == HttpSeeOther; }));
  CHECK(GetConfig().header("location").find("/api/config") !=
        std::string::npos);
  System.Gateways[0].Process->kill();
  System.start(System.Gateways[0], quotedLoopback(Relay.Rpc), System.Platform);
  REQUIRE(System.waitServed("/a/x"));
}

// Guards against gateways that depend on reading the platform's list of backend
// servers themselves, or that lose it when they cannot reach the platform.
TEST_CASE(
    "a gateway that cannot reach the platform gets the list from control") {
  platform_deployment System;
  publish(System, 3);
  System.Gateways[0].Process->kill();
  System.start(System.Gateways[0], quotedLoopback(System.Replicas[0].Rpc),
               nextPort());
  REQUIRE(System.waitServed("/a/x"));
}
