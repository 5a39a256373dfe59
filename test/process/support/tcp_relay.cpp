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
    if (Cut)
      std::this_thread::sleep_for(std::chrono::milliseconds(TurnMs));
    else
      turn();
  }
}

auto tcp_relay::turn() -> void {
  std::vector<pollfd> Waits = {{Listener, POLLIN, 0}};
  for (const auto &[Socket, Peer] : Other)
    Waits.push_back({Socket, POLLIN, 0});
  if (poll(Waits.data(), Waits.size(), TurnMs) <= 0 || Cut)
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
  const auto Far = connectLoopback(Target);
  if (Near >= 0 && Far >= 0) {
    Other[Near] = Far;
    Other[Far] = Near;
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
  if (Count > 0 && send(To, Buffer.data(), Size, MSG_NOSIGNAL) == Count)
    return;
  Other.erase(From);
  Other.erase(To);
  close(From);
  close(To);
}

} // namespace acacianotch
