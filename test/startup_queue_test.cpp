/// \file Tests of the requests that wait until a gateway can serve.
#include "gateway/startup_queue.h"

#include "forward_fixture.h"

using namespace acacianotch;
using namespace acacianotch::gateway_test;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A port whose requests are held, with two callers.
struct held_port {
  explicit held_port(duration MaxSinceStart)
      : Queue(*Base.Loop, MaxSinceStart,
              [this](const std::shared_ptr<caller_connection> &Caller,
                     caller_request &&Request) {
                HandedOver.push_back(Request.Id);
                Caller->reply(200, {}, "");
              }) {
    auto Created = caller_server::create(
        *Base.Loop, {"127.0.0.1", 0},
        [this](const std::shared_ptr<caller_connection> &Caller,
               caller_request &&Request) {
          Queue.add(Caller, std::move(Request));
        });
    REQUIRE(Created.ok());
    Server = std::move(Created).value();
    First = std::make_unique<raw_caller>(Base, Server->port());
    Second = std::make_unique<raw_caller>(Base, Server->port());
  }

  static auto request(raw_caller &Caller, const std::string &Id,
                      const std::string &DeadlineMs,
                      const std::string &Body = "") -> void {
    Caller.request("POST", Id, Body,
                   "X-Acacianotch-Deadline-Ms: " + DeadlineMs + "\r\n");
  }

  auto waitHeld(std::size_t Count) -> bool {
    return Base.runUntil([&] { return Queue.heldCount() == Count; });
  }

  gateway Base;
  std::vector<std::string> HandedOver;
  startup_queue Queue;
  std::unique_ptr<caller_server> Server;
  std::unique_ptr<raw_caller> First;
  std::unique_ptr<raw_caller> Second;
};

} // namespace

// Guards against urgent requests that wait behind those with more time.
TEST_CASE("held requests are handed over by their deadlines") {
  held_port Port(seconds(60));
  held_port::request(*Port.First, "late", "200000");
  REQUIRE(Port.waitHeld(1));
  held_port::request(*Port.Second, "early", "100000");
  REQUIRE(Port.waitHeld(2));
  CHECK(Port.HandedOver.empty());
  Port.Queue.release();
  CHECK(Port.HandedOver == std::vector<std::string>{"early", "late"});
  CHECK(Port.Queue.heldBytes() == 0);
  CHECK(Port.Base.runUntil([&] {
    return contains(Port.First->Received, " 200 ") &&
           contains(Port.Second->Received, " 200 ");
  }));
}

// Guards against a request that is sent to a server for a caller that has left.
TEST_CASE("a held request is dropped when its caller disconnects") {
  held_port Port(seconds(60));
  held_port::request(*Port.First, "q", "100000");
  REQUIRE(Port.waitHeld(1));
  Port.First->disconnect();
  REQUIRE(Port.waitHeld(0));
  Port.Queue.release();
  CHECK(Port.HandedOver.empty());
  CHECK(Port.Queue.droppedTotal() == 1);
  CHECK(Port.Queue.heldBytes() == 0);
}

// Guards against callers that wait for the end of a start that does not come.
TEST_CASE("a request whose time for holding is over gets 503") {
  held_port Port(seconds(1));
  held_port::request(*Port.First, "q", "100000");
  REQUIRE(Port.Base.runUntil(
      [&] { return contains(Port.First->Received, " 503 "); }));
  CHECK(contains(Port.First->Received, "Retry-After: "));
  Port.Queue.release();
  CHECK(Port.HandedOver.empty());
  CHECK(Port.Queue.heldTotal() == 1);
  CHECK(Port.Queue.refusedTotal() == 1);
}

// Guards against callers without an answer when the process is told to stop.
TEST_CASE("all held requests get 503 when the gateway stops") {
  held_port Port(seconds(60));
  held_port::request(*Port.First, "q1", "100000");
  held_port::request(*Port.Second, "q2", "100000");
  REQUIRE(Port.waitHeld(2));
  Port.Queue.refuseAll("this gateway stops", milliseconds(50));
  CHECK(Port.Base.runUntil([&] {
    return contains(Port.First->Received, " 503 ") &&
           contains(Port.Second->Received, " 503 ");
  }));
  CHECK(contains(Port.First->Received, "Retry-After: 0.050"));
  CHECK(Port.HandedOver.empty());
}

// Guards against bodies that take the memory of a small VM during the start.
TEST_CASE("a body beyond the bytes that may be held is refused") {
  held_port Port(seconds(60));
  held_port::request(*Port.First, "q1", "100000", std::string(1'200'000, 'x'));
  REQUIRE(Port.waitHeld(1));
  held_port::request(*Port.Second, "q2", "100000", std::string(1'200'000, 'x'));
  CHECK(Port.Base.runUntil(
      [&] { return contains(Port.Second->Received, " 503 "); }));
  CHECK(Port.Queue.heldCount() == 1);
}

// Guards against a request that runs beyond its deadline because the time for
// which it was held does not count.
TEST_CASE("the deadline of a forwarded request counts from its arrival") {
  auto Route = makeRoute(route_kind::idempotent);
  Route.Timeout = std::chrono::hours(1);
  forward_fixture Test(Route);
  Test.Gateway.HeldFor = std::chrono::hours(1);
  Test.Caller.request("GET", "q1");
  REQUIRE(Test.waitForText(" 503 "));
  CHECK(Test.requestCount() == 0);
  Test.setAnswers({});
  Test.Gateway.HeldFor = std::chrono::hours(1) - milliseconds(300);
  Test.Caller.request("GET", "q2");
  CHECK(Test.waitForText(" 504 "));
}
