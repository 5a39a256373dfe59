/// \file Broken answers of a backend server on the path through real processes.
#include "process/support/deployment.h"
#include "process/support/platform_deployment.h"

#include <doctest/doctest.h>

using namespace acacianotch;

namespace {

constexpr int HttpOk = 200;
constexpr int HttpBadGateway = 502;

/// More than the system of a server receives for a process that does not read,
/// and less than entries and gateways accept.
constexpr std::size_t UploadBytes = 3UL * 1024 * 1024;

const std::string Markers[] = {"!status", "!name", "!early"};

constexpr auto Configuration = R"({
  "version": 1,
  "routes": [{"name": "r", "host": "localhost", "path-prefix": "/a/",
              "kind": "safe", "timeout-ms": 15000, "target-latency-ms": 15000,
              "service": "chat", "max-attempts": 2}],
  "services": [{"name": "chat", "max-connections": 8}],
  "tenants": [{"name": "club", "api-keys": ["key"]}]})";

/// Sends a long request through a gateway.
auto upload(const platform_deployment &System, const std::string &Path)
    -> http_answer {
  return http_call(System.Gateways.front().Callers,
                   httpRequest("POST", Path,
                               {{"X-Acacianotch-Request-Id", "u1"},
                                {"X-Api-Key", "key"}},
                               std::string(UploadBytes, 'x')))
      .finish();
}

/// Sends a long request for the service `booking-desk` through an entry.
auto upload(const deployment &System, const std::string &Path) -> http_answer {
  return http_call(System.Entries.front().Http,
                   httpRequest("POST", "/v1/services/booking-desk" + Path,
                               callerHeaders({{"Idempotency-Key", Path}}),
                               std::string(UploadBytes, 'x')))
      .finish();
}

} // namespace

// Guards against broken answers that a gateway passes on, or for which it lets
// the caller wait until the deadline.
TEST_CASE("a gateway answers 502 for broken answers") {
  platform_options Options;
  Options.Replicas = 1;
  Options.Standin = "standin_broken";
  platform_deployment System(Options);
  REQUIRE(
      System.sendOperatorRequest("PUT", "/api/config", Configuration).Status ==
      HttpOk);
  REQUIRE(System.waitServed("/a/sound"));
  CHECK(upload(System, "/a/sound").Body == "/a/sound");
  for (const auto &Marker : Markers) {
    CAPTURE(Marker);
    // A server that fails again and again is suspended for a while.
    REQUIRE(System.waitServed("/a/sound"));
    const auto Answer = upload(System, "/a/" + Marker);
    CHECK(Answer.Status == HttpBadGateway);
    CHECK(Answer.Complete);
    CHECK(Answer.Body.empty());
    CHECK(Answer.header("x-acacianotch-response-seal").empty());
  }
}

// Guards against the same at an agent, whose entry must not report a success.
TEST_CASE("an entry answers 502 for broken answers at an agent") {
  deployment System({.Replicas = 1, .Entries = 1, .Engines = 0, .Services = 1});
  auto &Server = System.Backends.front();
  Server.Process.reset();
  Server.Program = "standin_broken";
  System.start(Server);
  REQUIRE(waitUntil(
      [&] { return httpGet(Server.Port, "/sound").Status == HttpOk; }));
  CHECK(upload(System, "/bookings/sound").Body == "/bookings/sound");
  for (const auto &Marker : Markers) {
    CAPTURE(Marker);
    const auto Answer = upload(System, "/bookings/" + Marker);
    INFO(Answer.Body);
    CHECK(Answer.Status == HttpBadGateway);
    CHECK(Answer.error("verdict") == "may_have_run");
  }
}
