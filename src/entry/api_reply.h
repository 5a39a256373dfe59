/// \file Responses of the HTTP API: errors and JSON.
#pragma once

#include "core/clock_type.h"
#include "core/result.h"
#include "net/http_server.h"

#include <string>

namespace acacianotch {

/// Response header with the verdict: whether the request has run.
inline constexpr const char *VerdictHeader = "X-Verdict";

/// \return the JSON body of an error in the format of the OpenAI API, with the
/// verdict added.
[[nodiscard]] auto errorBody(const failure &Failure) -> std::string;

/// Sends an error response. \p RetryAfter becomes the `Retry-After` headers; 0
/// omits them.
auto replyError(http_exchange &Exchange, const failure &Failure,
                duration RetryAfter = duration::zero(),
                http_headers Headers = {}) -> void;

/// Sends a JSON response.
auto replyJson(http_exchange &Exchange, int Status, std::string_view Body,
               http_headers Headers = {}) -> void;

} // namespace acacianotch
