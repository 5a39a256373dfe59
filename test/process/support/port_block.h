/// \file Allocation of loopback ports for one test program.
#pragma once

#include <cstdint>
#include <string>

namespace acacianotch {

/// \return a socket that is bound to the loopback port, or -1.
[[nodiscard]] auto bindLoopback(std::uint16_t Port) -> int;

/// \return a socket that is connected to the loopback port, or -1.
[[nodiscard]] auto connectLoopback(std::uint16_t Port) -> int;

/// \return a free port that no other test program uses. It is below the
/// ephemeral port range of the kernel.
[[nodiscard]] auto nextPort() -> std::uint16_t;

/// \return the address of a loopback port.
[[nodiscard]] auto loopbackText(std::uint16_t Port) -> std::string;

} // namespace acacianotch
