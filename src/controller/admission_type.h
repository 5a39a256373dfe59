/// \file Outcome of an admission decision.
#pragma once

#include "core/clock_type.h"
#include "core/result.h"

namespace acacianotch {

/// Whether a request is taken. A rejection allocates nothing, so that it stays
/// cheap under overload; its verdict is always `not_run`.
struct [[nodiscard]] admission_result {
  errc Code = errc::ok;   ///< `ok`, or why the request is rejected.
  duration RetryAfter{0}; ///< Advice to the caller; 0 if it cannot help.

  /// \return whether the request is taken.
  [[nodiscard]] auto ok() const -> bool { return Code == errc::ok; }

  /// \return the rejection as a failure; call only if not ok().
  [[nodiscard]] auto error() const -> failure {
    return {Code, {}, verdict::not_run};
  }
};

} // namespace acacianotch
