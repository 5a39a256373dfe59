/// \file Blocking HTTP client of the process tests.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace acacianotch {

/// What the peer answered until it closed the connection.
struct http_answer {
  int Status = 0;                             ///< 0 without an answer.
  std::map<std::string, std::string> Headers; ///< Names in lower case.
  std::string Body;
  bool Complete = false; ///< Whether the body has its full length.

  [[nodiscard]] auto header(const std::string &Name) const -> std::string;

  /// \return the body; a discarded value if it is no JSON.
  [[nodiscard]] auto json() const -> nlohmann::json;

  /// \return the member \p Key of the error in the body, or an empty text.
  [[nodiscard]] auto error(const std::string &Key) const -> std::string;
};

using http_fields = std::map<std::string, std::string>;

/// One request on a connection of its own.
class http_call {
public:
  /// Connects to the loopback port and sends \p Bytes as they are.
  http_call(std::uint16_t Port, const std::string &Bytes);
  ~http_call();
  http_call(const http_call &) = delete;
  auto operator=(const http_call &) -> http_call & = delete;

  /// Sends a further request on the connection; what was read before it is
  /// dropped.
  auto send(const std::string &Bytes) -> void;

  /// Reads until \p Text has arrived. \return whether it has.
  [[nodiscard]] auto readUntil(const std::string &Text) -> bool;

  /// Reads until the peer closes the connection.
  [[nodiscard]] auto finish() -> http_answer;

  /// Closes the connection.
  auto disconnect() -> void;

private:
  /// \return false at the end, after an error and after WaitLimit.
  auto readSome() -> bool;

  int Socket = -1;
  std::string Received;
};

/// \return the bytes of a request that closes its connection.
[[nodiscard]] auto httpRequest(const std::string &Method,
                               const std::string &Path,
                               const http_fields &Headers,
                               const std::string &Body) -> std::string;

/// Sends a GET and reads the answer.
[[nodiscard]] auto httpGet(std::uint16_t Port, const std::string &Path)
    -> http_answer;

} // namespace acacianotch
