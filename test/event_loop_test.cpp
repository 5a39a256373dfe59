/// \file Tests of the event loop.
#include "net/event_loop.h"
#include "net_support.h"

#include "net/kj_stream.h"

#include <doctest/doctest.h>

#include <event2/event.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <thread>

using namespace acacianotch;

namespace {

struct deferring_reader {
  event_loop &Loop;
  int Deferred = 0;
  int Run = 0;

  static auto onReadable(evutil_socket_t /*Fd*/, short /*Events*/, void *Self)
      -> void {
    auto &Reader = *static_cast<deferring_reader *>(Self);
    ++Reader.Deferred;
    Reader.Loop.defer([&Reader] { ++Reader.Run; });
  }
};

} // namespace

// Guards against deferred callbacks that never run while a busy socket defers
// new ones in each iteration: the objects that they free collect in memory.
TEST_CASE("deferred callbacks run while each iteration defers another one") {
  constexpr int Turns = 100;
  auto Loop = testLoop();
  std::array<int, 2> Sockets{};
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, Sockets.data()) == 0);
  REQUIRE(::write(Sockets[0], "x", 1) == 1);
  deferring_reader Reader{*Loop};
  const std::unique_ptr<event, decltype(&event_free)> Readable(
      event_new(Loop->base(), Sockets[1], EV_READ | EV_PERSIST,
                deferring_reader::onReadable, &Reader),
      event_free);
  event_add(Readable.get(), nullptr);
  for (int Turn = 0; Turn < Turns; ++Turn)
    Loop->turn();
  CHECK(Reader.Deferred >= Turns / 2);
  CHECK(Reader.Run >= Reader.Deferred / 2);
  event_del(Readable.get());
  ::close(Sockets[0]);
  ::close(Sockets[1]);
}

// Guards against an answer that loses against its time limit because the
// process did not run when it arrived.
TEST_CASE("what arrived in time comes before the end of a delay") {
  constexpr auto Limit = std::chrono::milliseconds(20);
  auto Loop = testLoop();
  std::array<int, 2> Sockets{};
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0,
                       Sockets.data()) == 0);
  const unique_socket Writer(Sockets[0]);
  socket_stream Reader(Loop->base(), unique_socket(Sockets[1]));
  char Byte = 0;
  std::optional<bool> Answered;
  const auto Wait =
      Reader.tryRead(&Byte, 1, 1)
          .then([](std::size_t) { return true; })
          .exclusiveJoin(Loop->delay(Limit).then([] { return false; }))
          .then([&](bool Result) { Answered = Result; })
          .eagerlyEvaluate(nullptr);
  Loop->poll();
  REQUIRE(::write(Writer.fd(), "x", 1) == 1);
  std::this_thread::sleep_for(2 * Limit);
  REQUIRE(runUntil(*Loop, [&] { return Answered.has_value(); }));
  CHECK(*Answered);
}
