/// \file Request ids.
#pragma once

#include "core/id_type.h"

namespace acacianotch {

/// \return a new id that is unique in the whole system: `SOURCE-SEQUENCE`,
/// where SOURCE is a random number generated once per process.
[[nodiscard]] auto newRequestId() -> request_id;

} // namespace acacianotch
