/// \file Backend servers in the state dump of a gateway.
#pragma once

#include "catalogue/value_codec.h"
#include "gateway/backend_directory.h"

namespace acacianotch {

/// \return one row for each listed backend server.
[[nodiscard]] auto dumpBackends(const backend_directory &Directory) -> json;

} // namespace acacianotch
