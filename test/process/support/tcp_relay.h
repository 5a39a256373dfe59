/// \file Relay that disturbs connections as a network does.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <set>
#include <thread>

namespace acacianotch {

/// What a relay does with bytes.
enum class relay_mode : std::uint8_t {
  pass,
  silent,  ///< No byte passes; connections stay open, as in a partition.
  one_way, ///< What the target sends back is lost.
  slow,    ///< Bytes pass after a delay.
};

/// Forwards connections from one loopback port to another.
class tcp_relay {
public:
  tcp_relay(std::uint16_t ListenPort, std::uint16_t TargetPort);
  ~tcp_relay();
  tcp_relay(const tcp_relay &) = delete;
  auto operator=(const tcp_relay &) -> tcp_relay & = delete;

  auto cut(bool Silent) -> void {
    setMode(Silent ? relay_mode::silent : relay_mode::pass);
  }

  auto setMode(relay_mode Next) -> void { Mode = Next; }

  /// Resets all connections.
  auto reset() -> void { ResetDue = true; }

private:
  auto run() -> void;
  auto turn() -> void;
  auto accept() -> void;
  auto forward(int From) -> void;
  auto resetAll() -> void;

  std::uint16_t Target;
  int Listener = -1;
  std::map<int, int> Other; ///< The other socket of each connection.
  std::set<int> Far;        ///< Sockets to the target.
  std::atomic<relay_mode> Mode = relay_mode::pass;
  std::atomic<bool> ResetDue = false;
  std::atomic<bool> Stop = false;
  std::thread Thread;
};

} // namespace acacianotch
