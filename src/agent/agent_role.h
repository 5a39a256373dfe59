/// \file Set-up and main loop of the agent role.
#pragma once

#include "core/result.h"
#include "table/settings_type.h"

namespace acacianotch {

/// Runs an agent until SIGTERM or SIGINT. \return success after a graceful
/// shutdown.
[[nodiscard]] auto runAgent(const settings &Settings) -> result<void>;

} // namespace acacianotch
