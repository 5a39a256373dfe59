/// \file Requests that reach a gateway before control runs, with the stand-in
/// platform.
#include "process/support/platform_deployment.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace acacianotch;
using nlohmann::json;

namespace {

constexpr int HttpOk = 200;
constexpr int HttpUnavailable = 503;

auto configuration() -> json {
  return {{"version", 1},
          {"routes",
           {{{"name", "r"},
             {"host", "localhost"},
             {"path-prefix", "/a/"},
             {"kind", "safe"},
             {"timeout-ms", 100000},
             {"target-latency-ms", 100000},
             {"service", "chat"},
             {"max-attempts", 2}}}},
          {"services", {{{"name", "chat"}, {"max-connections", 8}}}}};
}

auto requestWithDeadline(const std::string &Id, const std::string &Ms)
    -> std::string {
  return httpRequest(
      "GET", "/a/x",
      {{"X-Acacianotch-Request-Id", Id}, {"X-Acacianotch-Deadline-Ms", Ms}},
      "");
}

/// A deployment whose control processes have ended, and whose only gateway has
/// just started again.
struct restarted : platform_deployment {
  restarted() : platform_deployment(options()) {
    REQUIRE(sendOperatorRequest("PUT", "/api/config", configuration().dump())
                .Status == HttpOk);
    REQUIRE(waitServed("/a/x"));
    for (auto &Replica : Replicas)
      Replica.Process->kill();
    Gateways[0].Process->kill();
    start(Gateways[0]);
    REQUIRE(waitUntil([&] { return status().is_object(); }));
  }

  static auto options() -> platform_options {
    platform_options Options;
    Options.Servers = 1;
    Options.StartupHoldMs = 60000;
    return Options;
  }

  [[nodiscard]] auto status() const -> json {
    return httpGet(Gateways[0].Admin, "/dump").json();
  }

  [[nodiscard]] auto runs() const -> std::size_t {
    return httpGet(Platform, "/standin/runs").json().size();
  }
};

} // namespace

// Guards against requests that are refused although the gateway can serve them
// in time, and against requests that are held in vain.
TEST_CASE("requests that reach a gateway before control runs are served, "
          "unless they have too little time") {
  restarted System;
  const auto RunsBefore = System.runs();
  const auto Port = System.Gateways[0].Callers;
  http_call Patient(Port, requestWithDeadline("patient", "600000"));
  REQUIRE(waitUntil(
      [&] { return System.status().value("held_requests", 0) == 1; }));
  const auto Refused =
      http_call(Port, requestWithDeadline("hurried", "300")).finish();
  CHECK(Refused.Status == HttpUnavailable);
  CHECK(!Refused.header("retry-after").empty());
  CHECK(System.runs() == RunsBefore);
  CHECK(httpGet(System.Gateways[0].Ready, "/").Status == HttpUnavailable);
  for (auto &Replica : System.Replicas)
    System.start(Replica, false);
  CHECK(Patient.finish().Status == HttpOk);
  CHECK(System.runs() == RunsBefore + 1);
  CHECK(System.status().value("held_requests", -1) == 0);
}

// Guards against callers that stay without an answer when a gateway is told to
// stop before it could serve.
TEST_CASE("requests held by a gateway that is told to stop get 503") {
  restarted System;
  http_call Patient(System.Gateways[0].Callers,
                    requestWithDeadline("patient", "600000"));
  REQUIRE(waitUntil(
      [&] { return System.status().value("held_requests", 0) == 1; }));
  System.Gateways[0].Process->signal(SIGTERM);
  const auto Answer = Patient.finish();
  CHECK(Answer.Status == HttpUnavailable);
  CHECK(!Answer.header("retry-after").empty());
}
