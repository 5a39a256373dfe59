/// \file Set-up of a control process.
#pragma once

#include "core/result.h"
#include "table/settings_type.h"

namespace acacianotch {

/// Runs a control replica, or a relay without a data folder, until a signal
/// ends it.
[[nodiscard]] auto runControl(const settings &Settings) -> result<void>;

/// Writes the identity and first membership of a replica of a new group, as
/// configured.
[[nodiscard]] auto initialiseControl(const settings &Settings) -> result<void>;

/// Writes the identity \p ReplicaId into an empty data folder. The group must
/// have added it as a learner before.
[[nodiscard]] auto joinControl(const settings &Settings,
                               std::uint64_t ReplicaId) -> result<void>;

} // namespace acacianotch
