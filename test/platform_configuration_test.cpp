/// \file The platform's configuration document.
#include "platform/configuration_codec.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

using namespace acacianotch;
using nlohmann::json;
using platform::decodeConfiguration;

namespace {

auto sample() -> json {
  return json::parse(R"({
    "version": 7,
    "routes": [
      {"name": "r1", "host": "Shop.Example", "path-prefix": "/a/",
       "kind": "streaming", "timeout-ms": 20000, "target-latency-ms": 3000,
       "priority": 1, "sizes": ["s", "m", "l"], "service": "chat",
       "max-attempts": 3, "allow-anonymous": false, "stream-resume": true,
       "target-gap-ms": 1200},
      {"name": "r2", "host": "shop.example", "path-prefix": "/a/b/",
       "kind": "unsafe", "timeout-ms": 600,
       "traffic-split": [{"service": "chat", "weight": 0},
                         {"service": "desk", "weight": 10}]}],
    "services": [
      {"name": "chat", "max-connections": 330,
       "engine": {"slots": 48, "kv-capacity-tokens": 553448,
                  "models": [{"name": "s", "cost": 0.016}]}},
      {"name": "desk", "max-connections": 130}],
    "limits": {"max-header-bytes": 100, "max-body-bytes": 200,
               "header-timeout-ms": 300, "idle-timeout-ms": 400},
    "tenants": [{"name": "club", "api-keys": ["k1", "k2"], "priority": 2}]
  })");
}

auto refused(const std::function<void(json &)> &Spoil) -> bool {
  auto Document = sample();
  Spoil(Document);
  return !decodeConfiguration(Document.dump()).ok();
}

} // namespace

// Guards against members of the document that are read as something else.
TEST_CASE("a configuration becomes a routing table") {
  const auto Table = decodeConfiguration(sample().dump());
  REQUIRE(Table.ok());
  CHECK(Table->Number == 7);
  const auto *Long = Table->match("shop.example:80", "/a/b/c");
  REQUIRE(Long != nullptr);
  CHECK(Long->Name == "r2");
  CHECK(Long->Kind == route_kind::non_idempotent);
  CHECK_FALSE(Long->repeatable());
  const auto *Short = Table->match("SHOP.example", "/a/c");
  REQUIRE(Short != nullptr);
  CHECK(Short->repeatable());
  CHECK(Short->Timeout == std::chrono::seconds(20));
  CHECK(Short->TargetGap == std::chrono::milliseconds(1200));
  CHECK(Short->Models.size() == 3);
  CHECK(Table->match("shop.example", "/b/") == nullptr);
  CHECK(Table->match("other", "/a/c") == nullptr);
  REQUIRE(Table->accountOf("k2") != nullptr);
  CHECK(Table->accountOf("k2")->Name == "club");
  CHECK(Table->accountOf("k3") == nullptr);
  CHECK(Table->Limits.BodyBytes == 200);
  CHECK(Table->Services.at("chat").Slots == 48);
}

// Guards against invalid documents that are acknowledged or in force.
TEST_CASE("invalid configurations are refused") {
  const auto Text = sample().dump();
  CHECK_FALSE(decodeConfiguration(Text.substr(0, Text.size() / 2)).ok());
  CHECK_FALSE(decodeConfiguration(R"({"version":1,"version":2})").ok());
  CHECK_FALSE(decodeConfiguration(std::string(100'000, '[')).ok());
  CHECK_FALSE(decodeConfiguration("").ok());
  CHECK_FALSE(decodeConfiguration("[]").ok());
  CHECK(refused([](json &D) { D["routes"][0]["service"] = "gone"; }));
  CHECK(refused([](json &D) { D["routes"][1]["path-prefix"] = "/a/"; }));
  CHECK(refused(
      [](json &D) { D["routes"][1]["traffic-split"][1]["weight"] = 0; }));
  CHECK(refused([](json &D) { D["routes"][0]["timeout-ms"] = 0; }));
  CHECK(refused([](json &D) { D["routes"][0].erase("timeout-ms"); }));
  CHECK(refused([](json &D) { D["routes"][0]["kind"] = "other"; }));
  CHECK(refused([](json &D) { D["version"] = "7"; }));
  CHECK(refused([](json &D) { D.erase("routes"); }));
  CHECK(refused([](json &D) {
    D["tenants"].push_back({{"name", "other"}, {"api-keys", {"k1"}}});
  }));
}
