/// \file Broken answers of backend servers at a gateway and at an HTTP client.
#include "forward_fixture.h"
#include "net/http_client.h"
#include "net_support.h"

#include <optional>

using namespace acacianotch;
using namespace acacianotch::gateway_test;

namespace {

constexpr auto AnswerFields = "X-Acacianotch-Request-Id: $ID\r\n"
                              "X-Acacianotch-Response-Seal: seal\r\n";
constexpr std::size_t Kibibyte = 1024;
constexpr auto BadGateway = "HTTP/1.1 502 ";

/// \return an answer with \p Status and \p More behind the fields of any
/// answer.
auto answerText(const std::string &Status, std::string_view More)
    -> std::string {
  std::string Text("HTTP/1.1 ");
  return Text.append(Status).append(" X\r\n").append(AnswerFields).append(More);
}

/// \return what the caller gets if both servers of a gateway send \p Answer.
auto answerToCaller(const scripted_answer &Answer,
                    route_kind Kind = route_kind::non_idempotent)
    -> std::string {
  auto Route = makeRoute(Kind);
  Route.MaxAttempts = 1;
  forward_fixture Fixture(Route);
  Fixture.setAnswers({Answer});
  Fixture.Caller.request("POST", "a1", "body");
  REQUIRE(Fixture.waitForText("\r\n\r\n"));
  return Fixture.Caller.Received;
}

/// A call of an HTTP client to a scripted server.
struct client_fixture {
  explicit client_fixture(scripted_answer Answer, const std::string &Body = "")
      : Loop(std::move(event_loop::create()).value()), Server(*Loop),
        Client(*Loop, {"127.0.0.1", Server.Port}) {
    Server.Answers->push_back(std::move(Answer));
    http_call_options Options;
    Options.Headers = {{"X-Acacianotch-Request-Id", "a1"}};
    Options.Body = Body;
    Options.SilenceLimit = std::chrono::seconds(10);
    Call = Client.start(
        std::move(Options),
        {[this](int Code, const http_headers &) { Status = Code; },
         [this](std::string_view Data) { Received += Data; },
         [this](result<void> Result) { End = std::move(Result); }});
  }

  /// Runs the call to its end. \return its result.
  auto finish() -> const result<void> & {
    REQUIRE(runUntil(*Loop, [&] { return End.has_value(); }));
    return *End;
  }

