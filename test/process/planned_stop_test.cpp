/// \file Planned stops of a gateway under traffic.
#include "process/support/platform_deployment.h"

#include <doctest/doctest.h>

#include <csignal>
#include <set>
#include <thread>

using namespace acacianotch;
using nlohmann::json;

namespace {

constexpr int HttpOk = 200;
constexpr int HttpBadGateway = 502;
constexpr int HttpUnavailable = 503;
constexpr double GraceSeconds = 3;

auto route(const char *Kind) -> json {
  return {{"name", Kind},
          {"host", "localhost"},
          {"path-prefix", std::string("/") + Kind + "/"},
          {"kind", Kind},
          {"timeout-ms", 20'000},
          {"target-latency-ms", 20'000},
          {"service", "chat"},
          {"max-attempts", 2}};
}

auto configuration() -> std::string {
  const json Text = {{"version", 1},
                     {"routes", {route("unsafe"), route("safe")}},
                     {"services", {{{"name", "chat"}}}}};
  return Text.dump();
}

/// Bytes of a request that leaves its connection open.
auto keptRequest(const std::string &Path, const std::string &Id)
    -> std::string {
  return "POST " + Path + " HTTP/1.1\r\nHost: localhost\r\n" +
         "X-Acacianotch-Request-Id: " + Id + "\r\nContent-Length: 0\r\n\r\n";
}

/// A request sent during the stop.
struct sent_request {
  std::string Id;
  bool Kept = false; ///< On a connection that was open before.
  std::unique_ptr<http_call> Call;
};

/// A gateway with callers on kept and new connections.
struct stop_fixture {
  stop_fixture() {
    REQUIRE(System.sendOperatorRequest("PUT", "/api/config", configuration())
                .Status == HttpOk);
    REQUIRE(waitUntil([&] {
      const auto Bytes = keptRequest("/safe/x", "first");
      return http_call(port(), Bytes).readUntil("/safe/x");
    }));
  }

  [[nodiscard]] auto port() const -> std::uint16_t {
    return System.Gateways[0].Http;
  }
  [[nodiscard]] auto process() const -> child_process & {
    return *System.Gateways[0].Process;
  }

  /// Opens connections and leaves each idle after one answer.
  auto openKept(int Count) -> void {
    for (int Index = 0; Index < Count; ++Index) {
      const auto Bytes = keptRequest("/safe/kept", "k" + std::to_string(Index));
      Kept.push_back(std::make_unique<http_call>(port(), Bytes));
      REQUIRE(Kept.back()->readUntil("/safe/kept"));
    }
  }

  auto send(const std::string &Path) -> void {
    const auto Id = "s" + std::to_string(Sent.size());
    const auto Bytes = keptRequest(Path, Id);
    if (Sent.size() % 2 == 0 && !Kept.empty()) {
      Kept.back()->send(Bytes);
      Sent.push_back({Id, true, std::move(Kept.back())});
      Kept.pop_back();
    } else {
      Sent.push_back({Id, false, std::make_unique<http_call>(port(), Bytes)});
    }
  }

  /// \return the ids of all requests that reached a server.
  [[nodiscard]] auto runs() const -> std::set<std::string> {
    std::set<std::string> Ids;
    for (const auto &Run : httpGet(System.Platform, "/standin/runs").json())
      Ids.insert(Run["id"].get<std::string>());
    return Ids;
  }

  platform_deployment System{{3, 1, 2, false, GraceSeconds}};
  std::vector<std::unique_ptr<http_call>> Kept;
  std::vector<sent_request> Sent;
};

} // namespace

// Guards against requests that are forwarded in a stop and then cut off.
TEST_CASE("requests at each moment of a planned stop get a true answer") {
  stop_fixture Fixture;
  Fixture.openKept(30);
  Fixture.process().signal(SIGTERM);
  while (Fixture.process().running()) {
    for (const auto *Path : {"/unsafe/delay/900", "/safe/delay/900", "/safe/x"})
      Fixture.send(Path);
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
  }
  const auto Runs = Fixture.runs();
  for (const auto &Request : Fixture.Sent) {
    INFO("request ", Request.Id);
    const auto Answer = Request.Call->finish();
    const auto HasRun = Runs.contains(Request.Id);
    CHECK((Answer.Status == HttpOk || !HasRun));
    CHECK((Answer.Status == HttpOk || Answer.Status == HttpUnavailable ||
           Answer.Status == 0));
    CHECK((Answer.Complete || Answer.Status == 0));
  }
}

// Guards against work that outlasts the stop and ends without an answer.
TEST_CASE("work that outlasts a planned stop gets a final answer") {
  stop_fixture Fixture;
  Fixture.send("/unsafe/delay/15000");
  REQUIRE(waitUntil([&] { return Fixture.runs().contains("s0"); }));
  Fixture.process().signal(SIGTERM);
  const auto Answer = Fixture.Sent[0].Call->finish();
  CHECK(Answer.Status == HttpBadGateway);
  CHECK(Answer.Complete);
  CHECK(Fixture.process().wait());
}
