/// \file TCP relay that simulates network faults.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <set>
#include <thread>

namespace acacianotch {

/// How a relay forwards data.
enum class relay_mode : std::uint8_t {
  pass,
  blackhole, ///< Forwards nothing; connections stay open, as in a partition.
  one_way,   ///< Drops data sent by the target.
  slow,      ///< Forwards with a delay.
};

/// Forwards connections from one loopback port to another.
class tcp_relay {
public:
  tcp_relay(std::uint16_t ListenPort, std::uint16_t TargetPort);
  ~tcp_relay();
  tcp_relay(const tcp_relay &) = delete;
  auto operator=(const tcp_relay &) -> tcp_relay & = delete;

  /// Switches between `blackhole` and `pass`.
  auto setBlackhole(bool On) -> void {
    setMode(On ? relay_mode::blackhole : relay_mode::pass);
  }

  auto setMode(relay_mode NewMode) -> void { Mode = NewMode; }

  /// Requests a TCP reset of all connections.
  auto reset() -> void { ResetRequested = true; }

private:
  auto run() -> void;
  auto pollOnce() -> void;
  auto accept() -> void;
  auto forward(int From) -> void;
  auto resetAll() -> void;

  std::uint16_t Target;
  int Listener = -1;
  std::map<int, int> PeerOf;   ///< The other socket of each connection.
  std::set<int> TargetSockets; ///< Sockets connected to the target.
  /// Sockets of which bytes were dropped: a connection never delivers what
  /// follows a gap.
  std::set<int> Interrupted;
  std::atomic<relay_mode> Mode = relay_mode::pass;
  std::atomic<bool> ResetRequested = false;
  std::atomic<bool> StopRequested = false;
  std::thread Thread;
};

} // namespace acacianotch
