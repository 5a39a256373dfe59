/// \file Parser of the platform's configuration document.
#pragma once

#include "core/result.h"
#include "routing/routing_type.h"

#include <string_view>

namespace acacianotch::platform {

/// Parses and validates a configuration. \return bad_request with the first
/// error: malformed JSON, a duplicate JSON key, a route to an unknown service,
/// two routes with the same host and prefix, weights that add up to 0, a
/// timeout of 0, or an API key of two client accounts.
[[nodiscard]] auto decodeConfiguration(std::string_view Text)
    -> result<routing_table>;

} // namespace acacianotch::platform
