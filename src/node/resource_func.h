/// \file What a process may use of its machine.
#pragma once

#include "table/settings_type.h"

#include <cstddef>

namespace acacianotch {

/// \return the bytes of memory that the process may use; 0 if neither the
/// settings nor the system state it.
[[nodiscard]] auto processMemory(const node_settings &Settings) -> std::size_t;

/// \return the descriptors that the process may use.
[[nodiscard]] auto processDescriptors(const node_settings &Settings)
    -> std::size_t;

} // namespace acacianotch
