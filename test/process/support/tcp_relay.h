/// \file Relay that can stop forwarding without closing connections.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <thread>

namespace acacianotch {

/// Forwards connections from one loopback port to another. While it is cut,
/// connections stay open and no byte passes, as in a network partition.
class tcp_relay {
public:
  tcp_relay(std::uint16_t ListenPort, std::uint16_t TargetPort);
  ~tcp_relay();
  tcp_relay(const tcp_relay &) = delete;
  auto operator=(const tcp_relay &) -> tcp_relay & = delete;

  auto cut(bool Silent) -> void { Cut = Silent; }

private:
  auto run() -> void;
  auto turn() -> void;
  auto accept() -> void;
  auto forward(int From) -> void;

  std::uint16_t Target;
  int Listener = -1;
  std::map<int, int> Other; ///< The other socket of each connection.
  std::atomic<bool> Cut = false;
  std::atomic<bool> Stop = false;
  std::thread Thread;
};

} // namespace acacianotch
