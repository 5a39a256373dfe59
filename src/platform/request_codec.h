/// \file Requests and answers on the platform's wire.
#pragma once

#include "core/result.h"
#include "gateway/request_type.h"

namespace acacianotch::platform {

/// Reads the head of a caller's request. \return bad_request with the reason
/// if it cannot be forwarded.
[[nodiscard]] auto decodeRequest(http_head Head) -> result<caller_request>;

/// \return the headers of \p Request for one backend server.
[[nodiscard]] auto attemptHeaders(const caller_request &Request,
                                  const attempt_terms &Terms) -> http_headers;

/// Reads the head of a backend server's answer.
[[nodiscard]] auto decodeAnswer(const http_head &Head) -> answer_facts;

/// \return the headers of a backend server's answer for the caller.
[[nodiscard]] auto callerHeaders(const http_head &Head) -> http_headers;

/// \return the headers of an answer of the gateway itself. \p RetryAfter tells
/// a caller when to come back; zero if it need not.
[[nodiscard]] auto ownHeaders(const std::string &RequestId, duration RetryAfter)
    -> http_headers;

} // namespace acacianotch::platform
