/// \file Tests of the HTTP server and client against each other.
#include "gateway_fixture.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net_support.h"

#include <sys/socket.h>
#include <unistd.h>

using namespace acacianotch;

namespace {

/// Collects the events of one call.
struct recorder {
  int Status = 0;
  std::string Body;
  std::optional<result<void>> End;

  auto events() -> http_call_events {
    return {[this](int Code, const http_headers &) { Status = Code; },
            [this](std::string_view Data) { Body += Data; },
            [this](result<void> Result) { End = std::move(Result); }};
  }
};

auto options() -> http_call_options {
  http_call_options Options;
  Options.Target = "/path?query=1";
  Options.Body = "question";
  Options.SilenceLimit = std::chrono::seconds(10);
  return Options;
}

struct fixture {
  explicit fixture(http_handler Handler) : Loop(testLoop()) {
    auto Created =
        http_server::create(*Loop, loopback(0), {}, std::move(Handler));
    REQUIRE(Created.ok());
    Server = std::move(Created).value();
    Client = std::make_unique<http_client>(*Loop, loopback(Server->port()));
  }

  auto finish(recorder &Recorder) -> void {
    REQUIRE(runUntil(*Loop, [&] { return Recorder.End.has_value(); }));
  }

  std::unique_ptr<event_loop> Loop;
  std::unique_ptr<http_server> Server;
  std::unique_ptr<http_client> Client;
};

using exchange_handle = std::shared_ptr<http_exchange>;

} // namespace

// Guards against lost or altered parts of a request or an answer.
TEST_CASE("a whole answer arrives with status and body") {
  std::string Seen;
  fixture Fixture([&](const exchange_handle &Exchange) {
    Seen = Exchange->method() + " " + Exchange->target() + " " +
           Exchange->body() + " " + Exchange->header("x-test").value_or("");
    Exchange->reply(200, {{"Content-Type", "text/plain"}}, "answer");
  });
  recorder Recorder;
  auto Options = options();
  Options.Headers = {{"X-Test", "value"}};
  const auto Call = Fixture.Client->start(Options, Recorder.events());
  Fixture.finish(Recorder);
  CHECK(Seen == "POST /path?query=1 question value");
  CHECK(Recorder.Status == 200);
  CHECK(Recorder.Body == "answer");
  CHECK(Recorder.End->ok());
}

// Guards against chunks that are lost, merged wrongly or sent after the end.
TEST_CASE("a streamed answer arrives in order") {
  fixture Fixture([](const exchange_handle &Exchange) {
    Exchange->startStream(200, {});
    for (const auto *Part : {"one ", "two ", "three"})
      Exchange->writeChunk(Part, [] {});
    Exchange->endStream();
  });
  recorder Recorder;
  const auto Call = Fixture.Client->start(options(), Recorder.events());
  Fixture.finish(Recorder);
  CHECK(Recorder.Body == "one two three");
  CHECK(Recorder.End->ok());
}

// Guards against reporting a truncated answer as complete.
TEST_CASE("an aborted stream is an incomplete answer that may have run") {
  fixture Fixture([](const exchange_handle &Exchange) {
    Exchange->startStream(200, {});
    Exchange->writeChunk("half", [Exchange] { Exchange->abort(); });
  });
  recorder Recorder;
  const auto Call = Fixture.Client->start(options(), Recorder.events());
  Fixture.finish(Recorder);
  REQUIRE_FALSE(Recorder.End->ok());
  CHECK(Recorder.End->error().Code == errc::incomplete_answer);
  CHECK(Recorder.End->error().Verdict == verdict::may_have_run);
}

// Guards against a refusal that claims the request may have run, which would
// forbid the retry of non-idempotent work.
TEST_CASE("a refused connection means not run") {
  const auto Loop = testLoop();
  auto Socket = listenOn(loopback(0));
  REQUIRE(Socket.ok());
  const auto Bound = loopback(boundPort(Socket->fd()));
  *Socket = unique_socket();
  http_client Client(*Loop, Bound);
  recorder Recorder;
  const auto Call = Client.start(options(), Recorder.events());
  REQUIRE(runUntil(*Loop, [&] { return Recorder.End.has_value(); }));
  REQUIRE_FALSE(Recorder.End->ok());
  CHECK(Recorder.End->error().Code == errc::backend_unreachable);
  CHECK(Recorder.End->error().Verdict == verdict::not_run);
}

// Guards against a "not run" verdict for a request that a backend server has
// already received.
TEST_CASE("a server that closes without an answer may have run the request") {
  fixture Fixture([](const exchange_handle &Exchange) { Exchange->abort(); });
  recorder Recorder;
  const auto Call = Fixture.Client->start(options(), Recorder.events());
  Fixture.finish(Recorder);
  REQUIRE_FALSE(Recorder.End->ok());
  CHECK(Recorder.End->error().Verdict == verdict::may_have_run);
}

