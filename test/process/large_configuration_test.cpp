/// \file Configurations near the size limit of the operators' interface.
#include "process/support/platform_deployment.h"

#include <doctest/doctest.h>

using namespace acacianotch;
using nlohmann::json;

namespace {

constexpr int HttpOk = 200;
constexpr int Routes = 20'000;

/// \return a configuration whose last route has the prefix /last/.
auto largeConfiguration(int Version) -> json {
  json List = json::array();
  for (int Index = 0; Index < Routes; ++Index) {
    const auto Name = std::to_string(Index);
    List.push_back(
        {{"name", "r" + Name},
         {"host", "localhost"},
         {"path-prefix", Index + 1 == Routes ? "/last/" : "/p" + Name + "/"},
         {"kind", "safe"},
         {"timeout-ms", 5000},
         {"target-latency-ms", 5000},
         {"priority", 1},
         {"sizes", {"small-model", "middle-model", "large-model"}},
         {"service", "chat"},
         {"max-attempts", 2},
         {"allow-anonymous", false},
         {"session-affinity", true},
         {"stream-resume", true},
         {"target-gap-ms", 1200}});
  }
  return {{"version", Version},
          {"routes", List},
          {"services", {{{"name", "chat"}, {"max-connections", 8}}}},
          {"tenants", {{{"name", "club"}, {"api-keys", {"key"}}}}}};
}

} // namespace

// Guards against a document that takes longer to decode than the lease lasts.
TEST_CASE("a configuration of 20,000 routes is acknowledged and in force") {
  platform_deployment System;
  const auto Text = largeConfiguration(3).dump();
  REQUIRE(System.sendOperatorRequest("PUT", "/api/config", Text).Status ==
          HttpOk);
  CHECK(System.waitServed("/last/x"));
  const auto Read = System.sendOperatorRequest("GET", "/api/config");
  CHECK(Read.Status == HttpOk);
  CHECK(Read.Body == Text);
}
