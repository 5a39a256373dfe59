/// \file Many connections of clients that ignore the limits.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace acacianotch {

/// What each client of a crowd sends: \p Head, then \p Unit again and again.
struct crowd_bytes {
  std::string Head;
  std::string Unit;
  std::size_t Units = 0; ///< Copies of Unit.
};

/// Connections that send as fast as the peer takes it, read nothing and stay
/// open until the crowd ends.
class client_crowd {
public:
  /// Connects \p Count clients to a loopback port.
  client_crowd(std::uint16_t Port, std::size_t Count);
  ~client_crowd();
  client_crowd(const client_crowd &) = delete;
  auto operator=(const client_crowd &) -> client_crowd & = delete;

  /// Sends \p Bytes on all connections, until each has sent all, is closed by
  /// the peer, or the peer takes nothing from any of them for two seconds.
  /// \return the bytes that were sent.
  auto send(const crowd_bytes &Bytes) -> std::size_t;

private:
  std::vector<int> Sockets;
};

/// Memory and descriptors of a running process.
struct process_use {
  std::size_t ResidentKb = 0;     ///< At present.
  std::size_t PeakResidentKb = 0; ///< Since its start.
  std::size_t Descriptors = 0;
  std::uint64_t ProcessorTicks = 0;
};

/// \return what the process \p Pid uses; zeros if it does not run.
[[nodiscard]] auto useOf(int Pid) -> process_use;

/// Waits until \p Pid is idle, so that it has taken what its sockets hold.
/// \return false after WaitLimit.
[[nodiscard]] auto waitIdle(int Pid) -> bool;

} // namespace acacianotch
