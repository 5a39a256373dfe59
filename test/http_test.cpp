/// \file Tests of the HTTP server and client against each other.
#include "gateway_fixture.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net_support.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

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
  explicit fixture(http_handler Handler,
                   const http_server_options &Options = {})
      : Loop(testLoop()) {
    auto Created =
        http_server::create(*Loop, loopback(0), Options, std::move(Handler));
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

constexpr std::size_t Mebibyte = 1024ULL * 1024;

/// A client that sends what it is told and reads only on request.
struct raw_client {
  explicit raw_client(fixture &TheFixture)
      : Loop(*TheFixture.Loop),
        Socket(connectTo(loopback(TheFixture.Server->port()))) {
    REQUIRE(Socket.ok());
  }

  /// Sends \p Text until the server takes no more for a while.
  /// \return the bytes that it took.
  auto send(std::string_view Text) -> std::size_t {
    constexpr int IdleTurns = 20;
    std::size_t Sent = 0;
    for (int Idle = 0; Sent < Text.size() && Idle < IdleTurns; ++Idle) {
      const auto Count = ::send(Socket->fd(), Text.data() + Sent,
                                Text.size() - Sent, MSG_NOSIGNAL);
      if (Count > 0) {
        Sent += static_cast<std::size_t>(Count);
        Idle = 0;
      }
      runFor(std::chrono::milliseconds(5));
    }
    return Sent;
  }

  /// Reads until \p Text is in \p Input \p Count times.
  /// \return false if the server closes the connection before.
  auto readCount(std::string_view Text, std::size_t Count,
                 std::string Input = {}) -> bool {
    std::size_t Found = 0;
    std::size_t At = 0;
    const auto Done = runUntil(Loop, [&] {
      const auto Open = readAvailable(Input);
      for (auto Next = Input.find(Text, At); Next != std::string::npos;
           Next = Input.find(Text, At)) {
        At = Next + Text.size();
        ++Found;
      }
      At = std::max(At, Input.size() - std::min(Input.size(), Text.size()));
      return !Open || Found >= Count;
    });
    return Done && Found >= Count;
  }

  /// \return whether the server has closed the connection; discards input.
  auto closed() -> bool {
    std::string Discarded;
    return !readAvailable(Discarded);
  }

  /// Appends what has arrived. \return false if the connection is closed.
  auto readAvailable(std::string &Text) -> bool {
    char Buffer[16384];
    while (true) {
      const auto Read =
          recv(Socket->fd(), Buffer, sizeof(Buffer), MSG_DONTWAIT);
      if (Read <= 0)
        return Read < 0 && errno == EAGAIN;
      Text.append(Buffer, static_cast<std::size_t>(Read));
    }
  }

  auto runFor(duration Time) -> void {
    const auto End = steady_clock::now() + Time;
    static_cast<void>(
        runUntil(Loop, [&] { return steady_clock::now() > End; }));
  }

  event_loop &Loop;
  result<unique_socket> Socket;
};

auto repeated(std::string_view Text, std::size_t Count) -> std::string {
  std::string All;
  for (std::size_t Index = 0; Index < Count; ++Index)
    All += Text;
  return All;
}

constexpr std::string_view SmallGet = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

auto postHead(std::size_t Length) -> std::string {
  return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(Length) + "\r\n\r\n";
}

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

// Guards against bytes behind an answer that the next call takes for its own.
TEST_CASE("bytes behind an answer close the connection") {
  const std::string First = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
  const std::string Extra = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";
  const std::string Second = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo";
  const auto Loop = testLoop();
  gateway_test::scripted_backend Server(*Loop);
  http_client Client(*Loop, loopback(Server.Port));
  const auto Run = [&] {
    recorder Recorder;
    const auto Call = Client.start(options(), Recorder.events());
    REQUIRE(runUntil(*Loop, [&] { return Recorder.End.has_value(); }));
    CHECK(Recorder.End->ok());
    return Recorder.Body;
  };
  SUBCASE("with the answer") {
    *Server.Answers = {{First + Extra}, {Second}};
    CHECK(Run() == "first");
  }
  SUBCASE("after it") {
    *Server.Answers = {{First}, {Second}};
    CHECK(Run() == "first");
    Server.sendLate(Extra);
  }
  REQUIRE(runUntil(*Loop, [&] { return Server.Closed == 1; }));
  CHECK(Run() == "two");
}

// Guards against connections that are set up for each call, and against a call
// on a connection that the server is about to close.
TEST_CASE("an idle connection is used again unless the server closes it") {
  const std::string Head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n";
  const auto Loop = testLoop();
  gateway_test::scripted_backend Server(*Loop);
  *Server.Answers = {{Head + "\r\nbody"},
                     {Head + "Connection: close\r\n\r\nbody"},
                     {Head + "\r\nbody"}};
  http_client Client(*Loop, loopback(Server.Port));
  for (const auto Connections : {1, 1, 2}) {
    recorder Recorder;
    const auto Call = Client.start(options(), Recorder.events());
    REQUIRE(runUntil(*Loop, [&] { return Recorder.End.has_value(); }));
    CHECK(Recorder.End->ok());
    CHECK(Recorder.Body == "body");
    CHECK(Server.Accepted == Connections);
  }
}

// Guards against a header that becomes several, or a second request.
TEST_CASE("a head with a line break is not sent") {
  const auto Loop = testLoop();
  gateway_test::scripted_backend Server(*Loop);
  http_client Client(*Loop, loopback(Server.Port));
  auto Options = options();
  SUBCASE("in a value") { Options.Headers = {{"X-A", "b\r\nX-C: d"}}; }
  SUBCASE("in a name") { Options.Headers = {{"X-A\n", "b"}}; }
  SUBCASE("in the target") { Options.Target = "/a HTTP/1.1\r\nX-C: d"; }
  recorder Recorder;
  const auto Call = Client.start(Options, Recorder.events());
  REQUIRE(runUntil(*Loop, [&] { return Recorder.End.has_value(); }));
  REQUIRE_FALSE(Recorder.End->ok());
  CHECK(Recorder.End->error().Code == errc::bad_request);
  CHECK(Recorder.End->error().Verdict == verdict::not_run);
  CHECK(Server.Accepted == 0);
}

// Guards against requests of one connection that are read ahead without a
// bound, or whose answers collect, while the client reads nothing.
TEST_CASE("pipelined requests with unread answers stay bounded") {
  std::size_t Requests = 0;
  fixture Fixture([&](const exchange_handle &Exchange) {
    ++Requests;
    Exchange->reply(200, {}, std::string(10'000, 'x'));
  });
  constexpr std::size_t Sent = 32 * Mebibyte;
  raw_client Client(Fixture);
  const auto Taken = Client.send(repeated(SmallGet, Sent / SmallGet.size()));
  CHECK(Taken < Sent / 2);
  CHECK(Requests < 2000);
  CHECK(Fixture.Server->dropped().Memory == 0);
}

// Guards against requests that are lost or stall once input was held back.
TEST_CASE("pipelined requests are all answered when the client reads") {
  constexpr std::size_t Count = 20'000;
  std::size_t Requests = 0;
  fixture Fixture([&](const exchange_handle &Exchange) {
    ++Requests;
    Exchange->reply(200, {}, "answer");
  });
  raw_client Client(Fixture);
  const auto Text = repeated(SmallGet, Count);
  std::size_t Sent = 0;
  std::string Answers;
  CHECK(runUntil(*Fixture.Loop, [&] {
    const auto Written = ::send(Client.Socket->fd(), Text.data() + Sent,
                                Text.size() - Sent, MSG_NOSIGNAL);
    if (Written > 0)
      Sent += static_cast<std::size_t>(Written);
    CHECK(Client.readAvailable(Answers));
    return Requests >= Count;
  }));
  CHECK(Client.readCount("answer", Count, Answers));
  CHECK(Requests == Count);
}

// Guards against bodies inside the limit that stall above the input that may
// be read ahead, also behind a pipelined request.
TEST_CASE("a body at the limit passes") {
  http_server_options Options;
  Options.MaxBodyBytes = 8 * Mebibyte;
  Options.MaxHeldBytes = 0; // One request at the limits always fits.
  std::size_t Size = 0;
  fixture Fixture(
      [&](const exchange_handle &Exchange) {
        Size = Exchange->body().size();
        Exchange->reply(200, {}, "answer");
      },
      Options);
  raw_client Client(Fixture);
  const std::string Body(Options.MaxBodyBytes, 'x');
  std::string Before;
  std::size_t Answers = 1;
  SUBCASE("alone") {}
  SUBCASE("behind other requests") {
    Before = repeated(SmallGet, 100);
    Answers = 101;
  }
  SUBCASE("in chunks") {
    const std::string Chunk = "4000\r\n" + Body.substr(0, 0x4000) + "\r\n";
    const auto Text =
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
        repeated(Chunk, 500) + "0\r\n\r\n";
    CHECK(Client.send(Text) == Text.size());
    CHECK(Client.readCount("answer", 1));
    CHECK(Size == 500 * 0x4000);
    return;
  }
  const auto Text = Before + postHead(Body.size()) + Body;
  CHECK(Client.send(Text) == Text.size());
  CHECK(Client.readCount("answer", Answers));
  CHECK(Size == Body.size());
}

// Guards against bodies that are inside the limit but not together, and against
// a refusal that hits the small request of another client.
TEST_CASE("the connection that holds most is closed at the memory limit") {
  http_server_options Options;
  Options.MaxBodyBytes = 2 * Mebibyte;
  Options.MaxHeldBytes = 3 * Mebibyte;
  fixture Fixture(
      [](const exchange_handle &Exchange) {
        Exchange->reply(200, {}, "answer");
      },
      Options);
  raw_client First(Fixture);
  raw_client Second(Fixture);
  raw_client Small(Fixture);
  Small.send(postHead(2) + "x");
  First.send(postHead(Options.MaxBodyBytes) +
             std::string(9 * Mebibyte / 5, 'x'));
  constexpr auto FirstPart = 7 * Mebibyte / 5;
  Second.send(postHead(Options.MaxBodyBytes) + std::string(FirstPart, 'x'));
  CHECK(First.readCount("503", 1));
  CHECK_FALSE(Second.closed());
  CHECK(Fixture.Server->dropped().Memory == 1);
  Small.send("x");
  CHECK(Small.readCount("answer", 1));
  Second.send(std::string(Options.MaxBodyBytes - FirstPart, 'x'));
  CHECK(Second.readCount("answer", 1));
}

// Guards against answers that collect because many clients read none of them.
TEST_CASE("unread answers of all connections stay bounded") {
  constexpr std::size_t AnswerBytes = 16 * Mebibyte;
  http_server_options Options;
  Options.MaxBodyBytes = Mebibyte;
  Options.MaxHeldBytes = 20 * Mebibyte;
  fixture Fixture(
      [](const exchange_handle &Exchange) {
        Exchange->reply(200, {}, std::string(AnswerBytes, 'x') + "end");
      },
      Options);
  raw_client First(Fixture);
  raw_client Second(Fixture);
  First.send(SmallGet);
  Second.send(SmallGet);
  CHECK(Fixture.Server->dropped().Memory == 1);
  CHECK_FALSE(First.readCount("end", 1));
  CHECK(Second.readCount("end", 1));
}

// Guards against descriptors without a bound, and against new clients that are
// kept out by idle ones.
TEST_CASE("the longest idle connection is closed when there are too many") {
  http_server_options Options;
  Options.MaxConnections = 2;
  std::vector<exchange_handle> Held;
  fixture Fixture(
      [&](const exchange_handle &Exchange) {
        if (Exchange->method() == "POST")
          Held.push_back(Exchange);
        else
          Exchange->reply(200, {}, "answer");
      },
      Options);
  raw_client Working(Fixture);
  Working.send(postHead(0));
  REQUIRE(Held.size() == 1);
  raw_client Idle(Fixture);
  Idle.send(SmallGet);
  CHECK(Idle.readCount("answer", 1));
  raw_client New(Fixture);
  New.send(SmallGet);
  CHECK(New.readCount("answer", 1));
  CHECK(runUntil(*Fixture.Loop, [&] { return Idle.closed(); }));
  CHECK(Fixture.Server->dropped().Connections == 1);
  New.send(postHead(0));
  REQUIRE(Held.size() == 2);
  // All connections have work, so the new one is refused.
  raw_client Refused(Fixture);
  CHECK(runUntil(*Fixture.Loop, [&] { return Refused.closed(); }));
  for (const auto &Exchange : Held)
    Exchange->reply(200, {}, "answer");
  CHECK(Working.readCount("answer", 1));
  CHECK(New.readCount("answer", 1));
}
