/// \file Sockets.
#include "net/socket_func.h"

#include <cerrno>
#include <cstring>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

namespace acacianotch {

namespace {

constexpr int ListenBacklog = 1024;
constexpr int MillisecondsPerSecond = 1000;

auto setOption(int Fd, int Level, int Option, int Value) -> void {
  setsockopt(Fd, Level, Option, &Value, sizeof(Value));
}

auto openSocket(const socket_address &Address) -> unique_socket {
  return unique_socket(socket(Address.get()->sa_family,
                              SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

} // namespace

auto unique_socket::operator=(unique_socket &&Other) noexcept
    -> unique_socket & {
  std::swap(Fd, Other.Fd);
  return *this;
}

unique_socket::~unique_socket() {
  if (Fd >= 0)
    close(Fd);
}

auto toSocketAddress(const address &Address) -> socket_address {
  socket_address Result;
  int Length = sizeof(Result.Storage);
  // evutil refuses port 0, which means "any port" here, so the port follows.
  auto WithPort = Address;
  WithPort.Port = 1;
  evutil_parse_sockaddr_port(WithPort.text().c_str(), Result.get(), &Length);
  Result.Length = static_cast<socklen_t>(Length);
  // Both families keep the port at the same place.
  reinterpret_cast<sockaddr_in *>(Result.get())->sin_port = htons(Address.Port);
  return Result;
}

auto boundPort(int Fd) -> std::uint16_t {
  socket_address Bound;
  Bound.Length = sizeof(Bound.Storage);
  getsockname(Fd, Bound.get(), &Bound.Length);
  return ntohs(reinterpret_cast<sockaddr_in *>(Bound.get())->sin_port);
}

auto listenOn(const address &Where) -> result<unique_socket> {
  const auto Address = toSocketAddress(Where);
  auto Socket = openSocket(Address);
  if (Socket.fd() < 0)
    return failure::of(errc::internal, std::strerror(errno));
  setOption(Socket.fd(), SOL_SOCKET, SO_REUSEADDR, 1);
  if (bind(Socket.fd(), Address.get(), Address.Length) != 0 ||
      listen(Socket.fd(), ListenBacklog) != 0)
    return failure::of(errc::address_in_use,
                       Where.text() + ": " + std::strerror(errno));
  return Socket;
}

auto connectTo(const address &Peer) -> result<unique_socket> {
  const auto Address = toSocketAddress(Peer);
  auto Socket = openSocket(Address);
  if (Socket.fd() < 0)
    return failure::of(errc::internal, std::strerror(errno));
  const auto Status = connect(Socket.fd(), Address.get(), Address.Length);
  if (Status != 0 && errno != EINPROGRESS)
    return failure::of(errc::backend_unreachable, std::strerror(errno));
  return Socket;
}

auto setLiveness(int Fd, int SilenceSeconds) -> void {
  // Keepalive finds a silent peer while the connection is idle, the user
  // timeout while data is unacknowledged.
  constexpr int Probes = 3;
  const auto Interval = std::max(SilenceSeconds / Probes, 1);
  setOption(Fd, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Fd, IPPROTO_TCP, TCP_KEEPIDLE, Interval);
  setOption(Fd, IPPROTO_TCP, TCP_KEEPINTVL, Interval);
  setOption(Fd, IPPROTO_TCP, TCP_KEEPCNT, Probes - 1);
  setOption(Fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
            SilenceSeconds * MillisecondsPerSecond);
}

} // namespace acacianotch
