/// \file Starts the role that the settings select.
#pragma once

#include "core/result.h"
#include "table/settings_type.h"

namespace acacianotch {

/// Runs the role that \p Settings select until SIGTERM or SIGINT.
/// \return success after a graceful shutdown.
[[nodiscard]] auto runRole(const settings &Settings) -> result<void>;

} // namespace acacianotch
