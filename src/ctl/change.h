/// \file Commands that acacianotchctl sends.
#pragma once

#include "ctl/client_type.h"
#include "ctl/options.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace acacianotch {

/// Identity of a change. Equal identity and content make a resend harmless.
struct change_stamp {
  std::string Id;
  std::string Issuer;
  std::uint64_t IssuedMs = 0; ///< Wall clock at the first try.
};

/// \return a change id that starts with the time \p NowMs and continues with
/// \p Random.
[[nodiscard]] auto makeChangeId(std::uint64_t NowMs, std::uint64_t Random)
    -> std::string;

/// \return the identity of the change in \p Options: its change id, or a new
/// one from \p NowMs and \p Random.
[[nodiscard]] auto stampFor(const ctl_options &Options, std::uint64_t NowMs,
                            std::uint64_t Random) -> change_stamp;

/// \return \p Stamp for the entry at \p Index of a file.
[[nodiscard]] auto stampAt(const change_stamp &Stamp, std::size_t Index)
    -> change_stamp;

/// \return the command \p Name as sent to control.
[[nodiscard]] auto commandJson(const change_stamp &Stamp, std::string_view Name,
                               json Body) -> json;

/// Builds the command for a single change such as a withdrawal.
/// \return bad_request if an argument is malformed.
[[nodiscard]] auto changeFor(const ctl_options &Options,
                             const change_stamp &Stamp) -> result<json>;

/// Kind and name of an entry.
struct entry_name {
  std::string Kind;
  std::string Name; ///< Empty for all entries of the kind.

  /// \return query arguments.
  [[nodiscard]] auto arguments() const -> json;
};

/// Splits `KIND/NAME`, `KIND` or an empty text.
[[nodiscard]] auto parseEntryName(std::string_view Text) -> entry_name;

} // namespace acacianotch
