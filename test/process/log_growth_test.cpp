/// \file Size of the replicated log on the disk.
#include "core/random_type.h"
#include "process/support/platform_deployment.h"

#include <doctest/doctest.h>

#include <filesystem>

using namespace acacianotch;
using nlohmann::json;

namespace {

constexpr int HttpOk = 200;
constexpr std::uintmax_t MaxLogBytes = 10U << 20U;

/// \return a configuration of about 1 MB that cannot be compressed far.
auto denseConfiguration(int Version, seeded_random &Random) -> std::string {
  constexpr int Routes = 1000;
  constexpr int NameBytes = 900;
  json List = json::array();
  for (int Index = 0; Index < Routes; ++Index) {
    std::string Name;
    for (int Byte = 0; Byte < NameBytes; ++Byte)
      Name += static_cast<char>('!' + randomBelow(Random, 94));
    List.push_back({{"name", Name},
                    {"host", "localhost"},
                    {"path-prefix", "/p" + std::to_string(Index) + "/"},
                    {"kind", "safe"},
                    {"timeout-ms", 5000},
                    {"service", "chat"}});
  }
  return json{{"version", Version},
              {"routes", List},
              {"services", {{{"name", "chat"}}}}}
      .dump();
}

} // namespace

// Guards against a log of few but large records that fills the disk.
TEST_CASE("the log of large documents is compacted by its size") {
  constexpr std::uint64_t Seed = 23;
  seeded_random Random(Seed);
  INFO("seed ", Seed);
  platform_deployment System;
  for (int Version = 1; Version <= 24; ++Version)
    REQUIRE(System
                .sendOperatorRequest("PUT", "/api/config",
                                     denseConfiguration(Version, Random))
                .Status == HttpOk);
  for (const auto &Replica : System.Replicas)
    CHECK(std::filesystem::file_size(System.data(Replica) / "log") <
          MaxLogBytes);
}
