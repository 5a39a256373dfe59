/// \file Control role on a VM without a disk: refers clients to the leader.
#pragma once

#include "core/result.h"
#include "table/settings_type.h"

namespace acacianotch {

/// Runs a relay until a signal ends it. A relay holds no replica; it tracks the
/// leader, redirects operators to it and refers joining replicas to it.
[[nodiscard]] auto runControlRelay(const settings &Settings) -> result<void>;

} // namespace acacianotch
