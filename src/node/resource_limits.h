/// \file Limits of HTTP servers, derived from what the process may use.
#pragma once

#include "net/http_server.h"
#include "table/settings_type.h"

#include <cstddef>

namespace acacianotch {

/// \return limits for a server that is asked for readiness without a body.
[[nodiscard]] auto readinessServerOptions(const node_settings &Settings)
    -> http_server_options;

/// \return limits for a server that answers /metrics and /dump.
[[nodiscard]] auto adminServerOptions(const node_settings &Settings)
    -> http_server_options;

/// \return limits for a server that takes operators' documents of up to
/// \p MaxBodyBytes.
[[nodiscard]] auto operatorServerOptions(const node_settings &Settings,
                                         std::size_t MaxBodyBytes)
    -> http_server_options;

/// \return limits for an entry's callers.
[[nodiscard]] auto entryServerOptions(const node_settings &Settings,
                                      const http_settings &Http)
    -> http_server_options;

} // namespace acacianotch
