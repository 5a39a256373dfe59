#include "process/support/port_block.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace acacianotch {

namespace {

// The sample deployments use 21000 to 22999.
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

/// Takes a block by listening on its first port until the program ends.
auto takeBlock() -> std::uint16_t {
  for (auto Base = FirstBlock; Base < LastBlock; Base += BlockSize) {
    const auto Guard = bindLoopback(Base);
    if (Guard >= 0 && listen(Guard, Backlog) == 0)
      return Base;
    if (Guard >= 0)
      close(Guard);
  }
  throw std::runtime_error("all blocks of test ports are taken");
}

} // namespace

auto bindLoopback(std::uint16_t Port) -> int {
  const auto Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int Yes = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof(Yes));
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
  static const auto Base = takeBlock();
  static std::uint16_t Used = 0;
  // A long program starts over; ports of processes that have ended are free.
  for (std::uint16_t Try = 1; Try < BlockSize; ++Try) {
    Used = static_cast<std::uint16_t>(Used % (BlockSize - 1) + 1);
    const auto Port = static_cast<std::uint16_t>(Base + Used);
    const auto Socket = bindLoopback(Port);
    if (Socket < 0)
      continue;
    close(Socket);
    return Port;
  }
  throw std::runtime_error("all ports of this test program are used");
}

auto loopbackText(std::uint16_t Port) -> std::string {
  return "127.0.0.1:" + std::to_string(Port);
}

} // namespace acacianotch
