/// \file Tests of Cap'n Proto RPC on the libevent loop.
#include "net/rpc.h"
#include "net_support.h"

#include "core/random_type.h"

#include <acacianotch.capnp.h>

#include <sys/socket.h>

using namespace acacianotch;

namespace {

/// Answers probes, and forwards the body of a request to the sink in parts.
class test_agent final : public wire::Agent::Server {
public:
  auto run(RunContext Context) -> kj::Promise<void> override {
    ++Started;
    const auto Request = Context.getParams().getRequest();
    auto Write = Context.getParams().getSink().writeRequest();
    Write.setRequestId(Request.getRequestId());
    Write.setData(Request.getBody());
    Context.allowCancellation();
    return Write.send()
        .then([Context](auto &&) mutable {
          Context.getResults().initOutcome().setVerdict(3);
        })
        .attach(kj::defer([this] { ++Finished; }));
  }

  auto probe(ProbeContext Context) -> kj::Promise<void> override {
    Context.getResults().setRevision(Revision);
    return kj::READY_NOW;
  }

  static constexpr std::uint64_t Revision = 42;
  int Started = 0;
  int Finished = 0;
};

/// Acknowledges writes only when the test allows it.
class slow_sink final : public wire::ResponseSink::Server {
public:
  auto write(WriteContext Context) -> kj::Promise<void> override {
    Received += Context.getParams().getData().size();
    auto Pair = kj::newPromiseAndFulfiller<void>();
    Pending.push_back(kj::mv(Pair.fulfiller));
    return kj::mv(Pair.promise);
  }

  std::size_t Received = 0;
  std::vector<kj::Own<kj::PromiseFulfiller<void>>> Pending;
};

struct fixture {
  fixture() : Loop(testLoop()) {
    auto Implementation = kj::heap<test_agent>();
    Agent = Implementation.get();
    auto Created =
        rpc_server::create(*Loop, loopback(0), kj::mv(Implementation), Options);
    REQUIRE(Created.ok());
    Server = std::move(Created).value();
  }

  auto connect() -> std::unique_ptr<rpc_connection> {
    auto Connection =
        rpc_connection::connect(*Loop, loopback(Server->port()), Options);
    REQUIRE(Connection.ok());
    return std::move(Connection).value();
  }

  /// \return the revision of one probe, or nothing if it failed.
  auto probe(rpc_connection &Connection) -> std::optional<std::uint64_t> {
    std::optional<std::uint64_t> Revision;
    bool Done = false;
    const auto Call = Connection.as<wire::Agent>()
                          .probeRequest()
                          .send()
                          .then(
                              [&](auto &&Response) {
                                Revision = Response.getRevision();
                                Done = true;
                              },
                              [&](kj::Exception &&) { Done = true; })
                          .eagerlyEvaluate(nullptr);
    REQUIRE(runUntil(*Loop, [&] { return Done; }));
    return Revision;
  }

  rpc_options Options;
  std::unique_ptr<event_loop> Loop;
  std::unique_ptr<rpc_server> Server;
  test_agent *Agent = nullptr;
};

} // namespace

// Guards against a kj queue that libevent does not run.
TEST_CASE("calls in both directions complete") {
  fixture Fixture;
  const auto Connection = Fixture.connect();
  CHECK(Fixture.probe(*Connection) == test_agent::Revision);
}

// Guards against an unbounded stream: a sink that does not acknowledge must
// hold the sender back.
TEST_CASE("a sink without acknowledgements holds the call open") {
  fixture Fixture;
  const auto Connection = Fixture.connect();
  auto Implementation = kj::heap<slow_sink>();
  auto &Sink = *Implementation;
  constexpr std::size_t Size = 300'000; // Larger than a socket buffer.
  const std::string Body(Size, 'x');
  auto Request = Connection->as<wire::Agent>().runRequest();
  Request.initRequest().setBody(
      kj::arrayPtr(reinterpret_cast<const kj::byte *>(Body.data()), Size));
  Request.setSink(kj::mv(Implementation));
  bool Done = false;
  const auto Call = Request.send()
                        .then([&](auto &&) { Done = true; })
                        .eagerlyEvaluate(nullptr);
  REQUIRE(runUntil(*Fixture.Loop, [&] { return Sink.Received == Size; }));
  for (int Turn = 0; Turn < 100; ++Turn)
    Fixture.Loop->poll();
  CHECK_FALSE(Done);
  Sink.Pending.front()->fulfill();
  CHECK(runUntil(*Fixture.Loop, [&] { return Done; }));
}

// Guards against attempts that go on after the entry has cancelled them.
TEST_CASE("dropping a call cancels it at the server") {
  fixture Fixture;
  const auto Connection = Fixture.connect();
  auto Implementation = kj::heap<slow_sink>();
  auto &Sink = *Implementation;
  auto Request = Connection->as<wire::Agent>().runRequest();
  Request.initRequest();
  Request.setSink(kj::mv(Implementation));
  {
    const auto Call = Request.send().then([](auto &&) {});
    REQUIRE(runUntil(*Fixture.Loop, [&] { return Sink.Pending.size() == 1; }));
    CHECK(Fixture.Agent->Finished == 0);
  }
  CHECK(runUntil(*Fixture.Loop, [&] { return Fixture.Agent->Finished == 1; }));
}

// Guards against garbage on the port that ends the process or harms others.
TEST_CASE("garbage on the RPC port disconnects only its sender") {
  fixture Fixture;
  const auto Connection = Fixture.connect();
  REQUIRE(Fixture.probe(*Connection).has_value());
  seeded_random Random(1);
  for (int Round = 0; Round < 50; ++Round) {
    auto Socket = connectTo(loopback(Fixture.Server->port()));
    REQUIRE(Socket.ok());
    std::string Garbage(1 + randomBelow(Random, 4000), '\0');
    for (auto &Byte : Garbage)
      Byte = static_cast<char>(Random());
    REQUIRE(runUntil(*Fixture.Loop, [&] {
      return send(Socket->fd(), Garbage.data(), Garbage.size(), MSG_NOSIGNAL) >
             0;
    }));
    shutdown(Socket->fd(), SHUT_WR);
    Fixture.Loop->turn();
  }
  CHECK(Fixture.probe(*Connection) == test_agent::Revision);
  CHECK(runUntil(*Fixture.Loop,
                 [&] { return Fixture.Server->connections() == 1; }));
}

// Guards against a caller that waits for ever on a lost connection.
TEST_CASE("a lost connection fails its calls and tells its owner") {
  fixture Fixture;
  const auto Connection = Fixture.connect();
  REQUIRE(Fixture.probe(*Connection).has_value());
  bool Lost = false;
  Connection->onDisconnect([&] { Lost = true; });
  Fixture.Server.reset();
  CHECK(runUntil(*Fixture.Loop, [&] { return Lost; }));
  CHECK_FALSE(Fixture.probe(*Connection).has_value());
}

// Guards against a second process that shares a port without notice.
TEST_CASE("a second server on the same port is refused") {
  fixture Fixture;
  const auto Second =
      rpc_server::create(*Fixture.Loop, loopback(Fixture.Server->port()),
                         kj::heap<test_agent>(), {});
  REQUIRE_FALSE(Second.ok());
  CHECK(Second.error().Code == errc::address_in_use);
}
