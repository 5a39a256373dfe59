/// \file Request ids.
#pragma once

#include "core/id_type.h"

namespace acacianotch {

/// \return a new id that is unique system-wide: 128 random bits in hex.
[[nodiscard]] auto newRequestId() -> request_id;

} // namespace acacianotch
