/// \file Output of acacianotchctl: results and failures as text or JSON.
#pragma once

#include "ctl/change.h"

#include <iosfwd>

namespace acacianotch {

/// Output streams and format of results and messages.
struct ctl_output {
  std::ostream &Out; ///< Results.
  std::ostream &Err; ///< Messages.
  bool Json = false;

  /// Prints a failure. \return the exit code for it.
  [[nodiscard]] auto printFailure(const failure &Failure) const -> ctl_exit;

  /// Prints a failed change, and how to resend it if it may be in effect.
  /// \return the exit code for the failure.
  [[nodiscard]] auto printChangeFailure(const failure &Failure,
                                        const std::string &ChangeId) const
      -> ctl_exit;

  /// Prints the outcome of a change. \return ok.
  [[nodiscard]] auto printOutcome(const json &Outcome,
                                  const std::string &ChangeId) const
      -> ctl_exit;

  /// Prints the reply to a query of \p Options. \return ok.
  [[nodiscard]] auto printReply(const ctl_options &Options,
                                const json &Reply) const -> ctl_exit;
};

/// \return the differences between a catalogue entry and the entry of a file,
/// each as {key, catalogue, file}.
[[nodiscard]] auto entryDifferences(const json &Current, const json &Wanted)
    -> json;

/// Runs an action that needs no connection.
[[nodiscard]] auto runLocal(const ctl_options &Options,
                            const ctl_output &Output) -> ctl_exit;

} // namespace acacianotch
