/// \file The platform's configuration document as a routing table.
#pragma once

#include "core/result.h"
#include "routing/routing_type.h"

#include <string_view>

namespace acacianotch::platform {

/// Reads and checks a configuration. \return bad_request naming the first
/// fault: unreadable JSON, a repeated key, a route without a known service, two
/// routes at one place, weights that add up to 0, a time-out of 0, or a key
/// that two client accounts share.
[[nodiscard]] auto decodeConfiguration(std::string_view Text)
    -> result<routing_table>;

} // namespace acacianotch::platform
