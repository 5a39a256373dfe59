#include "process/support/tcp_relay.h"

#include "process/support/port_block.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <vector>

namespace acacianotch {

namespace {

constexpr int TurnMs = 10;
/// Delay of a slow relay: several times what work on loopback takes.
constexpr auto SlowTime = std::chrono::milliseconds(60);
constexpr int Backlog = 64;
constexpr std::size_t ReadSize = 65536;

} // namespace

tcp_relay::tcp_relay(std::uint16_t ListenPort, std::uint16_t TargetPort)
    : Target(TargetPort), Listener(bindLoopback(ListenPort)) {
  listen(Listener, Backlog);
  Thread = std::thread([this] { run(); });
}

tcp_relay::~tcp_relay() {
  Stop = true;
  Thread.join();
  for (const auto &[Socket, Peer] : Other)
    close(Socket);
  close(Listener);
}

auto tcp_relay::run() -> void {
  while (!Stop) {
    if (ResetDue.exchange(false))
      resetAll();
    const auto Now = Mode.load();
    if (Now == relay_mode::slow)
      std::this_thread::sleep_for(SlowTime);
    if (Now == relay_mode::silent)
      std::this_thread::sleep_for(std::chrono::milliseconds(TurnMs));
    else
      turn();
  }
}

auto tcp_relay::turn() -> void {
  std::vector<pollfd> Waits = {{Listener, POLLIN, 0}};
  for (const auto &[Socket, Peer] : Other)
    Waits.push_back({Socket, POLLIN, 0});
  if (poll(Waits.data(), Waits.size(), TurnMs) <= 0 ||
      Mode == relay_mode::silent)
    return;
  for (const auto &Wait : Waits) {
    if (Wait.revents == 0)
      continue;
    if (Wait.fd == Listener)
      accept();
    else if (Other.count(Wait.fd) != 0)
      forward(Wait.fd);
  }
}

auto tcp_relay::accept() -> void {
  const auto Near = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
  const auto Out = connectLoopback(Target);
  if (Near >= 0 && Out >= 0) {
    Other[Near] = Out;
    Other[Out] = Near;
    Far.insert(Out);
    return;
  }
  if (Near >= 0)
    close(Near);
}

auto tcp_relay::forward(int From) -> void {
  std::array<char, ReadSize> Buffer{};
  const auto To = Other[From];
  const auto Count = recv(From, Buffer.data(), Buffer.size(), 0);
  const auto Size = static_cast<std::size_t>(Count);
  if (Count > 0 && Mode == relay_mode::one_way && Far.contains(From))
    return;
  if (Count > 0 && send(To, Buffer.data(), Size, MSG_NOSIGNAL) == Count)
    return;
  for (const auto Socket : {From, To}) {
    Other.erase(Socket);
    Far.erase(Socket);
    close(Socket);
  }
}

auto tcp_relay::resetAll() -> void {
  const linger Abort{1, 0};
  for (const auto &[Socket, Peer] : Other) {
    setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Abort, sizeof(Abort));
    close(Socket);
  }
  Other.clear();
  Far.clear();
}

} // namespace acacianotch
