/// \file Tests of what callers' connections may use together.
#include "gateway/caller_server.h"
#include "net/socket_func.h"
#include "net_support.h"

#include <doctest/doctest.h>

#include <sys/socket.h>

#include <array>

using namespace acacianotch;

namespace {

constexpr std::size_t Kilobyte = 1024;
constexpr std::size_t LargeBody = 400 * Kilobyte;

/// A server that answers nothing, and its clients.
struct bounded_server {
  std::unique_ptr<event_loop> Loop = testLoop();
  int Requests = 0;
  std::unique_ptr<caller_server> Server;

  explicit bounded_server(caller_bounds Bounds) {
    auto Created = caller_server::create(
        *Loop, loopback(0),
        [this](const auto & /*Caller*/, caller_request && /*Request*/) {
          ++Requests;
        },
        std::move(Bounds));
    REQUIRE(Created.ok());
    Server = std::move(Created).value();
  }

  auto connect() -> unique_socket {
    auto Client = connectTo(loopback(Server->port()));
    REQUIRE(Client.ok());
    return std::move(Client).value();
  }

  auto wait(const std::function<bool()> &Condition) -> void {
    REQUIRE(runUntil(*Loop, Condition));
  }

  auto send(int Fd, const std::string &Text) -> void {
    std::size_t Sent = 0;
    wait([&] {
      const auto Size = ::send(Fd, Text.data() + Sent, Text.size() - Sent,
                               MSG_NOSIGNAL | MSG_DONTWAIT);
      Sent += Size > 0 ? static_cast<std::size_t>(Size) : 0;
      return Sent == Text.size();
    });
  }

  /// \return what \p Fd receives until the server closes it.
  auto receive(int Fd) -> std::string {
    std::string Text;
    std::array<char, 4096> Buffer{};
    wait([&] {
      const auto Size = ::recv(Fd, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
      if (Size > 0)
        Text.append(Buffer.data(), static_cast<std::size_t>(Size));
      return Size == 0;
    });
    return Text;
  }
};

auto head(std::size_t Length) -> std::string {
  return "POST /x HTTP/1.1\r\nHost: h\r\nX-Acacianotch-Request-Id: a\r\n"
         "Content-Length: " +
         std::to_string(Length) + "\r\n\r\n";
}

} // namespace

// Guards against incomplete bodies that use up the memory of the process, and
// against small requests that are refused for them.
TEST_CASE("the largest incomplete body is refused when memory is used up") {
  caller_bounds Bounds;
  Bounds.Memory = std::make_shared<memory_budget>(1024 * Kilobyte);
  bounded_server System(Bounds);
  const auto Small = System.connect();
  System.send(Small.fd(), head(2) + "x");
  const auto Medium = System.connect();
  System.send(Medium.fd(), head(LargeBody) + std::string(LargeBody / 2, 'x'));
  const auto Large = System.connect();
  System.send(Large.fd(), head(LargeBody) + std::string(LargeBody - 1, 'x'));
  const auto Answer = System.receive(Large.fd());
  CHECK(Answer.find("503") != std::string::npos);
  CHECK(Answer.find("Retry-After") != std::string::npos);
  CHECK(System.Server->dropped(drop_reason::body) == 1);
  System.send(Small.fd(), "x");
  System.send(Medium.fd(), std::string(LargeBody / 2, 'x'));
  System.wait([&] { return System.Requests == 2; });
  CHECK(Bounds.Memory->largest() <= 1100 * Kilobyte);
  // The requests are over, and with them the use of their memory.
  System.wait([&] { return Bounds.Memory->used() == 0; });
}

// Guards against connections that use up the descriptors of the process.
TEST_CASE("a new connection replaces an idle one or is refused") {
  caller_bounds Bounds;
  Bounds.Connections = 2;
  bounded_server System(Bounds);
  const auto Busy = System.connect();
  System.send(Busy.fd(), head(0));
  System.wait([&] { return System.Requests == 1; });
  const auto Idle = System.connect();
  System.wait([&] { return System.Server->connectionCount() == 2; });
  const auto Next = System.connect();
  CHECK(System.receive(Idle.fd()).empty());
  CHECK(System.Server->dropped(drop_reason::idle) == 1);
  System.send(Next.fd(), head(0));
  System.wait([&] { return System.Requests == 2; });
  const auto Refused = System.connect();
  CHECK(System.receive(Refused.fd()).find("503") != std::string::npos);
  CHECK(System.Server->dropped(drop_reason::refused) == 1);
  CHECK(System.Server->connectionCount() == 2);
}
