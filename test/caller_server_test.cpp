/// \file Connections of callers that do not read their answers.
#include "gateway/caller_server.h"

#include "net/socket_func.h"
#include "net_support.h"

#include <doctest/doctest.h>

#include <string>
#include <sys/socket.h>

using namespace acacianotch;

namespace {

/// Larger than the buffers of both sockets.
constexpr std::size_t LargeBody = 16ULL * 1024 * 1024;

/// Reads the available bytes without blocking. \return whether the peer has
/// closed the connection.
auto readAll(int Fd, std::string &Into) -> bool {
  std::string Buffer(1 << 16, '\0');
  while (true) {
    const auto Size = ::recv(Fd, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
    if (Size == 0)
      return true;
    if (Size < 0)
      return false;
    Into.append(Buffer, 0, static_cast<std::size_t>(Size));
  }
}

} // namespace

// Guards against a stopping process that closes a connection as idle while the
// output buffer still holds the end of its last answer.
TEST_CASE("closing idle connections does not truncate an unsent answer") {
  auto Loop = testLoop();
  bool Replied = false;
  auto Server = caller_server::create(
      *Loop, loopback(0),
      [&](const std::shared_ptr<caller_connection> &Caller,
          caller_request && /*Request*/) {
        Caller->reply(200, {}, std::string(LargeBody, 'x'));
        Replied = true;
      });
  REQUIRE(Server.ok());
  const auto Client = connectTo(loopback((*Server)->port()));
  REQUIRE(Client.ok());
  const std::string Text = "GET /x HTTP/1.1\r\nHost: h\r\n"
                           "X-Acacianotch-Request-Id: a1\r\n\r\n";
  auto Sent = std::size_t{0};
  REQUIRE(runUntil(*Loop, [&] {
    if (Sent == 0 &&
        ::send(Client->fd(), Text.data(), Text.size(), MSG_NOSIGNAL) > 0)
      Sent = Text.size();
    return Replied;
  }));
  (*Server)->closeAfterAnswers();
  (*Server)->closeIdle();
  std::string Received;
  CHECK(runUntil(*Loop, [&] { return readAll(Client->fd(), Received); }));
  CHECK(Received.size() > LargeBody);
}

// Guards against open connections that keep former limits for ever.
TEST_CASE("connections that are open when limits change get the new ones") {
  auto Loop = testLoop();
  auto Server = caller_server::create(
      *Loop, loopback(0),
      [](const std::shared_ptr<caller_connection> &Caller,
         caller_request && /*Request*/) { Caller->reply(200, {}, "served"); });
  REQUIRE(Server.ok());
  caller_limits Limits;
  Limits.HeaderBytes = 1000;
  Limits.ConnectionIdleTimeout = std::chrono::milliseconds(300);
  (*Server)->setLimits(Limits);
  const auto Client = connectTo(loopback((*Server)->port()));
  REQUIRE(Client.ok());
  REQUIRE(runUntil(*Loop, [&] { return (*Server)->connectionCount() == 1; }));
  Limits.HeaderBytes = 4000;
  Limits.ConnectionIdleTimeout = std::chrono::hours(1);
  (*Server)->setLimits(Limits);
  const auto Start = steady_clock::now();
  std::string Received;
  auto Closed = false;
  REQUIRE(runUntil(*Loop, [&] {
    Closed = readAll(Client->fd(), Received);
    return Closed ||
           steady_clock::now() - Start > 2 * std::chrono::milliseconds(300);
  }));
  CHECK_FALSE(Closed);
  const std::string Text = "GET /x HTTP/1.1\r\nHost: h\r\n"
                           "X-Acacianotch-Request-Id: a1\r\nX-Long: " +
                           std::string(3000, 'x') + "\r\n\r\n";
  auto Sent = std::size_t{0};
  CHECK(runUntil(*Loop, [&] {
    if (Sent == 0 &&
        ::send(Client->fd(), Text.data(), Text.size(), MSG_NOSIGNAL) > 0)
      Sent = Text.size();
    (void)readAll(Client->fd(), Received);
    return !Received.empty();
  }));
  CHECK(Received.starts_with("HTTP/1.1 200"));
}
