/// \file What backend servers state in their answers about new work.
#include "forward_fixture.h"

#include <cstdlib>

using namespace acacianotch;
using namespace acacianotch::gateway_test;

namespace {

constexpr auto Leaving = "Server-Leaving: 1\r\n";

/// Inserts header lines before the end of the head.
auto withHeaders(std::string Text, const std::string &Lines) -> std::string {
  return Text.insert(Text.find("\r\n\r\n") + 2, Lines);
}

/// Both servers, each with the time of its start; 0 leaves it out of the list.
auto listServers(forward_fixture &Fixture, std::uint64_t FirstStart,
                 std::uint64_t SecondStart) -> void {
  std::vector<backend_record> Records;
  const auto Add = [&](const char *Id, std::uint16_t Port,
                       std::uint64_t Start) {
    backend_record Record;
    Record.Id = Id;
    Record.Service = "s";
    Record.Address = {"127.0.0.1", Port};
    Record.Zone = "a";
    Record.Slots = 8;
    Record.StartedMs = Start;
    if (Start != 0)
      Records.push_back(Record);
  };
  Add("i-0", Fixture.First.Port, FirstStart);
  Add("i-1", Fixture.Second.Port, SecondStart);
  Fixture.Gateway.Directory.applyList(std::move(Records));
}

/// Sends \p Count requests one after the other, all of which are answered.
auto exchange(forward_fixture &Fixture, int Count) -> void {
  static int Sent = 0;
  for (int Request = 0; Request < Count; ++Request) {
    const auto Body = "body-" + std::to_string(++Sent) + ".";
    Fixture.setAnswers({completeAnswer(Body)});
    Fixture.Caller.request("POST", "e" + std::to_string(Sent));
    REQUIRE(Fixture.waitForText(Body));
  }
}

/// Waits while the gateway runs.
auto pass(forward_fixture &Fixture, duration Time) -> void {
  const auto End = steady_clock::now() + Time;
  (void)Fixture.Gateway.runUntil([&] { return steady_clock::now() >= End; });
}

/// Gateways end suspensions and pauses in a timer.
auto startTicking(forward_fixture &Fixture) -> std::unique_ptr<loop_timer> {
  auto Timer = Fixture.Gateway.Loop->repeating(
      [&Fixture] { Fixture.Gateway.Directory.tick(); });
  Timer->start(std::chrono::milliseconds(20));
  return Timer;
}

auto rejection(const std::string &Lines) -> scripted_answer {
  return {withHeaders(NotExecuted, Lines)};
}

/// \return the value of the last Retry-After header, in seconds.
auto lastRetryAfter(const std::string &Text) -> double {
  const std::string Name = "Retry-After: ";
  const auto At = Text.rfind(Name);
  return At == std::string::npos
             ? 0
             : std::strtod(Text.c_str() + At + Name.size(), nullptr);
}

} // namespace

// Guards against new work at a server that left while the list is out of reach.
TEST_CASE("a server that states that it leaves gets no further request") {
  const auto Error = "HTTP/1.1 500 Error\r\nX-Acacianotch-Request-Id: $ID\r\n"
                     "Content-Length: 0\r\n\r\n";
  for (const auto &Answer : {completeAnswer("last").Text,
                             std::string(NotExecuted), std::string(Error)}) {
    INFO(Answer);
    forward_fixture Fixture(makeRoute(route_kind::idempotent));
    listServers(Fixture, 1, 1);
    Fixture.setAnswers(
        {{withHeaders(Answer, Leaving)}, completeAnswer("last")});
    Fixture.Caller.request("GET", "l1");
    REQUIRE(Fixture.waitForText("last"));
    const auto FirstLeaves =
        contains(Answer, "last")
            ? !Fixture.First.Requests.empty()
            : Fixture.Second.Answers->empty() &&
                  Fixture.Gateway.Directory.intake().state({"i-0", 1}, {}) ==
                      intake_state::leaving;
    const auto &Left = FirstLeaves ? Fixture.First : Fixture.Second;
    exchange(Fixture, 12);
    CHECK(Left.Requests.size() == 1);
    // Its kept connection is closed.
    CHECK(Fixture.Gateway.runUntil([&] { return Left.Closed == 1; }));
    // Neither a list that still shows it as ready nor one that misses it for a
    // while makes it usable again.
    listServers(Fixture, 1, 1);
    exchange(Fixture, 6);
    listServers(Fixture, FirstLeaves ? 0 : 1, FirstLeaves ? 1 : 0);
    listServers(Fixture, 1, 1);
    exchange(Fixture, 6);
    CHECK(Left.Requests.size() == 1);
    listServers(Fixture, 2, 2);
    exchange(Fixture, 20);
    CHECK(Left.Requests.size() > 1);
  }
}

