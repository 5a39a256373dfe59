/// \file Set-up and main loop of the entry role.
#pragma once

#include "core/result.h"
#include "table/settings_type.h"

namespace acacianotch {

/// Runs an entry until SIGTERM or SIGINT. \return success after a graceful
/// shutdown.
[[nodiscard]] auto runEntry(const settings &Settings) -> result<void>;

} // namespace acacianotch