// Guards against work that goes on for a caller who has left, and against use
// of a request that evhttp has freed.
TEST_CASE("the server notices a caller that leaves") {
  exchange_handle Held;
  bool Left = false;
  fixture Fixture([&](const exchange_handle &Exchange) {
    Held = Exchange;
    Exchange->onClosed([&] { Left = true; });
  });
  recorder Recorder;
  auto Call = Fixture.Client->start(options(), Recorder.events());
  REQUIRE(runUntil(*Fixture.Loop, [&] { return Held != nullptr; }));
  Call.reset();
  REQUIRE(runUntil(*Fixture.Loop, [&] { return Left; }));
  Held->reply(200, {}, "too late");
  CHECK(Held->closed());
  CHECK(Fixture.Server->openExchanges() == 0);
}

// Guards against a connection with a late answer being used again.
TEST_CASE("a cancelled call does not leave its answer to the next call") {
  std::vector<exchange_handle> Held;
  fixture Fixture([&](const exchange_handle &Exchange) {
    Held.push_back(Exchange);
    if (Held.size() == 2)
      Exchange->reply(200, {}, "second");
  });
  recorder First;
  auto Call = Fixture.Client->start(options(), First.events());
  REQUIRE(runUntil(*Fixture.Loop, [&] { return Held.size() == 1; }));
  Call.reset();
  recorder Second;
  const auto Other = Fixture.Client->start(options(), Second.events());
  REQUIRE(runUntil(*Fixture.Loop, [&] { return Held.size() == 2; }));
  Held[0]->reply(200, {}, "first");
  Fixture.finish(Second);
  CHECK(Second.Body == "second");
  CHECK_FALSE(First.End.has_value());
}

// Guards against use of a cancelled call: its answer can be in the socket
// already when the call is destroyed, as with the loser of two attempts.
TEST_CASE("an answer that arrives after the cancellation is ignored") {
  const auto Loop = testLoop();
  auto Listener = listenOn(loopback(0));
  REQUIRE(Listener.ok());
  http_client Client(*Loop, loopback(boundPort(Listener->fd())));
  recorder Recorder;
  auto Call = Client.start(options(), Recorder.events());
  unique_socket Server;
  REQUIRE(runUntil(*Loop, [&] {
    Server = unique_socket(accept(Listener->fd(), nullptr, nullptr));
    return Server.fd() >= 0;
  }));
  char Request[1024];
  REQUIRE(runUntil(*Loop, [&] {
    return recv(Server.fd(), Request, sizeof(Request), MSG_DONTWAIT) > 0;
  }));
  const std::string Answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate";
  REQUIRE(send(Server.fd(), Answer.data(), Answer.size(), 0) > 0);
  Call.reset();
  for (int Turn = 0; Turn < 10; ++Turn)
    Loop->poll();
  CHECK(Recorder.Status == 0);
  CHECK_FALSE(Recorder.End.has_value());
}

// Guards against garbage that ends the process or stays connected for ever.
TEST_CASE("garbage on the HTTP port is refused") {
  fixture Fixture(
      [](const exchange_handle &Exchange) { Exchange->reply(200, {}, ""); });
  auto Socket = connectTo(loopback(Fixture.Server->port()));
  REQUIRE(Socket.ok());
  const std::string Garbage("\x00\xff\x13garbage\r\n\r\n\r\n", 16);
  REQUIRE(runUntil(*Fixture.Loop, [&] {
    return send(Socket->fd(), Garbage.data(), Garbage.size(), MSG_NOSIGNAL) > 0;
  }));
  std::string Answer;
  REQUIRE(runUntil(*Fixture.Loop, [&] {
    char Buffer[512];
    const auto Count = recv(Socket->fd(), Buffer, sizeof(Buffer), 0);
    if (Count > 0)
      Answer.append(Buffer, static_cast<std::size_t>(Count));
    return Count == 0 || Answer.find("400") != std::string::npos;
  }));
}

// Guards against calls that grow or last until a server stops sending.
TEST_CASE("a call ends when the answer has no end") {
  const std::string Part(16ULL * 1024, 'a');
  const std::string Head = "HTTP/1.1 200 OK\r\n";
  const auto Loop = testLoop();
  gateway_test::scripted_backend Server(*Loop);
  http_client Client(*Loop, loopback(Server.Port));
  auto Options = options();
  SUBCASE("in a head") {
    *Server.Answers = {{Head + "X-More: ", {}, {}, Part}};
  }
  SUBCASE("in a body") {
    Options.MaxBodyBytes = Part.size();
    *Server.Answers = {{Head + "\r\n", {}, {}, Part}};
  }
  SUBCASE("in time") {
    Options.TimeLimit = std::chrono::milliseconds(100);
    *Server.Answers = {{Head + "\r\n", {}, {}, Part}};
  }
  recorder Recorder;
  const auto Call = Client.start(Options, Recorder.events());
  REQUIRE(runUntil(*Loop, [&] { return Recorder.End.has_value(); }));
  REQUIRE_FALSE(Recorder.End->ok());
  CHECK(Recorder.End->error().Verdict == verdict::may_have_run);
  CHECK(runUntil(*Loop, [&] { return Server.Closed == 1; }));
}
