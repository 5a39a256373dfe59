/// \file Crash reports and verdicts in messages between gateways and control.
#pragma once

#include "controller/crash_type.h"

#include <acacianotch.capnp.h>

namespace acacianotch {

/// Times are sent as ages, because the clocks of processes differ.
auto writeCrashReport(wire::CrashReport::Builder Out,
                      const crash_report &Report, time_point Now) -> void;

[[nodiscard]] auto readCrashReport(wire::CrashReport::Reader In, time_point Now)
    -> crash_report;

auto writeCrashVerdicts(wire::CrashVerdicts::Builder Out,
                        const crash_verdicts &Verdicts) -> void;

[[nodiscard]] auto readCrashVerdicts(wire::CrashVerdicts::Reader In)
    -> crash_verdicts;

} // namespace acacianotch
