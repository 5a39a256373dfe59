/// \file Refusals of a gateway that hears nothing from control.
#include "process/support/platform_deployment.h"

#include <doctest/doctest.h>

#include <csignal>
#include <thread>

using namespace acacianotch;

namespace {

constexpr int HttpOk = 200;
constexpr int HttpUnauthorized = 401;
constexpr int HttpNotFound = 404;
constexpr int HttpUnavailable = 503;
/// Documented time from an acknowledgement until it is in force everywhere.
constexpr auto ApplyTime = std::chrono::milliseconds(2000);

auto configuration() -> std::string {
  return nlohmann::json{
      {"version", 1},
      {"routes",
       {{{"name", "known"},
         {"host", "localhost"},
         {"path-prefix", "/known/"},
         {"kind", "safe"},
         {"timeout-ms", 5000},
         {"service", "chat"},
         {"max-attempts", 2}}}},
      {"services", {{{"name", "chat"}}}},
      {"tenants", {{{"name", "club"}, {"api-keys", {"key"}}}}}}
      .dump();
}

} // namespace

// Guards against final refusals by a configuration that may be outdated: the
// route or key may have been added and acknowledged meanwhile.
TEST_CASE("a gateway that hears nothing from control refuses no route or key "
          "for good") {
  platform_deployment System;
  CHECK(System.sendOperatorRequest("PUT", "/api/config", configuration())
            .Status == HttpOk);
  REQUIRE(System.waitServed("/known/x"));
  CHECK(System.call("/unknown/x").Status == HttpNotFound);
  CHECK(System.call("/known/x", "other").Status == HttpUnauthorized);
  for (auto &Replica : System.Replicas)
    Replica.Process->signal(SIGSTOP);
  std::this_thread::sleep_for(ApplyTime);
  for (const auto &Refused :
       {System.call("/unknown/x"), System.call("/known/x", "other")}) {
    CHECK(Refused.Status == HttpUnavailable);
    CHECK(!Refused.header("retry-after").empty());
  }
  CHECK(System.call("/known/x").Status == HttpOk);
  for (auto &Replica : System.Replicas)
    Replica.Process->signal(SIGCONT);
  CHECK(waitUntil([&] {
    return System.call("/unknown/x").Status == HttpNotFound &&
           System.call("/known/x", "other").Status == HttpUnauthorized;
  }));
}
