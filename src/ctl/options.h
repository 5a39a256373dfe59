/// \file Command line of acacianotchctl.
#pragma once

#include "core/address_type.h"
#include "core/error_type.h"

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace acacianotch {

/// Exit codes of acacianotchctl, as documented in docs/OPERATING.md.
enum class ctl_exit : std::uint8_t {
  ok = 0,
  failed = 1,       ///< The command failed, or a reply was an error.
  usage = 2,        ///< Wrong command line.
  bad_settings = 3, ///< A file given is invalid.
  conflict = 5,     ///< The entry has another revision or content.
  no_leader = 6,    ///< No leader or no quorum; the outcome may be unknown.
};

/// \return the exit code for \p Code.
[[nodiscard]] auto exitForCtl(errc Code) -> ctl_exit;

/// Action that the command line selects.
enum class ctl_action : std::uint8_t {
  invalid,
  apply,
  get,
  diff,
  history,
  remove,
  withdraw,
  rollout_start,
  rollout_pause,
  rollout_resume,
  rollout_abort,
  rollout_status,
  drain,
  evacuate,
  lift_quarantine,
  status,
  dump,
  log_level,
  replica_add,
  replica_promote,
  replica_remove,
  check_config,
  completion,
};

/// Parsed command line.
struct ctl_options {
  ctl_action Action = ctl_action::invalid;

  std::vector<address> Control; ///< RPC addresses of control.
  address Node;                 ///< Admin RPC address of one process.
  std::chrono::milliseconds Timeout{};
  bool Json = false;
  std::string ChangeId; ///< Id of a change to resend; empty for a new one.
  std::string Issuer;

  std::string File;
  std::string Target; ///< Entry, version, backend server, rollout or shell.
  std::string Reason;
  std::uint64_t Revision = 0; ///< Expected revision.
  bool Overwrite = false;     ///< Expect the current revision.
  bool Undo = false;          ///< Clear the leaving flag.

  std::string Model;
  std::string From;
  std::string To;
  std::vector<std::string> Stages; ///< SHARE[:MIN_REQUESTS[:MIN_SECONDS]].

  std::uint64_t ReplicaId = 0;
  std::string Address; ///< RPC address of a replica.

  std::string Category; ///< Log category; empty means all.
  std::string Level;    ///< New log level; empty shows the levels.

  /// \return whether the action needs a connection.
  [[nodiscard]] auto needsClient() const -> bool {
    return Action != ctl_action::check_config &&
           Action != ctl_action::completion;
  }
};

/// Parses the command line. Help and errors are printed to \p Out and \p Err.
/// \return the options, or the exit code of the process.
[[nodiscard]] auto parseCtlOptions(std::vector<std::string> Arguments,
                                   std::ostream &Out, std::ostream &Err)
    -> std::variant<ctl_options, ctl_exit>;

/// \return a completion script for bash.
[[nodiscard]] auto bashCompletion() -> std::string;

} // namespace acacianotch
