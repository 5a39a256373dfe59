/// \file HTTP headers of requests and answers as defined by the platform.
#pragma once

#include "core/result.h"
#include "gateway/request_type.h"

namespace acacianotch::platform {

/// Parses the head of a caller's request. \return bad_request with the reason
/// if it cannot be forwarded.
[[nodiscard]] auto decodeRequest(http_head Head) -> result<caller_request>;

/// \return the headers with which \p Request is sent to one backend server.
[[nodiscard]] auto attemptHeaders(const caller_request &Request,
                                  const attempt_options &AttemptOptions)
    -> http_headers;

/// \return whether the headers of a backend server's answer, of any kind, state
/// that it takes no new work any more.
[[nodiscard]] auto statesLeaving(const http_headers &Headers) -> bool;

/// Parses the head of a backend server's answer.
[[nodiscard]] auto decodeAnswer(const http_head &Head) -> answer_facts;

/// \return the headers of a backend server's answer to forward to the caller.
[[nodiscard]] auto callerHeaders(const http_head &Head) -> http_headers;

/// \return the headers of an answer that the gateway generates itself. A
/// positive \p RetryAfter is sent as the `Retry-After` header.
[[nodiscard]] auto gatewayHeaders(const std::string &RequestId,
                                  duration RetryAfter) -> http_headers;

} // namespace acacianotch::platform
