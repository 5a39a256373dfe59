/// \file Rejections as misdirected at a gateway: replaced servers, models that
/// no server runs.
#include "forward_fixture.h"

using namespace acacianotch;
using namespace acacianotch::gateway_test;

namespace {

constexpr auto Misdirected = "HTTP/1.1 421 Misdirected Request\r\n"
                             "X-Acacianotch-Request-Id: $ID\r\n"
                             "X-Acacianotch-Not-Executed: 1\r\n"
                             "Content-Length: 0\r\n\r\n";

auto modelHeader(const std::string &Name) -> std::string {
  return "X-Acacianotch-Model: " + Name + "\r\n";
}

auto stream() -> scripted_answer {
  return {streamHead("X-Acacianotch-Confidence: 99\r\n") +
          chunk(eventWithId(1)) + "0\r\n\r\n"};
}

auto modelRoute(std::vector<std::string> Models) -> gateway_route {
  auto Route = makeRoute(route_kind::streaming);
  Route.Models = std::move(Models);
  return Route;
}

/// Sends a request and waits for the end of its answer.
auto requestStream(forward_fixture &Fixture, const std::string &Id,
                   const std::string &Model) -> bool {
  Fixture.Caller.Received.clear();
  Fixture.Caller.request("POST", Id, "prompt", modelHeader(Model));
  return Fixture.waitForText("\r\n0\r\n\r\n");
}

} // namespace

// Guards against an unknown model that takes servers away from all callers.
TEST_CASE("a model outside the route's list is rejected without an attempt") {
  forward_fixture Fixture(modelRoute({"small", "large"}));
  for (int Number = 0; Number < 6; ++Number) {
    Fixture.Caller.Received.clear();
    Fixture.Caller.request("POST", "odd" + std::to_string(Number), "prompt",
                           modelHeader("retired"));
    REQUIRE(Fixture.waitForText("HTTP/1.1 421"));
  }
  CHECK(Fixture.requestCount() == 0);
  Fixture.setAnswers({stream(), stream()});
  CHECK(requestStream(Fixture, "any", "*"));
  CHECK(requestStream(Fixture, "named", "large"));
}

// Guards against one caller's unknown model that ends a route for all others.
TEST_CASE("an unknown model takes no server away from other requests") {
  forward_fixture Fixture(makeRoute(route_kind::streaming));
  Fixture.setAnswers({stream(), stream()});
  REQUIRE(requestStream(Fixture, "a1", "small"));
  REQUIRE(requestStream(Fixture, "a2", "small"));
  Fixture.setAnswers({{Misdirected}, {Misdirected}, {Misdirected}});
  Fixture.Caller.Received.clear();
  Fixture.Caller.request("POST", "odd", "prompt", modelHeader("retired"));
  REQUIRE(Fixture.waitForText("HTTP/1.1 421"));
  CHECK(Fixture.requestCount() == 4);
  for (const auto *Id : {"b1", "b2", "b3", "b4"}) {
    Fixture.setAnswers({stream()});
    CHECK(requestStream(Fixture, Id, "small"));
  }
  CHECK(Fixture.requestCount() == 8);
  CHECK(Fixture.Gateway.Directory.suspendedCount() == 0);
}

// Guards against a listed model without servers that ends its route.
TEST_CASE("a listed model that no server runs leaves the others in use") {
  forward_fixture Fixture(modelRoute({"missing", "small"}));
  Fixture.setAnswers({{Misdirected}, {Misdirected}, stream()});
  REQUIRE(requestStream(Fixture, "a1", "*"));
  CHECK(Fixture.requestCount() == 3);
  CHECK((contains(Fixture.First.Requests.back(), modelHeader("small")) ||
         contains(Fixture.Second.Requests.back(), modelHeader("small"))));
  Fixture.setAnswers({stream()});
  REQUIRE(requestStream(Fixture, "a2", "*"));
  CHECK(Fixture.requestCount() == 4);
}

