/// \file Caller that uses one connection for many requests.
#pragma once

#include "net/http_reader.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace acacianotch::soak {

/// What came of one request.
struct call_outcome {
  int Status = 0;     ///< 0 without the head of an answer.
  bool Whole = false; ///< The answer ended as it should.
  bool Sent = false;  ///< All bytes of the request were handed over.
  std::string AnsweredId;
  bool Sealed = false;
  std::string Body;
};

/// Blocking HTTP client. It keeps its connection for as long as the peer does.
class kept_caller {
public:
  kept_caller() = default;
  ~kept_caller();
  kept_caller(const kept_caller &) = delete;
  auto operator=(const kept_caller &) -> kept_caller & = delete;

  /// Sends \p Request to a port of loopback and reads the answer; fails
  /// after \p Limit without a byte. A kept connection to another port is
  /// closed first.
  [[nodiscard]] auto call(std::uint16_t Port, const std::string &Request,
                          std::chrono::milliseconds Limit) -> call_outcome;

private:
  auto connect(std::uint16_t Port, std::chrono::milliseconds Limit) -> bool;
  auto send(const std::string &Request) const -> bool;
  auto leave() -> void;

  int Socket = -1;
  std::uint16_t Peer = 0;
};

} // namespace acacianotch::soak
