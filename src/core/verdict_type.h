/// \file Verdict: whether a request may have run on a backend server.
#pragma once

#include "core/enum_table.h"

#include <cstdint>

namespace acacianotch {

/// Tells a caller whether its request may have run.
enum class verdict : std::uint8_t {
  invalid,      ///< Not set; never sent to a caller.
  not_run,      ///< No backend server received a byte of the request.
  may_have_run, ///< Bytes were handed to a backend server; outcome unknown.
  ran,          ///< The backend server answered.
};

/// Names of verdicts as sent to callers and written to logs.
inline constexpr enum_table<verdict, 4> VerdictNames{{{
    {verdict::invalid, "invalid"},
    {verdict::not_run, "not_run"},
    {verdict::may_have_run, "may_have_run"},
    {verdict::ran, "ran"},
}}};

} // namespace acacianotch
