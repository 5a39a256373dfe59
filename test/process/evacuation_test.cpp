/// \file Evacuation of an availability zone, run against the stand-in platform.
#include "process/support/platform_deployment.h"

#include <doctest/doctest.h>

#include <set>

using namespace acacianotch;
using nlohmann::json;

namespace {

constexpr int HttpOk = 200;
constexpr int HttpNotFound = 404;
constexpr int HttpUnavailable = 503;

auto configuration() -> json {
  return {{"version", 1},
          {"routes",
           {{{"name", "r"},
             {"host", "localhost"},
             {"path-prefix", "/a/"},
             {"kind", "safe"},
             {"timeout-ms", 5000},
             {"target-latency-ms", 5000},
             {"service", "chat"},
             {"max-attempts", 2}}}},
          {"services", {{{"name", "chat"}, {"max-connections", 8}}}}};
}

/// A deployment with one backend server in zone `a` and one in zone `b`.
struct two_zones : platform_deployment {
  two_zones() : platform_deployment(options()) {
    REQUIRE(sendOperatorRequest("PUT", "/api/config", configuration().dump())
                .Status == HttpOk);
    REQUIRE(waitServed("/a/x"));
  }

  static auto options() -> platform_options {
    platform_options Options;
    Options.Servers = 2;
    Options.Zones = {"a", "b"};
    return Options;
  }

  auto order(const std::string &Method, const std::string &Zone) -> int {
    return sendOperatorRequest(Method, "/api/evacuations/" + Zone).Status;
  }

  /// \return the zones that \p Gateway keeps free of new work.
  static auto zonesKnownTo(const gateway_instance &Gateway)
      -> std::set<std::string> {
    std::set<std::string> Zones;
    const auto Dump = httpGet(Gateway.Admin, "/dump").json();
    if (Dump.is_object())
      for (const auto &Row : Dump.value("backends", json::array()))
        if (Row.value("evacuated", false))
          Zones.insert(Row.value("zone", ""));
    return Zones;
  }

  auto waitZones(const std::set<std::string> &Expected) -> bool {
    return waitUntil([&] { return zonesKnownTo(Gateways[0]) == Expected; });
  }

  /// \return the ids of the servers that ran \p Count further requests.
  auto serversUsed(int Count) -> std::set<std::string> {
    const auto Before = httpGet(Platform, "/standin/runs").json().size();
    for (auto Index = 0; Index < Count; ++Index)
      CHECK(call("/a/x").Status == HttpOk);
    const auto Runs = httpGet(Platform, "/standin/runs").json();
    std::set<std::string> Used;
    for (auto Index = Before; Index < Runs.size(); ++Index)
      Used.insert(Runs[Index].value("server", ""));
    return Used;
  }
};

} // namespace

// Guards against new requests to an evacuated zone, an order that is forgotten
// when all processes end, and a zone that gets no work after the end.
TEST_CASE("an evacuated zone gets no request until its end, across a loss of "
          "all processes") {
  two_zones System;
  REQUIRE(System.order("POST", "a") == HttpOk);
  CHECK(System.order("POST", "a") == HttpOk);
  REQUIRE(System.waitZones({"a"}));
  CHECK(System.serversUsed(40) == std::set<std::string>{"i-1-0"});
  for (auto &Replica : System.Replicas)
    Replica.Process->kill();
  System.Gateways[0].Process->kill();
  for (auto &Replica : System.Replicas)
    System.start(Replica, false);
  System.start(System.Gateways[0]);
  REQUIRE(System.waitServed("/a/x"));
  REQUIRE(System.waitZones({"a"}));
  CHECK(System.serversUsed(40) == std::set<std::string>{"i-1-0"});
  REQUIRE(System.order("DELETE", "a") == HttpOk);
  CHECK(System.order("DELETE", "a") == HttpOk);
  REQUIRE(System.waitZones({}));
  CHECK(System.serversUsed(40).contains("i-0-0"));
}

// Guards against an order that is lost at a gateway which was away, and against
// callers that wait although no server can take their requests.
TEST_CASE("with all zones evacuated requests are refused at once") {
  two_zones System;
  System.Gateways[0].Process->kill();
  REQUIRE(System.order("POST", "a") == HttpOk);
  REQUIRE(System.order("POST", "b") == HttpOk);
  System.start(System.Gateways[0]);
  REQUIRE(System.waitZones({"a", "b"}));
  REQUIRE(waitUntil(
      [&] { return System.call("/a/x").header("retry-after") == "1.000"; }));
  CHECK(System.call("/a/x").Status == HttpUnavailable);
}

// Guards against an order for a zone that does not exist, which would be
// acknowledged and have no effect.
TEST_CASE("the evacuation of an unknown zone is an error") {
  two_zones System;
  CHECK(System.order("POST", "elsewhere") == HttpNotFound);
  CHECK(System.order("POST", "") == HttpNotFound);
  CHECK(System.waitZones({}));
}
