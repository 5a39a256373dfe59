/// \file Gateways and prompts that crash backend servers.
#include "gateway_fixture.h"

using namespace acacianotch;
using namespace acacianotch::gateway_test;

namespace {

constexpr auto Prompt = "X-Acacianotch-Prompt-Prefix: a:800,b:100,c:50\r\n";
constexpr auto StreamHead =
    "HTTP/1.1 200 OK\r\nX-Acacianotch-Request-Id: $ID\r\n"
    "X-Acacianotch-Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n";

auto resumableRoute() -> gateway_route {
  gateway_route Route;
  Route.Kind = route_kind::streaming;
  Route.Timeout = std::chrono::seconds(10);
  Route.TargetLatency = std::chrono::seconds(10);
  Route.MaxAttempts = 3;
  Route.Resumable = true;
  return Route;
}

struct watch_fixture {
  watch_fixture()
      : First(*Gateway.Loop), Second(*Gateway.Loop),
        Caller(Gateway, Gateway.Server->port()) {
    Gateway.setRoute(resumableRoute());
    Gateway.listBackends({&First, &Second});
    Second.Answers = First.Answers;
  }
  auto send(const std::string &Id) -> void {
    Caller.request("POST", Id, "x", Prompt);
  }
  auto receive(const std::string &Part) -> bool {
    return Gateway.runUntil([&] {
      return Caller.Received.find(Part) != std::string::npos || Caller.Closed;
    });
  }
  [[nodiscard]] auto requestCount() const -> std::size_t {
    return First.Requests.size() + Second.Requests.size();
  }

  gateway Gateway;
  scripted_backend First;
  scripted_backend Second;
  raw_caller Caller;
};

} // namespace

// Guards against crashes that the other gateways never hear of.
TEST_CASE(
    "servers that end as the answer begins are reported with the prompt") {
  watch_fixture Fixture;
  scripted_answer Crash{std::string(StreamHead) + "7\r\nid: 1\nd\r\n"};
  Crash.Close = true;
  *Fixture.First.Answers = {Crash, Crash, Crash};
  Fixture.send("d1");
  REQUIRE(Fixture.Gateway.runUntil([&] { return Fixture.Caller.Closed; }));
  const auto &Report = Fixture.Gateway.Crashes.report();
  REQUIRE(Report.Broken.size() == Fixture.requestCount());
  CHECK(Report.Broken.size() >= 2);
  CHECK(Report.Broken[0].Parts == std::vector<part_id>{0xa, 0xb, 0xc});
  CHECK(Report.Broken[0].Begun);
}

// Guards against requests that still reach servers after the verdict.
TEST_CASE("a prompt with a blocked part reaches no server, but for one try") {
  watch_fixture Fixture;
  crash_verdicts Verdicts;
  Verdicts.Blocked = {0xb};
  Fixture.Gateway.Crashes.accept(Verdicts);
  Fixture.send("d1");
  REQUIRE(Fixture.receive("HTTP/1.1 503"));
  CHECK(Fixture.Caller.Received.find("Retry-After") == std::string::npos);
  CHECK(Fixture.requestCount() == 0);
  Verdicts.Probes = {0xb};
  Fixture.Gateway.Crashes.accept(Verdicts);
  scripted_answer Crash{std::string(StreamHead)};
  Crash.Close = true;
  *Fixture.First.Answers = {Crash, Crash, Crash};
  Fixture.send("d2");
  REQUIRE(Fixture.Gateway.runUntil([&] { return Fixture.Caller.Closed; }));
  CHECK(Fixture.requestCount() == 1);
}

// Guards against innocent parts that are blocked because answers go unreported.
TEST_CASE("a whole answer to a watched part is reported") {
  watch_fixture Fixture;
  crash_verdicts Verdicts;
  Verdicts.Watched = {0xa, 0xd};
  Fixture.Gateway.Crashes.accept(Verdicts);
  *Fixture.First.Answers = {{std::string(StreamHead) + "0\r\n\r\n"}};
  Fixture.send("s1");
  REQUIRE(Fixture.receive("0\r\n\r\n"));
  CHECK(Fixture.Gateway.Crashes.report().Answered == std::vector<part_id>{0xa});
}

// Guards against evidence that is lost with an exchange that failed.
TEST_CASE("a report is repeated until the leader has accepted it") {
  crash_watch Watch;
  Watch.recordBroken("s", {{1, 10}}, true);
  CHECK(Watch.report().Broken.size() == 1);
  Watch.recordBroken("t", {{2, 10}}, false);
  CHECK(Watch.report().Broken[0].Server == "s");
  Watch.accept({});
  CHECK(Watch.report().Broken[0].Server == "t");
}
