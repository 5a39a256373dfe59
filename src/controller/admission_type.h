/// \file Outcome of an admission decision.
#pragma once

#include "core/clock_type.h"
#include "core/result.h"

namespace acacianotch {

/// Whether a request is admitted. A rejection allocates nothing, so that it
/// stays cheap under overload; its verdict is always `not_run`.
struct [[nodiscard]] admission_result {
  errc Code = errc::ok;   ///< `ok`, or the reason for the rejection.
  duration RetryAfter{0}; ///< Delay before a retry; 0 if none helps.

  /// \return whether the request is admitted.
  [[nodiscard]] auto ok() const -> bool { return Code == errc::ok; }

  /// \return the rejection as a failure; call only if not ok().
  [[nodiscard]] auto error() const -> failure {
    return {Code, {}, verdict::not_run};
  }
};

} // namespace acacianotch
