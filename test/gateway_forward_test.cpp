/// \file Forwarding: complete answers, retries, resumed streams, refusals.
#include "forward_fixture.h"

using namespace acacianotch;
using namespace acacianotch::gateway_test;

namespace {

auto applyRollout(forward_fixture &Fixture, const service_rollout &Rollout)
    -> void {
  catalogue_view View;
  node_update Update;
  Update.Epoch = epoch{1};
  Update.Revision = revision{1};
  Update.Chunks = 1;
  Update.Payload =
      encodeChanges({{std::string(ServiceRolloutPrefix) + "s", Rollout}});
  REQUIRE(View.apply(Update, {}).ok());
  Fixture.Gateway.Directory.applyCatalogue(View);
}

/// Applies a rollout of the service to v2.
auto applyRollout(forward_fixture &Fixture, bool Shifted) -> void {
  service_rollout Rollout;
  Rollout.Service = "s";
  Rollout.To = "v2";
  Rollout.Shifted = Shifted;
  Rollout.Load = {0.1, 2};
  applyRollout(Fixture, Rollout);
}

/// Lists the first server with version v1 and the second one with v2.
auto listTwoVersions(forward_fixture &Fixture) -> void {
  backend_record Old;
  Old.Id = "old";
  Old.Service = "s";
  Old.Version = "v1";
  Old.Slots = 8;
  Old.Address = {"127.0.0.1", Fixture.First.Port};
  auto New = Old;
  New.Id = "new";
  New.Version = "v2";
  New.Address = {"127.0.0.1", Fixture.Second.Port};
  Fixture.Gateway.Directory.applyList({Old, New});
}

/// Starts a rollout: the first server has the serving version, the second one
/// the candidate.
auto setUpRollout(forward_fixture &Fixture) -> void {
  listTwoVersions(Fixture);
  applyRollout(Fixture, false);
}

/// Sends a stream request that the first server chosen leaves unanswered, while
/// both servers send \p Report on request, and checks that it is retried and
/// completes.
auto checkStallRetry(forward_fixture &Fixture, const std::string &Report)
    -> void {
  Fixture.First.Report = Report;
  Fixture.Second.Report = Report;
  Fixture.setAnswers(
      {{""}, {streamHead() + chunk(eventWithId(1)) + "0\r\n\r\n"}});
  Fixture.Caller.request("POST", "r1", "prompt");
  REQUIRE(Fixture.waitForText("0\r\n\r\n"));
  CHECK(Fixture.Gateway.Context.Counters.Retries == 1);
}

} // namespace

// Guards against changes to an answer: status, seal and body come from the
// server.
TEST_CASE("an answer is forwarded unchanged on a persistent connection") {
  forward_fixture Fixture(makeRoute(route_kind::non_idempotent));
  Fixture.setAnswers({completeAnswer("one"), completeAnswer("two")});
  Fixture.Caller.request("POST", "a1", "body");
  REQUIRE(Fixture.waitForText("one"));
  CHECK(contains(Fixture.Caller.Received, "X-Acacianotch-Response-Seal: seal"));
  CHECK(contains(Fixture.Caller.Received, "X-Acacianotch-Request-Id: a1"));
  Fixture.Caller.request("POST", "a2", "body");
  CHECK(Fixture.Gateway.runUntil([&] { return Fixture.requestCount() == 2; }));
}

// Guards against a second execution of work that may run once at most: the
// connection was reset without an answer, so the request may have been
// executed.
TEST_CASE("non-idempotent work whose answer is lost is not repeated") {
  forward_fixture Fixture(makeRoute(route_kind::non_idempotent));
  Fixture.setAnswers({{"", false, true}});
  Fixture.Caller.request("POST", "b1", "body");
  REQUIRE(Fixture.waitForText("HTTP/1.1 502"));
  CHECK(Fixture.requestCount() == 1);
}

// Guards against a request that fails when one server refuses it, although
// another one would execute it.
TEST_CASE("work that did not run is sent to another server") {
  forward_fixture Fixture(makeRoute(route_kind::non_idempotent));
  Fixture.setAnswers({{NotExecuted}, completeAnswer("done")});
  Fixture.Caller.request("POST", "c1", "body");
  REQUIRE(
      Fixture.Gateway.runUntil([&] { return Fixture.requestCount() == 2; }));
  CHECK(Fixture.First.Requests.size() == 1);
  CHECK(Fixture.Second.Requests.size() == 1);
}

