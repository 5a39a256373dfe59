/// \file Request ids.
#pragma once

#include "core/id_type.h"

namespace acacianotch {

/// \return a new id that is unique system-wide: `SOURCE-SEQUENCE`, where the
/// source is drawn at random when the process starts.
[[nodiscard]] auto newRequestId() -> request_id;

} // namespace acacianotch