  std::unique_ptr<event_loop> Loop;
  scripted_backend Server;
  http_client Client;
  std::unique_ptr<http_call> Call;
  int Status = 0;
  std::string Received;
  std::optional<result<void>> End;
};

/// Checks that neither a gateway nor an HTTP client takes \p Answer for one.
auto checkRefused(const scripted_answer &Answer) -> void {
  for (const auto Kind : {route_kind::non_idempotent, route_kind::streaming}) {
    CAPTURE(RouteKindNames.name(Kind));
    auto Received = answerToCaller(Answer, Kind);
    CHECK(Received.starts_with(BadGateway));
    CHECK_FALSE(contains(Received, "seal"));
  }
  client_fixture Client(Answer);
  const auto &End = Client.finish();
  CHECK(Client.Status == 0);
  CHECK_FALSE(End.ok());
  CHECK((End.ok() || End.error().Verdict == verdict::may_have_run));
}

/// How a server ends the connection of an answer.
enum class ending : std::uint8_t { reset, shutdown, shutdown_and_reset };

/// Ends the connection of the last request.
auto endLast(scripted_backend &Server, ending Ending) -> void {
  if (Ending != ending::reset)
    Server.shutDownLast();
  if (Ending != ending::shutdown)
    Server.resetLast();
}

/// A part of an answer whose body is framed by \p Framing. An early one does
/// not wait for the request's body.
auto partialAnswer(bool Early, const std::string &Framing = "")
    -> scripted_answer {
  scripted_answer Answer{AnswerHead + Framing + "\r\n"};
  const std::string Part = "data: part\n\n";
  Answer.Text += contains(Framing, "chunked") ? chunk(Part) : Part;
  Answer.Early = Early;
  return Answer;
}

/// Runs \p Loop until the request has been written as far as the server's
/// system takes it.
auto runUntilBlocked(event_loop &Loop) -> void {
  const auto End = steady_clock::now() + std::chrono::milliseconds(20);
  static_cast<void>(runUntil(Loop, [&] { return steady_clock::now() > End; }));
}

/// Checks that a gateway and an HTTP client take \p Answer for an incomplete
/// one if its connection ends.
auto checkIncomplete(const scripted_answer &Answer, std::size_t UploadBytes,
                     ending Ending) -> void {
  const std::string Upload(UploadBytes, 'x');
  for (const auto Kind : {route_kind::idempotent, route_kind::non_idempotent,
                          route_kind::streaming}) {
    CAPTURE(RouteKindNames.name(Kind));
    auto Route = makeRoute(Kind);
    Route.MaxAttempts = 1;
    forward_fixture Fixture(Route);
    auto &Gateway = Fixture.Gateway;
    Fixture.setAnswers({Answer});
    Fixture.Caller.request("POST", "a1", Upload);
    REQUIRE(Gateway.runUntil([&] { return Fixture.requestCount() == 1; }));
    runUntilBlocked(*Gateway.Loop);
    endLast(Fixture.First.Requests.empty() ? Fixture.Second : Fixture.First,
            Ending);
    const auto &Caller = Fixture.Caller;
    const auto &Answered = Gateway.Context.Counters.Answered;
    const auto Failed = [&] {
      return Caller.Closed || Caller.Received.starts_with(BadGateway);
    };
    REQUIRE(Gateway.runUntil([&] { return Failed() || Answered > 0; }));
    CHECK(Failed());
    CHECK(Answered == 0);
    CHECK_FALSE(Caller.Received.ends_with("\r\n0\r\n\r\n"));
  }
  client_fixture Client(Answer, Upload);
  REQUIRE(
      runUntil(*Client.Loop, [&] { return !Client.Server.Requests.empty(); }));
  runUntilBlocked(*Client.Loop);
  endLast(Client.Server, Ending);
  const auto &End = Client.finish();
  CHECK_FALSE(End.ok());
  CHECK((End.ok() || End.error().Verdict == verdict::may_have_run));
}

} // namespace

// Guards against an answer without a valid status that reaches a caller, or
// that keeps the caller waiting until the deadline.
TEST_CASE("an answer with an invalid status is an error") {
  for (const std::string Status :
       {"000", "001", "099", "600", "999", "2", "20", "0200", "2000", "+200",
        "200x", "-20", "4294967496", ""})
    for (const std::string Framing : {"Content-Length: 4\r\n\r\n", "\r\n"}) {
      CAPTURE(Status);
      CAPTURE(Framing);
      checkRefused({answerText(Status, Framing).append("body")});
    }
}

// Guards against a check that refuses sound answers.
TEST_CASE("all final statuses are passed on, also after an interim answer") {
  for (const std::string Status : {"200", "299", "404", "500", "599"})
    for (const std::string Interim : {"", "HTTP/1.1 103 Early Hints\r\n\r\n"}) {
      CAPTURE(Status);
      CAPTURE(Interim);
      const scripted_answer Answer{
          Interim + answerText(Status, "Content-Length: 4\r\n\r\nbody")};
      const auto Received = answerToCaller(Answer);
      CHECK(Received.starts_with("HTTP/1.1 " + Status + " "));
      CHECK(contains(Received, "seal"));
      client_fixture Client(Answer);
      CHECK(Client.finish().ok());
      CHECK(std::to_string(Client.Status) == Status);
      CHECK(Client.Received == "body");
    }
}

// Guards against a request that a sound server could have answered.
TEST_CASE("a repeatable request is answered by another server") {
  forward_fixture Fixture(makeRoute(route_kind::idempotent));
  Fixture.setAnswers({{answerText("000", "Content-Length: 4\r\n\r\nbody")},
                      completeAnswer("sound")});
  Fixture.Caller.request("POST", "a1", "body");
  REQUIRE(Fixture.waitForText("sound"));
  CHECK(Fixture.Caller.Received.starts_with("HTTP/1.1 200 "));
}

