/// \file Wiring of the agent role.
#pragma once

#include "core/result.h"
#include "table/settings_type.h"

namespace acacianotch {

/// Runs an agent until a signal ends it.
[[nodiscard]] auto runAgent(const settings &Settings) -> result<void>;

} // namespace acacianotch
