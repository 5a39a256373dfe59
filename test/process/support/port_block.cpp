#include "process/support/port_block.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace acacianotch {

namespace {

// The sample deployments use ports 21000 to 22999.
constexpr std::uint16_t FirstBlock = 23000;
constexpr std::uint16_t LastBlock = 32000;
constexpr std::uint16_t BlockSize = 300;
constexpr int Backlog = 1;

auto loopbackAddress(std::uint16_t Port) -> sockaddr_in {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

/// Reserves a block by listening on its first port until the program exits.
auto reserveBlock() -> std::uint16_t {
  for (auto Base = FirstBlock; Base < LastBlock; Base += BlockSize) {
    const auto BlockSocket = bindLoopback(Base);
    if (BlockSocket >= 0 && listen(BlockSocket, Backlog) == 0)
      return Base;
    if (BlockSocket >= 0)
      close(BlockSocket);
  }
  throw std::runtime_error("all blocks of test ports are in use");
}

} // namespace

auto bindLoopback(std::uint16_t Port) -> int {
  const auto Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int Enable = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Enable, sizeof(Enable));
  const auto Address = loopbackAddress(Port);
  if (bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
           sizeof(Address)) == 0)
    return Socket;
  close(Socket);
  return -1;
}

auto connectLoopback(std::uint16_t Port) -> int {
  const auto Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto Address = loopbackAddress(Port);
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) == 0)
    return Socket;
  close(Socket);
  return -1;
}

auto nextPort() -> std::uint16_t {
  static const auto Base = reserveBlock();
  static std::uint16_t Offset = 0;
  // Wraps around at the end of the block: ports of exited processes are free.
  for (std::uint16_t Attempt = 1; Attempt < BlockSize; ++Attempt) {
    Offset = static_cast<std::uint16_t>(Offset % (BlockSize - 1) + 1);
    const auto Port = static_cast<std::uint16_t>(Base + Offset);
    const auto Socket = bindLoopback(Port);
    if (Socket < 0)
      continue;
    close(Socket);
    return Port;
  }
  throw std::runtime_error("all ports of this test program are in use");
}

auto loopbackText(std::uint16_t Port) -> std::string {
  return "127.0.0.1:" + std::to_string(Port);
}

} // namespace acacianotch
