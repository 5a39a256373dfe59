/// \file Parser of model engines' reports of their own work.
#pragma once

#include "core/result.h"
#include "routing/backend_type.h"

#include <string_view>

namespace acacianotch::platform {

/// Request target of the report on a model engine.
inline constexpr std::string_view ReportTarget = "/api/report";

/// Parses a report and skips unreadable runs. \return bad_request if the report
/// itself is malformed.
[[nodiscard]] auto decodeReport(std::string_view Text)
    -> result<backend_report>;

} // namespace acacianotch::platform
