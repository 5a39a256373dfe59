/// \file Main function of the gateway role.
#pragma once

#include "core/result.h"
#include "table/settings_type.h"

namespace acacianotch {

/// Runs a gateway until shutdown. It forwards requests of callers directly to
/// backend servers, by the routing document from control.
[[nodiscard]] auto runGateway(const settings &Settings) -> result<void>;

} // namespace acacianotch
