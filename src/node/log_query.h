/// \file Admin query that reads and sets log levels.
#pragma once

#include "core/result.h"

#include <nlohmann/json.hpp>

namespace acacianotch {

/// Sets the level in \p Arguments, `{category?, level?}`; without a category
/// for all categories. \return the levels of all categories; `bad_request` for
/// an unknown name.
[[nodiscard]] auto queryLogLevel(const nlohmann::json &Arguments)
    -> result<nlohmann::json>;

} // namespace acacianotch
