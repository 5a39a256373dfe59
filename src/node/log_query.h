/// \file Log levels as the client sees and changes them.
#pragma once

#include "core/result.h"

#include <nlohmann/json.hpp>

namespace acacianotch {

/// Sets the level given in `{category?, level?}`. \return the levels of all
/// categories; `bad_request` for an unknown name.
[[nodiscard]] auto queryLogLevel(const nlohmann::json &Arguments)
    -> result<nlohmann::json>;

} // namespace acacianotch
