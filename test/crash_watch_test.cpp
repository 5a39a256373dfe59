/// \file Gateways and requests that crash backend servers.
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
  /// Changes to a route without prompts, with two client accounts.
  auto usePlainRoute() -> void {
    auto Route = resumableRoute();
    Route.Kind = route_kind::idempotent;
    Gateway.setRoute(Route);
    auto Table = *Gateway.Table;
    Table.HasAccounts = true;
    Table.AccountsByKey["k1"] = {"one", 0};
    Table.AccountsByKey["k2"] = {"two", 0};
    Gateway.Table = std::make_shared<const routing_table>(std::move(Table));
  }
  auto sendPlain(const std::string &Id, const std::string &Body,
                 const std::string &Key = "k1") -> void {
    Caller.Received.clear();
    Caller.request("POST", Id, Body, "X-Api-Key: " + Key + "\r\n");
  }
  /// Sends a plain request that crashes its servers. \return its fingerprint.
  auto crashPlain(const std::string &Id, const std::string &Body,
                  const std::string &Key = "k1") -> part_id {
    const scripted_answer Crash{"", false, true};
    *First.Answers = {Crash, Crash, Crash};
    sendPlain(Id, Body, Key);
    REQUIRE(receive("HTTP/1.1 502"));
    const auto Report = Gateway.Crashes.report();
    Gateway.Crashes.accept({});
    Gateway.Directory.applyList({});
    Gateway.listBackends({&First, &Second});
    REQUIRE_FALSE(Report.Broken.empty());
    CHECK(Report.Broken[0].Parts.empty());
    return Report.Broken.back().Request;
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

// Guards against a repeat that is not recognised, or a wrong one that is.
TEST_CASE("repeats of a plain request have one fingerprint, others have not") {
  part_id Crashing = 0;
  {
    watch_fixture Fixture;
    Fixture.usePlainRoute();
    Crashing = Fixture.crashPlain("c1", "body");
    CHECK(Crashing != 0);
    CHECK(Fixture.crashPlain("c2", "body") == Crashing);
    CHECK(Fixture.crashPlain("c3", "other") != Crashing);
    CHECK(Fixture.crashPlain("c4", "body", "k2") != Crashing);
  }
  watch_fixture Other;
  Other.usePlainRoute();
  CHECK(Other.crashPlain("c5", "body") == Crashing);
}

// Guards against a known crashing request that is sent, or others held back.
TEST_CASE("a blocked plain request reaches no server, others of its path do") {
  watch_fixture Fixture;
  Fixture.usePlainRoute();
  crash_verdicts Verdicts;
  Verdicts.Blocked = {Fixture.crashPlain("c1", "body")};
  Fixture.Gateway.Crashes.accept(Verdicts);
  const auto Before = Fixture.requestCount();
  Fixture.sendPlain("c2", "body");
  REQUIRE(Fixture.receive("HTTP/1.1 503"));
  CHECK(Fixture.Caller.Received.find("Retry-After") == std::string::npos);
  CHECK(Fixture.requestCount() == Before);
  const scripted_answer Answer{
      "HTTP/1.1 200 OK\r\nX-Acacianotch-Request-Id: $ID\r\n"
      "X-Acacianotch-Response-Seal: seal\r\nContent-Length: 2\r\n\r\nok"};
  *Fixture.First.Answers = {Answer, Answer};
  Fixture.sendPlain("s1", "other");
  CHECK(Fixture.receive("HTTP/1.1 200"));
  Fixture.sendPlain("s2", "body", "k2");
  CHECK(Fixture.receive("HTTP/1.1 200"));
}

// Guards against suspecting sound requests at servers that others crashed.
TEST_CASE("a plain request that was answered lately is no suspect") {
  crash_watch Watch;
  Watch.recordAnswered({}, 7);
  Watch.recordBroken("s", {}, 7, false);
  Watch.recordBroken("s", {}, 8, false);
  const auto &Report = Watch.report();
  REQUIRE(Report.Broken.size() == 1);
  CHECK(Report.Broken[0].Request == 8);
}

// Guards against memory that grows with the number of requests.
TEST_CASE("requests that were answered are remembered for a bounded time") {
  answered_requests Answered;
  const time_point Start = time_point{} + std::chrono::hours(1);
  Answered.insert(1, Start);
  CHECK(Answered.contains(1, Start + std::chrono::seconds(14)));
  CHECK_FALSE(Answered.contains(1, Start + std::chrono::seconds(31)));
  for (part_id Request = 1; Request <= 20'000; ++Request)
    Answered.insert(Request, Start + std::chrono::minutes(2));
  CHECK(Answered.contains(20'000, Start + std::chrono::minutes(2)));
  CHECK_FALSE(Answered.contains(2, Start + std::chrono::minutes(2)));
}

// Guards against evidence that is lost with an exchange that failed.
TEST_CASE("a report is repeated until the leader has accepted it") {
  crash_watch Watch;
  Watch.recordBroken("s", {{1, 10}}, 3, true);
  CHECK(Watch.report().Broken.size() == 1);
  Watch.recordBroken("t", {{2, 10}}, 4, false);
  CHECK(Watch.report().Broken[0].Server == "s");
  Watch.accept({});
  CHECK(Watch.report().Broken[0].Server == "t");
}
