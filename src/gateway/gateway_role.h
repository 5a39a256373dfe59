/// \file Wiring of the gateway role.
#pragma once

#include "core/result.h"
#include "table/settings_type.h"

namespace acacianotch {

/// Runs a gateway until it is told to stop. It forwards callers' requests
/// straight to backend servers by the routing document of control.
[[nodiscard]] auto runGateway(const settings &Settings) -> result<void>;

} // namespace acacianotch
