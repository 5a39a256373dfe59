/// \file Commands that acacianotchctl sends.
#pragma once

#include "ctl/client_type.h"
#include "ctl/options.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace acacianotch {

/// Identity of a change. Control applies a change that is sent again with the
/// same identity and content only once.
struct change_identity {
  std::string Id;
  std::string Issuer;
  std::uint64_t IssuedMs = 0; ///< Wall clock at the first attempt.
};

/// \return the change id `TIME-RANDOM`, with \p NowMs and \p Random in
/// hexadecimal.
[[nodiscard]] auto makeChangeId(std::uint64_t NowMs, std::uint64_t Random)
    -> std::string;

/// \return the identity of the change in \p Options: its change id, or a new
/// one made of \p NowMs and \p Random.
[[nodiscard]] auto identityFor(const ctl_options &Options, std::uint64_t NowMs,
                               std::uint64_t Random) -> change_identity;

/// \return the identity of the entry at \p Index of a file that is applied with
/// \p Identity.
[[nodiscard]] auto identityForEntry(const change_identity &Identity,
                                    std::size_t Index) -> change_identity;

/// \return the command \p Name in the form that is sent to control.
[[nodiscard]] auto commandJson(const change_identity &Identity,
                               std::string_view Name, json Body) -> json;

/// Builds the command for a single change such as a withdrawal.
/// \return bad_request if an argument is malformed.
[[nodiscard]] auto changeFor(const ctl_options &Options,
                             const change_identity &Identity) -> result<json>;

/// Kind and name of a catalogue entry.
struct entry_name {
  std::string Kind;
  std::string Name; ///< Empty for all entries of the kind.

  /// \return the arguments of a query for the entry.
  [[nodiscard]] auto arguments() const -> json;
};

/// Splits `KIND/NAME`, `KIND` or an empty string.
[[nodiscard]] auto parseEntryName(std::string_view Text) -> entry_name;

} // namespace acacianotch
