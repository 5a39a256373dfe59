/// \file What a model engine reports of its own work.
#pragma once

#include "core/result.h"
#include "routing/backend_type.h"

#include <string_view>

namespace acacianotch::platform {

/// Request target of the report.
inline constexpr std::string_view ReportTarget = "/api/report";

/// Reads a report. Runs that cannot be read are left out. \return bad_request
/// if the report itself cannot be read.
[[nodiscard]] auto decodeReport(std::string_view Text)
    -> result<backend_report>;

} // namespace acacianotch::platform
