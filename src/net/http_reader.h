/// \file Incremental reading of HTTP/1.1 messages on http_parser.
///
/// evhttp takes some malformed requests apart wrongly and delivers an answer's
/// body only after the whole request was written, so connections that forward
/// requests, and all that read answers, read messages with this class.
#pragma once

#include "core/result.h"
#include "net/http_server.h"

#include <event2/buffer.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace acacianotch {

/// Head of a request or of an answer.
struct http_head {
  int Status = 0;     ///< Answers only.
  std::string Method; ///< Requests only.
  std::string Target; ///< Requests only: path and query as received.
  http_headers Headers;
  bool KeepAlive = false;          ///< Another message may follow.
  bool Chunked = false;            ///< The body is in chunks.
  bool EndsWithConnection = false; ///< Answers only: a body without length.
  std::int64_t Length = -1;        ///< Bytes of the body; -1 if not stated.

  /// \return the first header of this name, or null; names ignore case.
  [[nodiscard]] auto find(std::string_view Name) const -> const std::string *;

  /// \return the path of the target without the query.
  [[nodiscard]] auto path() const -> std::string_view;
};

/// \return whether two header names are equal but for case.
[[nodiscard]] auto sameHeaderName(std::string_view Left, std::string_view Right)
    -> bool;

/// \return whether a header concerns one connection only and is not forwarded.
[[nodiscard]] auto isConnectionHeader(std::string_view Name) -> bool;

enum class http_message : std::uint8_t { request, answer };

/// What a reader tells. A callback may not destroy the reader.
struct http_reader_events {
  std::function<void(http_head &&)> OnHead;
  std::function<void(std::string_view)> OnBody;
  std::function<void()> OnEnd; ///< The message is whole.
};

/// Reads one message after another. It stops after each message, so that bytes
/// behind it stay in the buffer.
class http_reader {
public:
  http_reader(http_message Kind, std::size_t MaxHeadBytes,
              http_reader_events Events);
  ~http_reader();
  http_reader(const http_reader &) = delete;
  auto operator=(const http_reader &) -> http_reader & = delete;

  /// Takes bytes out of \p Input up to the end of the current message.
  /// \return bad_request or body_too_large (head above the limit) if the bytes
  /// are no message; the connection cannot be used any more then.
  [[nodiscard]] auto read(evbuffer *Input) -> result<void>;

  /// Tells that the peer has closed its side. \return whether that ends the
  /// current message, which OnEnd has reported then.
  auto finish() -> bool;

  /// Tells whether the next messages end with their heads, as answers to HEAD
  /// do.
  auto expectNoBody(bool NoBody) -> void;

  /// Sets the limit for the heads of the current and the next messages.
  auto setMaxHeadBytes(std::size_t Limit) -> void;

  /// \return whether the current message has begun and not ended.
  [[nodiscard]] auto inMessage() const -> bool;

  /// \return whether the head of the current message is complete.
  [[nodiscard]] auto inBody() const -> bool;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace acacianotch
