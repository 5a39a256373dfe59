/// \file Wiring of the entry role.
#pragma once

#include "core/result.h"
#include "table/settings_type.h"

namespace acacianotch {

/// Runs an entry until a signal stops it.
[[nodiscard]] auto runEntry(const settings &Settings) -> result<void>;

} // namespace acacianotch
