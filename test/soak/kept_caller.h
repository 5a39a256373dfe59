/// \file HTTP client that reuses its connection.
#pragma once

#include "net/http_reader.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace acacianotch::soak {

/// Outcome of one request.
struct call_outcome {
  int Status = 0;        ///< 0 if no response head was received.
  bool Complete = false; ///< Whether the whole response was received.
  bool Sent = false;     ///< Whether all bytes of the request were sent.
  std::string ResponseId;
  bool HasSeal = false;
  std::string Body;
};

/// Blocking HTTP client that keeps its connection open as long as the peer
/// does.
class keep_alive_client {
public:
  keep_alive_client() = default;
  ~keep_alive_client();
  keep_alive_client(const keep_alive_client &) = delete;
  auto operator=(const keep_alive_client &) -> keep_alive_client & = delete;

  /// Sends \p Request to a loopback port and reads the response. Fails if no
  /// byte arrives within \p Limit. Closes an open connection to another port
  /// first.
  [[nodiscard]] auto call(std::uint16_t Port, const std::string &Request,
                          std::chrono::milliseconds Limit) -> call_outcome;

private:
  auto connect(std::uint16_t Port, std::chrono::milliseconds Limit) -> bool;
  auto send(const std::string &Request) const -> bool;
  auto disconnect() -> void;

  int Socket = -1;
  std::uint16_t PeerPort = 0;
};

} // namespace acacianotch::soak