// Guards against a wrong verdict "not run", and against refusals without
// Retry-After.
TEST_CASE("work that all servers refuse is refused with Retry-After") {
  forward_fixture Fixture(makeRoute(route_kind::non_idempotent));
  Fixture.setAnswers({{NotExecuted}, {NotExecuted}, {NotExecuted}});
  Fixture.Caller.request("POST", "d1", "body");
  REQUIRE(Fixture.waitForText("HTTP/1.1 503"));
  CHECK(contains(Fixture.Caller.Received, "Retry-After: "));
}

// Guards against delivering the answer to another request.
TEST_CASE("a late answer to an earlier request is skipped") {
  forward_fixture Fixture(makeRoute(route_kind::idempotent));
  const std::string Stale = "HTTP/1.1 200 OK\r\nX-Acacianotch-Request-Id: "
                            "old\r\nContent-Length: 5\r\n\r\nstale";
  auto Answer = completeAnswer("fresh");
  Answer.Text = Stale + Answer.Text;
  Fixture.setAnswers({Answer});
  Fixture.Caller.request("GET", "e1");
  REQUIRE(Fixture.waitForText("fresh"));
  CHECK_FALSE(contains(Fixture.Caller.Received, "stale"));
}

// Guards against a stale refusal on a kept connection that ends running work.
TEST_CASE("a repeated refusal of an earlier request refuses no other request") {
  for (const auto *RepeatedId : {"", "X-Acacianotch-Request-Id: u1\r\n"}) {
    const std::string Id(RepeatedId);
    INFO("id in the repeated refusal: ", Id);
    auto Route = makeRoute(route_kind::non_idempotent);
    Route.MaxAttempts = 1;
    forward_fixture Fixture(Route);
    Fixture.Gateway.listBackends({&Fixture.First});
    auto Answer = completeAnswer("done");
    Answer.Text = "HTTP/1.1 503 Busy\r\nX-Acacianotch-Not-Executed: 1\r\n" +
                  Id + "Content-Length: 0\r\n\r\n" + Answer.Text;
    Fixture.setAnswers({{NotExecuted}, Answer});
    Fixture.Caller.request("POST", "u1", "pay");
    REQUIRE(Fixture.waitForText("HTTP/1.1 503"));
    Fixture.Caller.Received.clear();
    Fixture.Caller.request("POST", "u2", "pay");
    REQUIRE(Fixture.waitForText("HTTP/1.1"));
    CHECK_FALSE(contains(Fixture.Caller.Received, "HTTP/1.1 503"));
    CHECK(Fixture.requestCount() == 2);
  }
}

// Guards against an error of the next server that is written into a stream.
TEST_CASE(
    "an error of the next server does not enter a stream that has begun") {
  for (const auto *Status : {"400 Bad", "404 Gone", "429 Many", "500 Error",
                             "503 Busy", "302 Found"}) {
    INFO(Status);
    auto Route = makeRoute(route_kind::streaming);
    Route.MaxAttempts = 2;
    forward_fixture Fixture(Route);
    const scripted_answer Broken{streamHead() + chunk(eventWithId(1)), true};
    const scripted_answer Error{std::string("HTTP/1.1 ") + Status +
                                "\r\nX-Acacianotch-Request-Id: $ID\r\n"
                                "Content-Length: 9\r\n\r\nerrortext"};
    Fixture.setAnswers({Broken, Error, Error, Error});
    Fixture.Caller.request("POST", "g1", "prompt");
    REQUIRE(Fixture.Gateway.runUntil([&] { return Fixture.Caller.Closed; }));
    const auto &All = Fixture.Caller.Received;
    CHECK(All.rfind("HTTP/1.1") == 0);
    CHECK_FALSE(contains(All, "errortext"));
    CHECK_FALSE(contains(All, "0\r\n\r\n"));
  }
}

