/// \file Control on a VM without a disk: it names the leader.
#pragma once

#include "core/result.h"
#include "table/settings_type.h"

namespace acacianotch {

/// Runs a relay until a signal ends it. A relay holds no replica; it follows
/// the group and sends operators and replicas that ask it to the leader.
[[nodiscard]] auto runControlRelay(const settings &Settings) -> result<void>;

} // namespace acacianotch