// Guards against a line in the head that readers take apart in different ways:
// it could be passed on, or another length could be read.
TEST_CASE("an answer whose field name holds a blank or control byte is an "
          "error") {
  std::vector<std::string> Lines{"Content-Length : 4",
                                 "Content Length: 4",
                                 " Content-Length: 4",
                                 "\tX-A: 1",
                                 "X A: 1",
                                 "X-A\t: 1",
                                 "X-A: 1\r\n b: 2",
                                 "X-A: 1\nX B: 2",
                                 ": 1",
                                 "X-A"};
  constexpr char Delete = 0x7f;
  for (char Control = 0; Control < ' '; ++Control)
    Lines.push_back(std::string("X") + Control + "A: 1");
  Lines.push_back(std::string("X") + Delete + "A: 1");
  for (const auto &Line : Lines)
    for (const std::string More : {"", "Content-Length: 4\r\n"}) {
      CAPTURE(Line);
      CAPTURE(More);
      auto Text = answerText("200", Line);
      Text.append("\r\n").append(More).append("\r\nbody and more");
      checkRefused({Text, true});
    }
}

// Guards against control characters that are passed on in a value.
TEST_CASE("an answer whose field value holds a control byte is an error") {
  constexpr char Delete = 0x7f;
  std::string Controls(1, Delete);
  for (char Control = 0; Control < ' '; ++Control)
    if (Control != '\t')
      Controls += Control;
  for (const auto Control : Controls) {
    CAPTURE(static_cast<int>(Control));
    auto Text = answerText("200", "X-A: b");
    Text.append(1, Control).append("c\r\nContent-Length: 4\r\n\r\nbody");
    checkRefused({Text, true});
  }
}

// Guards against a check that refuses sound answers.
TEST_CASE("blanks and tabs in a field value are passed on") {
  const auto Text =
      answerText("200", "X-A: b c\td\r\nContent-Length: 4\r\n\r\nbody");
  CHECK(contains(answerToCaller({Text}), "X-A: b c\td\r\n"));
  client_fixture Client({Text});
  CHECK(Client.finish().ok());
  CHECK(Client.Received == "body");
}

// Guards against a part of a body that is taken for the whole of it: behind the
// end of the server's direction, a reset is not reported to a reader.
TEST_CASE("an answer without a length that is reset is incomplete") {
  for (const auto Size :
       {std::size_t{16}, 256 * Kibibyte, 1024 * Kibibyte, 3072 * Kibibyte}) {
    CAPTURE(Size);
    checkIncomplete(partialAnswer(true), Size, ending::shutdown_and_reset);
  }
}

// Guards against the same if the reset is late: the server cannot have given a
// whole answer to a request that it has not received. The sizes are more than
// its system takes for a process that does not read.
TEST_CASE("an answer that ends before its request was received is incomplete") {
  for (const auto Size : {1024 * Kibibyte, 3072 * Kibibyte}) {
    CAPTURE(Size);
    checkIncomplete(partialAnswer(true), Size, ending::shutdown);
  }
}

// Guards against the same at any other end: by a reset alone, with a stated
// length or in chunks, while the request is sent and after it.
TEST_CASE("an answer that breaks off is incomplete") {
  const std::string Unframed;
  for (const auto &Framing : {Unframed, std::string("Content-Length: 100\r\n"),
                              std::string("Transfer-Encoding: chunked\r\n")})
    for (const auto Ending :
         {ending::reset, ending::shutdown, ending::shutdown_and_reset}) {
      CAPTURE(Framing);
      CAPTURE(static_cast<int>(Ending));
      checkIncomplete(partialAnswer(true, Framing), 1024 * Kibibyte, Ending);
      // The end of the connection is the end of a body without a length.
      if (Framing != Unframed || Ending != ending::shutdown)
        checkIncomplete(partialAnswer(false, Framing), Kibibyte, Ending);
    }
}

// Guards against a check that refuses sound answers: a server may end its
// answer with the connection once it has the request.
TEST_CASE("an answer without a length is whole after its request") {
  const scripted_answer Answer{AnswerHead + std::string("\r\nbody"), true};
  const auto Received = answerToCaller(Answer);
  CHECK(Received.starts_with("HTTP/1.1 200 "));
  CHECK(Received.ends_with("\r\n\r\nbody"));
  client_fixture Client(Answer, std::string(64UL * 1024, 'x'));
  CHECK(Client.finish().ok());
  CHECK(Client.Received == "body");
}
