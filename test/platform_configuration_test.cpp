/// \file Parser of the platform's configuration document.
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

auto refused(const std::function<void(json &)> &Modify) -> bool {
  auto Document = sample();
  Modify(Document);
  return !decodeConfiguration(Document.dump()).ok();
}

} // namespace

// Guards against members of the document that are decoded into a wrong field
// or unit.
TEST_CASE("a configuration is decoded into a routing table") {
  const auto Table = decodeConfiguration(sample().dump());
  REQUIRE(Table.ok());
  CHECK(Table->Number == 7);
  const auto *LongPrefix = Table->match("shop.example:80", "/a/b/c");
  REQUIRE(LongPrefix != nullptr);
  CHECK(LongPrefix->Name == "r2");
  CHECK(LongPrefix->Kind == route_kind::non_idempotent);
  CHECK_FALSE(LongPrefix->repeatable());
  const auto *ShortPrefix = Table->match("SHOP.example", "/a/c");
  REQUIRE(ShortPrefix != nullptr);
  CHECK(ShortPrefix->repeatable());
  CHECK(ShortPrefix->Timeout == std::chrono::seconds(20));
  CHECK(ShortPrefix->TargetGap == std::chrono::milliseconds(1200));
  CHECK(ShortPrefix->Models.size() == 3);
  CHECK(Table->match("shop.example", "/b/") == nullptr);
  CHECK(Table->match("other", "/a/c") == nullptr);
  REQUIRE(Table->accountOf("k2") != nullptr);
  CHECK(Table->accountOf("k2")->Name == "club");
  CHECK(Table->accountOf("k3") == nullptr);
  CHECK(Table->Limits.BodyBytes == 200);
  CHECK(Table->Services.at("chat").Slots == 48);
}

// Guards against invalid documents that are acknowledged or become active.
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