// Guards against a stream without a length that is cut but looks complete.
TEST_CASE("a stream that ends inside an event goes on at another server") {
  forward_fixture Fixture(makeRoute(route_kind::streaming));
  scripted_answer Broken{std::string(AnswerHead) + "\r\n" + eventWithId(1) +
                         "id: 2\nda"};
  Broken.Close = true;
  scripted_answer Rest{std::string(AnswerHead) + "\r\n" + eventWithId(2) +
                       eventWithId(3)};
  Rest.Close = true;
  Fixture.setAnswers({Broken, Rest});
  Fixture.Caller.request("POST", "g1", "prompt");
  REQUIRE(Fixture.waitForText("0\r\n\r\n"));
  const auto &All = Fixture.Caller.Received;
  for (int Id = 1; Id <= 3; ++Id)
    CHECK(contains(All, eventWithId(Id)));
  CHECK_FALSE(contains(All, "id: 2\nda\r\n"));
  CHECK(Fixture.requestCount() == 2);
}

// Guards against a truncated answer that looks complete; idempotent work is
// repeated instead.
TEST_CASE("a truncated answer is not delivered") {
  forward_fixture Fixture(makeRoute(route_kind::idempotent));
  auto Truncated = completeAnswer("whole answer");
  Truncated.Text.resize(Truncated.Text.size() - 4);
  Truncated.Close = true;
  Fixture.setAnswers({Truncated, completeAnswer("whole answer")});
  Fixture.Caller.request("GET", "f1");
  Fixture.Gateway.runUntil([&] { return Fixture.requestCount() >= 2; });
  CHECK(Fixture.requestCount() >= 2);
  CHECK_FALSE(contains(Fixture.Caller.Received, "whole an\r"));
}

// Guards against missing, duplicate or partial events after a stream breaks
// off.
TEST_CASE("a broken stream resumes at another server after the last event") {
  forward_fixture Fixture(makeRoute(route_kind::streaming));
  const scripted_answer Broken{streamHead() + chunk(eventWithId(1)) +
                                   chunk(eventWithId(2) + "id: 3\nda"),
                               true};
  const scripted_answer Rest{
      streamHead() + chunk(eventWithId(3) + eventWithId(4)) + "0\r\n\r\n"};
  Fixture.setAnswers({Broken, Rest});
  // Whichever server is chosen first breaks off; the other one resumes.
  Fixture.Caller.request("POST", "g1", "prompt");
  REQUIRE(
      Fixture.Gateway.runUntil([&] { return Fixture.requestCount() == 2; }));
  REQUIRE(Fixture.First.Requests.size() == 1);
  REQUIRE(Fixture.Second.Requests.size() == 1);
  CHECK(contains(Fixture.First.Requests[0], "Last-Event-Id: 2") !=
        contains(Fixture.Second.Requests[0], "Last-Event-Id: 2"));
  REQUIRE(Fixture.waitForText("0\r\n\r\n"));
  for (int Id = 1; Id <= 4; ++Id) {
    const auto &All = Fixture.Caller.Received;
    const auto At = All.find(eventWithId(Id));
    CHECK(At != std::string::npos);
    CHECK(All.find(eventWithId(Id), At + 1) == std::string::npos);
  }
}

// Guards against an engine that continues its work after the caller
// disconnected.
TEST_CASE("a disconnect of the caller cancels the work") {
  forward_fixture Fixture(makeRoute(route_kind::streaming));
  Fixture.setAnswers({{streamHead() + chunk(eventWithId(1))}});
  Fixture.Caller.request("POST", "h1", "prompt");
  REQUIRE(Fixture.waitForText("id: 1"));
  Fixture.Caller.disconnect();
  CHECK(Fixture.Gateway.runUntil(
      [&] { return Fixture.First.Closed + Fixture.Second.Closed == 1; }));
  CHECK(Fixture.Gateway.Context.Counters.CallerLeft == 1);
}

// Guards against requests that wait for a server that never answers.
TEST_CASE("a request has its final answer at the route's timeout") {
  auto Route = makeRoute(route_kind::non_idempotent);
  Route.Timeout = std::chrono::milliseconds(100);
  forward_fixture Fixture(Route);
  Fixture.Caller.request("POST", "i1", "body");
  REQUIRE(Fixture.waitForText("HTTP/1.1 504"));
}

// Guards against idempotent work that waits for a stalled server until the
// timeout.
TEST_CASE("an attempt at a stalled server is abandoned for another server") {
  auto Route = makeRoute(route_kind::idempotent);
  Route.TargetLatency = std::chrono::milliseconds(100);
  forward_fixture Fixture(Route);
  Fixture.Caller.request("GET", "j1");
  REQUIRE(
      Fixture.Gateway.runUntil([&] { return Fixture.requestCount() >= 2; }));
  CHECK(Fixture.First.Requests.size() == 1);
  CHECK(Fixture.Second.Requests.size() == 1);
}