TEST_CASE("a corrected list of models is served at once") {
  forward_fixture Fixture(modelRoute({"missing"}));
  Fixture.setAnswers({{Misdirected}, {Misdirected}, {Misdirected}});
  Fixture.Caller.request("POST", "a1", "prompt", modelHeader("*"));
  REQUIRE(Fixture.waitForText("HTTP/1.1 503"));
  Fixture.Gateway.setRoute(modelRoute({"small"}));
  Fixture.setAnswers({stream()});
  CHECK(requestStream(Fixture, "a2", "*"));
}

// Guards against one odd answer that takes a server away for good.
TEST_CASE("a server that seems to be replaced is tried again") {
  forward_fixture Fixture(makeRoute(route_kind::non_idempotent));
  Fixture.setAnswers({{Misdirected}, completeAnswer("moved")});
  Fixture.Caller.request("POST", "v1", "body");
  REQUIRE(Fixture.waitForText("moved"));
  CHECK(Fixture.Gateway.Directory.suspendedCount() == 1);
  CHECK(Fixture.Gateway.runUntil([&] {
    Fixture.Gateway.Directory.tick();
    return Fixture.Gateway.Directory.suspendedCount() == 0;
  }));
}

// Guards against a pool that is empty after one odd answer of each server.
TEST_CASE("servers that seem to be replaced are half of a pool at most") {
  forward_fixture Fixture(makeRoute(route_kind::non_idempotent));
  Fixture.setAnswers({{Misdirected}, {Misdirected}, {Misdirected}});
  Fixture.Caller.request("POST", "v1", "body");
  REQUIRE(Fixture.waitForText("HTTP/1.1 503"));
  CHECK(Fixture.Gateway.Directory.suspendedCount() == 1);
  Fixture.Caller.Received.clear();
  Fixture.setAnswers({completeAnswer("served")});
  Fixture.Caller.request("POST", "v2", "body");
  CHECK(Fixture.waitForText("served"));
}

// Guards against a server suspended for all by one caller's request without id.
TEST_CASE("a caller cannot have its request id left out") {
  for (const auto *Separator : {",", " , "}) {
    INFO("separator '", Separator, "'");
    forward_fixture Fixture(makeRoute(route_kind::non_idempotent));
    Fixture.setAnswers({completeAnswer("one")});
    Fixture.Caller.request("POST", "a1", "body",
                           std::string("Connection: X-Acacianotch-Request-Id") +
                               Separator + "X-Other\r\nX-Other: 1\r\n");
    REQUIRE(Fixture.waitForText("one"));
    const auto &Received = Fixture.First.Requests.empty()
                               ? Fixture.Second.Requests[0]
                               : Fixture.First.Requests[0];
    CHECK(contains(Received, "X-Acacianotch-Request-Id: a1\r\n"));
    CHECK_FALSE(contains(Received, "X-Other: 1"));
  }
}

// Guards against an unservable request that has servers ask for a pause.
TEST_CASE("a prompt above the memory of the servers reaches none of them") {
  forward_fixture Fixture(makeRoute(route_kind::streaming));
  auto Table = *Fixture.Gateway.Table;
  Table.Services["s"].KvCacheTokens = 1000;
  Fixture.Gateway.Table =
      std::make_shared<const routing_table>(std::move(Table));
  const std::string Large = "X-Acacianotch-Token-Counts: 1001,10\r\n";
  Fixture.Caller.request("POST", "a1", "prompt", Large);
  REQUIRE(Fixture.waitForText("HTTP/1.1 503"));
  CHECK_FALSE(contains(Fixture.Caller.Received, "Retry-After"));
  CHECK(Fixture.requestCount() == 0);
  Fixture.Caller.Received.clear();
  Fixture.setAnswers({stream()});
  Fixture.Caller.request("POST", "a2", "prompt",
                         "X-Acacianotch-Token-Counts: 1000,10\r\n");
  CHECK(Fixture.waitForText("\r\n0\r\n\r\n"));
}
