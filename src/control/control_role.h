/// \file Wiring of the control role.
#pragma once

#include "core/result.h"
#include "table/settings_type.h"

namespace acacianotch {

/// Runs a control replica until a signal ends it.
[[nodiscard]] auto runControl(const settings &Settings) -> result<void>;

/// Writes identity and membership of a new group's replica as in the settings.
[[nodiscard]] auto initialiseControl(const settings &Settings) -> result<void>;

/// Gives an empty data folder the identity \p ReplicaId, which the group has
/// added as a learner before.
[[nodiscard]] auto joinControl(const settings &Settings,
                               std::uint64_t ReplicaId) -> result<void>;

} // namespace acacianotch
