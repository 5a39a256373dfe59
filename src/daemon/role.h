/// \file Entry point of the roles.
#pragma once

#include "core/result.h"
#include "table/settings_type.h"

namespace acacianotch {

/// Runs the role of \p Settings until it is told to stop.
/// \return success after a graceful shutdown.
[[nodiscard]] auto runRole(const settings &Settings) -> result<void>;

} // namespace acacianotch
