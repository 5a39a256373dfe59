/// \file Answers of the callers' interface: errors and JSON.
#pragma once

#include "core/clock_type.h"
#include "core/result.h"
#include "net/http_server.h"

#include <string>

namespace acacianotch {

/// Header that carries the verdict of every answer.
inline constexpr const char *VerdictHeader = "X-Verdict";

/// \return the JSON body of an error, in the shape of OpenAI-style interfaces
/// with the verdict added.
[[nodiscard]] auto errorBody(const failure &Failure) -> std::string;

/// Answers with an error. \p RetryAfter is advice; 0 for none.
auto replyError(http_exchange &Exchange, const failure &Failure,
                duration RetryAfter = duration::zero(),
                http_headers Headers = {}) -> void;

/// Answers with JSON.
auto replyJson(http_exchange &Exchange, int Status, std::string_view Body,
               http_headers Headers = {}) -> void;

} // namespace acacianotch
