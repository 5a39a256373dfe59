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

constexpr int PollTimeoutMs = 10;
/// Delay of a slow relay; several times the latency of a request on loopback.
constexpr auto SlowDelay = std::chrono::milliseconds(60);
constexpr int Backlog = 64;
constexpr std::size_t ReadSize = 65536;

} // namespace

tcp_relay::tcp_relay(std::uint16_t ListenPort, std::uint16_t TargetPort)
    : Target(TargetPort), Listener(bindLoopback(ListenPort)) {
  listen(Listener, Backlog);
  Thread = std::thread([this] { run(); });
}

tcp_relay::~tcp_relay() {
  StopRequested = true;
  Thread.join();
  for (const auto &[Socket, Peer] : PeerOf)
    close(Socket);
  close(Listener);
}

auto tcp_relay::run() -> void {
  while (!StopRequested) {
    if (ResetRequested.exchange(false))
      resetAll();
    const auto CurrentMode = Mode.load();
    if (CurrentMode == relay_mode::slow)
      std::this_thread::sleep_for(SlowDelay);
    if (CurrentMode == relay_mode::blackhole)
      std::this_thread::sleep_for(std::chrono::milliseconds(PollTimeoutMs));
    else
      pollOnce();
  }
}

auto tcp_relay::pollOnce() -> void {
  std::vector<pollfd> PollEntries = {{Listener, POLLIN, 0}};
  for (const auto &[Socket, Peer] : PeerOf)
    PollEntries.push_back({Socket, POLLIN, 0});
  if (poll(PollEntries.data(), PollEntries.size(), PollTimeoutMs) <= 0 ||
      Mode == relay_mode::blackhole)
    return;
  for (const auto &Entry : PollEntries) {
    if (Entry.revents == 0)
      continue;
    if (Entry.fd == Listener)
      accept();
    else if (PeerOf.count(Entry.fd) != 0)
      forward(Entry.fd);
  }
}

auto tcp_relay::accept() -> void {
  const auto Accepted = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
  const auto Outgoing = connectLoopback(Target);
  if (Accepted >= 0 && Outgoing >= 0) {
    PeerOf[Accepted] = Outgoing;
    PeerOf[Outgoing] = Accepted;
    TargetSockets.insert(Outgoing);
    return;
  }
  if (Accepted >= 0)
    close(Accepted);
}

auto tcp_relay::forward(int From) -> void {
  std::array<char, ReadSize> Buffer{};
  const auto To = PeerOf[From];
  const auto Count = recv(From, Buffer.data(), Buffer.size(), 0);
  const auto Size = static_cast<std::size_t>(Count);
  if (Count > 0 && Mode == relay_mode::one_way && TargetSockets.contains(From))
    Interrupted.insert(From);
  if (Count > 0 && Interrupted.contains(From))
    return;
  if (Count > 0 && send(To, Buffer.data(), Size, MSG_NOSIGNAL) == Count)
    return;
  for (const auto Socket : {From, To}) {
    PeerOf.erase(Socket);
    TargetSockets.erase(Socket);
    Interrupted.erase(Socket);
    close(Socket);
  }
}

auto tcp_relay::resetAll() -> void {
  const linger ResetOnClose{1, 0};
  for (const auto &[Socket, Peer] : PeerOf) {
    setsockopt(Socket, SOL_SOCKET, SO_LINGER, &ResetOnClose,
               sizeof(ResetOnClose));
    close(Socket);
  }
  PeerOf.clear();
  TargetSockets.clear();
  Interrupted.clear();
}

} // namespace acacianotch
