/// \file Output of acacianotchctl: results and failures as text or JSON.
#pragma once

#include "ctl/change.h"

#include <iosfwd>

namespace acacianotch {

/// Where results and messages go.
struct ctl_output {
  std::ostream &Out; ///< Results.
  std::ostream &Err; ///< Messages.
  bool Json = false;

  /// Prints a failure. \return its exit code.
  [[nodiscard]] auto fail(const failure &Failure) const -> ctl_exit;

  /// Prints a failed change, and how to resend it if it may be in effect.
  /// \return its exit code.
  [[nodiscard]] auto failChange(const failure &Failure,
                                const std::string &ChangeId) const -> ctl_exit;

  /// Prints the outcome of a change. \return ok.
  [[nodiscard]] auto changed(const json &Outcome,
                             const std::string &ChangeId) const -> ctl_exit;

  /// Prints the reply to a query of \p Options. \return ok.
  [[nodiscard]] auto reply(const ctl_options &Options, const json &Reply) const
      -> ctl_exit;
};

/// One difference between a file and the catalogue: {key, catalogue, file}.
[[nodiscard]] auto entryDifferences(const json &Current, const json &Wanted)
    -> json;

/// Runs an action that needs no connection.
[[nodiscard]] auto runLocal(const ctl_options &Options,
                            const ctl_output &Output) -> ctl_exit;

} // namespace acacianotch
