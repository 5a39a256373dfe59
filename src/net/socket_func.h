/// \file Sockets: addresses, listening, connecting, liveness options.
#pragma once

#include "core/address_type.h"
#include "core/result.h"

#include <cstdint>
#include <sys/socket.h>
#include <utility>

namespace acacianotch {

/// IP address and port in the form that the operating system takes.
struct socket_address {
  sockaddr_storage Storage{}; ///< The address.
  socklen_t Length = 0;       ///< Bytes of Storage in use.

  [[nodiscard]] auto get() const -> const sockaddr * {
    return reinterpret_cast<const sockaddr *>(&Storage);
  }
  [[nodiscard]] auto get() -> sockaddr * {
    return reinterpret_cast<sockaddr *>(&Storage);
  }
};

/// A socket that is closed when its owner goes.
class unique_socket {
public:
  unique_socket() = default;
  explicit unique_socket(int TheFd) : Fd(TheFd) {}
  unique_socket(unique_socket &&Other) noexcept
      : Fd(std::exchange(Other.Fd, -1)) {}
  auto operator=(unique_socket &&Other) noexcept -> unique_socket &;
  ~unique_socket();

  [[nodiscard]] auto fd() const -> int { return Fd; }
  [[nodiscard]] auto release() -> int { return std::exchange(Fd, -1); }

private:
  int Fd = -1;
};

/// \return \p Address in the operating system's form.
[[nodiscard]] auto toSocketAddress(const address &Address) -> socket_address;

/// \return the port that the socket \p Fd is bound to.
[[nodiscard]] auto boundPort(int Fd) -> std::uint16_t;

/// \return a listening socket; `address_in_use` if the address is taken.
[[nodiscard]] auto listenOn(const address &Address) -> result<unique_socket>;

/// \return a socket whose connection attempt has started;
/// `backend_unreachable` if it fails at once.
[[nodiscard]] auto connectTo(const address &Address) -> result<unique_socket>;

/// Turns off Nagle's algorithm and makes the kernel end connections whose peer
/// has been silent for about \p SilenceSeconds.
auto setLiveness(int Fd, int SilenceSeconds) -> void;

} // namespace acacianotch