// Guards against forwarding an uncertain answer of the smallest model, and
// against a second head.
TEST_CASE("an uncertain answer is replaced by that of the largest model") {
  auto Route = makeRoute(route_kind::streaming);
  Route.Models = {"small", "large"};
  forward_fixture Fixture(Route);
  const scripted_answer Uncertain{
      streamHead("X-Acacianotch-Confidence: 20\r\n") + chunk(eventWithId(1))};
  const scripted_answer Confident{
      streamHead("X-Acacianotch-Confidence: 95\r\n") + chunk(eventWithId(1)) +
      "0\r\n\r\n"};
  Fixture.setAnswers({Uncertain, Confident});
  Fixture.Caller.request("POST", "k1", "prompt", "X-Acacianotch-Model: *\r\n");
  REQUIRE(
      Fixture.Gateway.runUntil([&] { return Fixture.requestCount() == 2; }));
  const auto &All = Fixture.First.Requests.size() == 2
                        ? Fixture.First.Requests
                        : Fixture.Second.Requests;
  if (All.size() == 2) {
    CHECK(contains(All[0], "X-Acacianotch-Model: small"));
    CHECK(contains(All[1], "X-Acacianotch-Model: large"));
  }
  CHECK(Fixture.Gateway.Context.Counters.Escalations == 1);
}

// Guards against streams that a stopping gateway starts and has to abort.
TEST_CASE("a stopping gateway starts no stream") {
  forward_fixture Fixture(makeRoute(route_kind::streaming));
  Fixture.Gateway.Context.Stopping = true;
  Fixture.Caller.request("POST", "n1", "prompt");
  REQUIRE(Fixture.waitForText("HTTP/1.1 503"));
  CHECK(contains(Fixture.Caller.Received, "Retry-After: "));
  CHECK(Fixture.requestCount() == 0);
}

// Guards against short requests that a stopping gateway refuses too early.
TEST_CASE("a stopping gateway answers non-streaming requests") {
  forward_fixture Fixture(makeRoute(route_kind::non_idempotent));
  Fixture.Gateway.Context.Stopping = true;
  Fixture.setAnswers({completeAnswer("done")});
  Fixture.Caller.request("POST", "n2", "body");
  CHECK(Fixture.waitForText("done"));
}

// Guards against requests that are repeated on a failing candidate.
TEST_CASE(
    "a request failing on the candidate is retried on the serving version") {
  forward_fixture Fixture(makeRoute(route_kind::idempotent));
  setUpRollout(Fixture);
  Fixture.Second.Answers = std::make_shared<std::deque<scripted_answer>>();
  *Fixture.Second.Answers = {
      {std::string("HTTP/1.1 500 Internal Server Error\r\n"
                   "X-Acacianotch-Request-Id: $ID\r\n"
                   "Content-Length: 0\r\n\r\n")}};
  // The request id selects the version; some ids select the candidate.
  for (int Index = 0; Fixture.Second.Requests.empty() && Index < 200; ++Index) {
    *Fixture.First.Answers = {completeAnswer("good"), completeAnswer("good")};
    raw_caller Caller(Fixture.Gateway, Fixture.Gateway.Server->port());
    Caller.request("GET", "t" + std::to_string(Index));
    REQUIRE(Fixture.Gateway.runUntil(
        [&] { return contains(Caller.Received, "HTTP/1.1 "); }));
    CHECK(contains(Caller.Received, "good"));
  }
  CHECK(Fixture.Second.Requests.size() == 1);
}