// Guards against statements that are only read from complete answers.
TEST_CASE("the head of a stream that states leaving diverts the next request") {
  forward_fixture Fixture(makeRoute(route_kind::streaming));
  Fixture.setAnswers({{streamHead(Leaving) + chunk(eventWithId(1))}});
  Fixture.Caller.request("POST", "h1");
  REQUIRE(Fixture.waitForText("id: 1"));
  const auto &Left =
      Fixture.First.Requests.empty() ? Fixture.Second : Fixture.First;
  raw_caller Other(Fixture.Gateway, Fixture.Gateway.Server->port());
  for (int Request = 0; Request < 8; ++Request) {
    Other.Received.clear();
    Fixture.setAnswers({{streamHead() + chunk(eventWithId(1)) + "0\r\n\r\n"}});
    Other.request("POST", "n" + std::to_string(Request));
    REQUIRE(Fixture.Gateway.runUntil(
        [&] { return contains(Other.Received, "\r\n0\r\n"); }));
  }
  CHECK(Left.Requests.size() == 1);
}

// Guards against a statement that is missed because it came in a status report.
TEST_CASE("a status report that states leaving is heeded") {
  forward_fixture Fixture(makeRoute(route_kind::streaming));
  for (auto *Server : {&Fixture.First, &Fixture.Second}) {
    Server->Report = R"({"queued":0,"active":1,"runs":[["r1",1,1,0]]})";
    Server->ReportHeaders = Leaving;
  }
  Fixture.setAnswers({{streamHead() + chunk(eventWithId(1))}});
  Fixture.Caller.request("POST", "r1");
  REQUIRE(Fixture.Gateway.runUntil([&] {
    return Fixture.Gateway.Directory.intakeCounts("s").Leaving == 1;
  }));
}

// Guards against requests to a server that has asked for none for a time.
TEST_CASE("a server that rejects with Retry-After gets nothing until then") {
  forward_fixture Fixture(makeRoute(route_kind::idempotent));
  const auto Ticker = startTicking(Fixture);
  Fixture.setAnswers({rejection("Retry-After: 1.2\r\n"), completeAnswer("a.")});
  const auto RejectedAt = steady_clock::now();
  Fixture.Caller.request("GET", "p1");
  REQUIRE(Fixture.waitForText("a."));
  const auto &Paused =
      Fixture.Gateway.Directory.intake().state(
          {"i-0", 0}, steady_clock::now()) == intake_state::paused
          ? Fixture.First
          : Fixture.Second;
  while (steady_clock::now() - RejectedAt < std::chrono::milliseconds(1100))
    exchange(Fixture, 1);
  CHECK(Paused.Requests.size() == 1);
  // Its suspension ends, at the latest, a quarter of the time after it.
  CHECK(Fixture.Gateway.runUntil([&] {
    exchange(Fixture, 1);
    return Paused.Requests.size() > 1;
  }));
}

// Guards against the load that returns all at once at the end of a pause.
TEST_CASE("after a pause a server gets one request until it has accepted it") {
  forward_fixture Fixture(makeRoute(route_kind::idempotent));
  Fixture.Gateway.listBackends({&Fixture.First});
  const auto Ticker = startTicking(Fixture);
  Fixture.setAnswers({rejection("Retry-After: 0.3\r\n")});
  Fixture.Caller.request("GET", "q1");
  REQUIRE(Fixture.waitForText("HTTP/1.1 503"));
  // A gateway notices the end of a pause at its next tick.
  auto &Directory = Fixture.Gateway.Directory;
  const auto Server = Directory.backends().at("i-0")->Handle;
  REQUIRE(Fixture.Gateway.runUntil(
      [&] { return Directory.board().eligible(Server); }));
  CHECK(Directory.intakeCounts("s").Resuming == 1);
  std::vector<std::unique_ptr<raw_caller>> Callers;
  for (int Caller = 0; Caller < 10; ++Caller) {
    Callers.push_back(std::make_unique<raw_caller>(
        Fixture.Gateway, Fixture.Gateway.Server->port()));
    Callers.back()->request("GET", "c" + std::to_string(Caller));
  }
  REQUIRE(
      Fixture.Gateway.runUntil([&] { return Fixture.requestCount() == 2; }));
  pass(Fixture, std::chrono::milliseconds(150));
  CHECK(Fixture.requestCount() == 2);
  // The others were rejected at once.
  const auto Rejected =
      std::count_if(Callers.begin(), Callers.end(), [](const auto &Caller) {
        return contains(Caller->Received, "HTTP/1.1 503");
      });
  CHECK(Rejected == 9);
}

// Guards against callers that come back while all servers still want no work.
TEST_CASE("a rejection states the time that the servers have asked for") {
  forward_fixture Fixture(makeRoute(route_kind::idempotent));
  Fixture.setAnswers(
      {rejection("Retry-After: 20\r\n"), rejection("Retry-After: 8\r\n")});
  Fixture.Caller.request("GET", "t1");
  REQUIRE(Fixture.waitForText("HTTP/1.1 503"));
  const auto RetryAfter = lastRetryAfter(Fixture.Caller.Received);
  CHECK(RetryAfter > 7.0);
  CHECK(RetryAfter <= 10.0);
  Fixture.Caller.Received.clear();
  Fixture.Caller.request("GET", "t2");
  REQUIRE(Fixture.waitForText("HTTP/1.1 503"));
  CHECK(Fixture.requestCount() == 2);
}