// Guards against malformed requests, as used for request smuggling, that reach
// a server.
TEST_CASE("malformed requests get an error and reach no server") {
  forward_fixture Fixture(makeRoute(route_kind::non_idempotent));
  Fixture.Caller.send("POST /x HTTP/1.1\r\nHost: h\r\n"
                      "X-Acacianotch-Request-Id: l1\r\nContent-Length: 3\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  REQUIRE(Fixture.waitForText("HTTP/1.1 400"));
  CHECK(Fixture.Gateway.runUntil([&] { return Fixture.Caller.Closed; }));
  CHECK(Fixture.requestCount() == 0);
}

// Guards against forwarding requests with an unknown route or key.
TEST_CASE("unknown routes and keys are refused") {
  forward_fixture Fixture(makeRoute(route_kind::non_idempotent));
  Fixture.Caller.send("GET /x HTTP/1.1\r\nHost: other\r\n"
                      "X-Acacianotch-Request-Id: m1\r\n\r\n");
  REQUIRE(Fixture.waitForText("HTTP/1.1 404"));
  auto WithAccounts = *Fixture.Gateway.Table;
  WithAccounts.HasAccounts = true;
  Fixture.Gateway.Table = std::make_shared<const routing_table>(WithAccounts);
  Fixture.Caller.request("GET", "m2");
  REQUIRE(Fixture.waitForText("HTTP/1.1 401"));
  CHECK(Fixture.requestCount() == 0);
}

// Guards against a final refusal by a document that is overtaken while the
// newer one, which control has confirmed, is still being decoded.
TEST_CASE("an overtaken document refuses no route or key for good") {
  forward_fixture Fixture(makeRoute(route_kind::non_idempotent));
  const auto Send = [&](const std::string &Host, const std::string &Id) {
    Fixture.Caller.send("GET /x HTTP/1.1\r\nHost: " + Host +
                        "\r\nX-Acacianotch-Request-Id: " + Id + "\r\n\r\n");
  };
  auto WithAccounts = *Fixture.Gateway.Table;
  WithAccounts.HasAccounts = true;
  WithAccounts.Number = 1;
  Fixture.Gateway.Table = std::make_shared<const routing_table>(WithAccounts);
  Fixture.Gateway.confirmView(steady_clock::now(), 2);
  Send("other", "p1");
  REQUIRE(Fixture.waitForText("HTTP/1.1 503"));
  Fixture.Caller.request("GET", "p2");
  REQUIRE(Fixture.waitForText("\r\nX-Acacianotch-Request-Id: p2"));
  CHECK(!contains(Fixture.Caller.Received, "HTTP/1.1 4"));
  WithAccounts.Number = 2;
  Fixture.Gateway.Table = std::make_shared<const routing_table>(WithAccounts);
  Send("other", "p3");
  REQUIRE(Fixture.waitForText("HTTP/1.1 404"));
}

// Guards against repeats that are not charged to the budget of extra attempts
// because the server did not execute the request.
TEST_CASE("every attempt after the first is charged to the budget") {
  forward_fixture Fixture(makeRoute(route_kind::non_idempotent));
  Fixture.Gateway.Budget = traffic_budget(0, 0);
  Fixture.setAnswers({{NotExecuted}, completeAnswer("done")});
  Fixture.Caller.request("POST", "o1", "body");
  REQUIRE(Fixture.waitForText("HTTP/1.1 503"));
  CHECK(Fixture.requestCount() == 1);
}

// Guards against computing the prefix of a prompt again although another server
// has it cached.
TEST_CASE("a prompt at another server copies the prefix of its home server") {
  forward_fixture Fixture(makeRoute(route_kind::streaming));
  const std::string Prompt =
      "X-Acacianotch-Prompt-Prefix: 1:800,2:700,3:50\r\n";
  const scripted_answer Complete{streamHead() + chunk(eventWithId(1)) +
                                 "0\r\n\r\n"};
  const scripted_answer Refused{NotExecuted};
  Fixture.setAnswers({Refused, Complete});
  Fixture.Caller.request("POST", "p1", "prompt", Prompt);
  REQUIRE(
      Fixture.Gateway.runUntil([&] { return Fixture.requestCount() == 2; }));
  const auto &First = Fixture.First.Requests;
  const auto &Second = Fixture.Second.Requests;
  REQUIRE(First.size() == 1);
  REQUIRE(Second.size() == 1);
  CHECK(contains(First[0], "Kv-Fetch: ") != contains(Second[0], "Kv-Fetch: "));
}

// Guards against a success that is made of a head that its server broke off.
TEST_CASE("a head that ends in the middle is no answer") {
  const auto Length = completeAnswer("body").Text;
  const auto Chunked = streamHead();
  const auto Unframed = std::string(AnswerHead) + "Content-Type: x\r\n\r\n";
  for (const auto &Answer : {Length, Chunked, Unframed}) {
    const auto Head = Answer.substr(0, Answer.find("\r\n\r\n") + 4);
    for (std::size_t Size = 0; Size < Head.size(); ++Size) {
      INFO(Head.substr(0, Size));
      forward_fixture Fixture(makeRoute(route_kind::non_idempotent));
      scripted_answer Broken{Head.substr(0, Size)};
      Broken.Close = true;
      Fixture.setAnswers({Broken});
      Fixture.Caller.request("POST", "c1", "body");
      REQUIRE(Fixture.waitForText("HTTP/1.1 "));
      CHECK(contains(Fixture.Caller.Received, "HTTP/1.1 502"));
      CHECK(Fixture.requestCount() == 1);
    }
  }
}

// Guards against a head whose server left out fields but not its end.
TEST_CASE("a success without a seal or a request id is no answer") {
  const std::string Id = "X-Acacianotch-Request-Id: $ID\r\n";
  const std::string Seal = "X-Acacianotch-Response-Seal: seal\r\n";
  for (const auto &Lines : {Id, Seal, std::string()}) {
    for (const auto *Framing : {"", "Content-Length: 0\r\n"}) {
      INFO(Lines, Framing);
      forward_fixture Fixture(makeRoute(route_kind::non_idempotent));
      scripted_answer Partial{"HTTP/1.1 200 OK\r\n" + Lines + Framing + "\r\n"};
      Partial.Close = true;
      Fixture.setAnswers({Partial});
      Fixture.Caller.request("POST", "c2", "body");
      REQUIRE(Fixture.waitForText("HTTP/1.1 "));
      CHECK(contains(Fixture.Caller.Received, "HTTP/1.1 502"));
    }
  }
}

// Guards against requests that get no answer when the process ends.
TEST_CASE("a request that is open at the end of a shutdown is answered") {
  forward_fixture Fixture(makeRoute(route_kind::non_idempotent));
  Fixture.Caller.request("POST", "z1", "body");
  REQUIRE(
      Fixture.Gateway.runUntil([&] { return Fixture.requestCount() == 1; }));
  const auto Open = Fixture.Gateway.Tasks;
  for (const auto &Task : Open)
    Task->endNow();
  REQUIRE(Fixture.waitForText("HTTP/1.1 "));
  CHECK(contains(Fixture.Caller.Received, "HTTP/1.1 502"));
  CHECK(
      Fixture.Gateway.runUntil([&] { return Fixture.Gateway.Tasks.empty(); }));
}

// Guards against a HEAD request that waits for a body until the deadline,
// because the head of its answer states a Content-Length.
TEST_CASE("an answer to HEAD has no body") {
  forward_fixture Fixture(makeRoute(route_kind::idempotent));
  Fixture.Gateway.listBackends({&Fixture.First});
  Fixture.setAnswers({{std::string(AnswerHead) + "Content-Length: 5\r\n\r\n"},
                      completeAnswer("done")});
  Fixture.Caller.request("HEAD", "q1");
  REQUIRE(Fixture.waitForText("HTTP/1.1 200"));
  // The next answer on the same connection has its body.
  Fixture.Caller.request("GET", "q2");
  CHECK(Fixture.waitForText("done"));
}

// Guards against abandoning a stalled stream, which computes its prompt again,
// while its server still works on it.
TEST_CASE("a stalled stream stays at a server that works on it") {
  auto Route = makeRoute(route_kind::streaming);
  Route.TargetLatency = std::chrono::seconds(1);
  forward_fixture Fixture(Route);
  // It is abandoned after three latency objectives.
  checkStallRetry(Fixture, R"({"queued":1,"active":1,"runs":[]})");
  CHECK(Fixture.First.ReportRequests + Fixture.Second.ReportRequests >= 2);
}

// Guards against a stream that waits for a server that has lost it.
TEST_CASE("a stalled stream is abandoned at a server that does not have it") {
  auto Route = makeRoute(route_kind::streaming);
  Route.TargetLatency = std::chrono::seconds(60);
  forward_fixture Fixture(Route);
  checkStallRetry(Fixture, R"({"queued":0,"active":0,"runs":[]})");
}

// Guards against cutting a sound stream because no other server is left.
TEST_CASE("a stalled stream stays at the last server that can run it") {
  auto Route = makeRoute(route_kind::streaming);
  Route.TargetLatency = std::chrono::milliseconds(400);
  forward_fixture Fixture(Route);
  const std::string Report = R"({"queued":1,"active":1,"runs":[]})";
  Fixture.First.Report = Report;
  Fixture.Second.Report = Report;
  Fixture.setAnswers({{""}, {""}});
  Fixture.Caller.request("POST", "s1", "prompt");
  REQUIRE(
      Fixture.Gateway.runUntil([&] { return Fixture.requestCount() == 1; }));
  auto &Last = Fixture.First.Requests.empty() ? Fixture.First : Fixture.Second;
  REQUIRE(
      Fixture.Gateway.runUntil([&] { return Fixture.requestCount() == 2; }));
  // Longer than the time after which it would move again.
  const auto Since = steady_clock::now();
  REQUIRE(Fixture.Gateway.runUntil(
      [&] { return steady_clock::now() - Since > 5 * Route.TargetLatency; }));
  CHECK(Fixture.Caller.Received.empty());
  auto Answer = streamHead() + chunk(eventWithId(1)) + "0\r\n\r\n";
  Answer.replace(Answer.find("$ID"), 3, "s1");
  Last.sendLate(Answer);
  CHECK(Fixture.waitForText("\r\n0\r\n\r\n"));
  CHECK(contains(Fixture.Caller.Received, eventWithId(1)));
}

// The same for work that is not streamed.
TEST_CASE("idempotent work stays at the last server that can run it") {
  auto Route = makeRoute(route_kind::idempotent);
  Route.TargetLatency = std::chrono::milliseconds(100);
  forward_fixture Fixture(Route);
  Fixture.Gateway.listBackends({&Fixture.First});
  Fixture.setAnswers({{""}});
  Fixture.Caller.request("GET", "j2");
  REQUIRE(
      Fixture.Gateway.runUntil([&] { return Fixture.requestCount() == 1; }));
  const auto Since = steady_clock::now();
  REQUIRE(Fixture.Gateway.runUntil(
      [&] { return steady_clock::now() - Since > 5 * Route.TargetLatency; }));
  CHECK(Fixture.Caller.Received.empty());
  auto Answer = completeAnswer("late").Text;
  Answer.replace(Answer.find("$ID"), 3, "j2");
  Fixture.First.sendLate(Answer);
  CHECK(Fixture.waitForText("late"));
}

// Guards against a rollout that is aborted because of server crashes: each
// crash breaks many requests at once.
TEST_CASE("broken connections do not count against a version") {
  forward_fixture Fixture(makeRoute(route_kind::non_idempotent));
  setUpRollout(Fixture);
  Fixture.setAnswers({{"", true}});
  Fixture.Caller.request("GET", "u1");
  REQUIRE(Fixture.waitForText("HTTP/1.1 502"));
  CHECK(Fixture.Gateway.Recorder.failures("s") == 0);
  Fixture.setAnswers({{std::string("HTTP/1.1 500 Internal Server Error\r\n"
                                   "X-Acacianotch-Request-Id: $ID\r\n"
                                   "Content-Length: 0\r\n\r\n")}});
  Fixture.Caller.request("GET", "u2");
  REQUIRE(Fixture.waitForText("HTTP/1.1 500"));
  CHECK(Fixture.Gateway.Recorder.failures("s") == 1);
}

// Guards against a replaced server that attracts all work, because it has none
// queued.
TEST_CASE("a replaced server gets no more work") {
  forward_fixture Fixture(makeRoute(route_kind::non_idempotent));
  Fixture.setAnswers({{"HTTP/1.1 421 Misdirected Request\r\n"
                       "X-Acacianotch-Request-Id: $ID\r\n"
                       "Content-Length: 0\r\n\r\n"},
                      completeAnswer("moved")});
  Fixture.Caller.request("POST", "v1", "body");
  REQUIRE(Fixture.waitForText("moved"));
  for (int Index = 0; Index < 8; ++Index) {
    Fixture.Caller.Received.clear();
    Fixture.setAnswers({completeAnswer("again")});
    Fixture.Caller.request("POST", "w" + std::to_string(Index), "body");
    REQUIRE(Fixture.waitForText("again"));
  }
  const auto First = Fixture.First.Requests.size();
  const auto Second = Fixture.Second.Requests.size();
  CHECK(std::min(First, Second) == 1);
  CHECK(std::max(First, Second) == 9);
}

// Guards against requests on servers of a version that was rolled back.
TEST_CASE("a version that was rolled back stays out of the next rollout") {
  forward_fixture Fixture(makeRoute(route_kind::idempotent));
  listTwoVersions(Fixture);
  service_rollout Rollout;
  Rollout.Service = "s";
  Rollout.To = "v3";
  Rollout.Withdrawn = {"v2"};
  applyRollout(Fixture, Rollout);
  for (int Number = 0; Number < 10; ++Number) {
    Fixture.Caller.Received.clear();
    Fixture.setAnswers({completeAnswer("served")});
    Fixture.Caller.request("GET", "p" + std::to_string(Number));
    REQUIRE(Fixture.waitForText("served"));
  }
  CHECK(Fixture.Second.Requests.empty());
}

// Guards against a version that is bad under load only and is tried without.
TEST_CASE("a candidate has the planned number of servers until the shift") {
  forward_fixture Fixture(makeRoute(route_kind::idempotent));
  auto &Directory = Fixture.Gateway.Directory;
  constexpr std::size_t Servers = 20;
  std::vector<backend_record> Records;
  for (std::size_t Index = 0; Index < 2 * Servers; ++Index) {
    backend_record Record;
    Record.Id = "b-" + std::to_string(Index);
    Record.Service = "s";
    Record.Version = Index < Servers ? "v1" : "v2";
    Record.Slots = 8;
    Record.Address = {"127.0.0.1", Fixture.First.Port};
    Records.push_back(Record);
  }
  Directory.applyList(Records);
  const auto Candidates = [&] {
    return Directory.pool("s", version_arm::candidate)->Members.size();
  };
  applyRollout(Fixture, false);
  CHECK(Candidates() == 2);
  CHECK(Directory.pool("s", version_arm::serving)->Members.size() == Servers);
  applyRollout(Fixture, true);
  CHECK(Candidates() == Servers);
}

namespace {

constexpr std::size_t PartBytes = 16ULL * 1024;

/// Sends a request whose answer has no end, and checks that the gateway closes
/// the connection and answers the caller itself.
auto checkEndlessAnswer(scripted_answer Answer) -> void {
  forward_fixture Fixture(makeRoute(route_kind::non_idempotent));
  Fixture.setAnswers({std::move(Answer)});
  Fixture.Caller.request("POST", "e1", "body");
  REQUIRE(Fixture.waitForText("HTTP/1.1 502"));
  CHECK(Fixture.requestCount() == 1);
  CHECK(Fixture.Gateway.runUntil(
      [&] { return Fixture.First.Closed + Fixture.Second.Closed == 1; }));
}

} // namespace

// Guards against memory that grows until a server stops sending.
TEST_CASE("a server that sends bytes without end is left") {
  const std::string Part(PartBytes, 'a');
  SUBCASE("in a head") {
    checkEndlessAnswer({std::string(AnswerHead) + "X-More: ", {}, {}, Part});
  }
  SUBCASE("as heads of interim answers") {
    checkEndlessAnswer({"", {}, {}, "HTTP/1.1 102 Processing\r\n\r\n"});
  }
  SUBCASE("in chunks of a body") {
    checkEndlessAnswer({streamHead(), {}, {}, chunk(Part)});
  }
  SUBCASE("in a body that ends with the connection") {
    checkEndlessAnswer({std::string(AnswerHead) + "\r\n", {}, {}, Part});
  }
  SUBCASE("in the answer to another request") {
    checkEndlessAnswer({"HTTP/1.1 200 OK\r\nX-Acacianotch-Request-Id: other\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n",
                        {},
                        {},
                        chunk(Part)});
  }
}

// Guards against a stream that hangs at an event without end.
TEST_CASE("a stream whose event has no end goes on at another server") {
  forward_fixture Fixture(makeRoute(route_kind::streaming));
  Fixture.setAnswers({{streamHead() + chunk(eventWithId(1)),
                       {},
                       {},
                       chunk(std::string(PartBytes, 'a'))},
                      {streamHead() + chunk(eventWithId(2)) + "0\r\n\r\n"}});
  Fixture.Caller.request("POST", "e2", "prompt");
  REQUIRE(Fixture.waitForText("0\r\n\r\n"));
  CHECK(contains(Fixture.Caller.Received, "id: 2"));
  CHECK_FALSE(contains(Fixture.Caller.Received, "aaa"));
}
