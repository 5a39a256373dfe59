/// \file Parser of the platform's list of backend servers.
#pragma once

#include "core/result.h"
#include "routing/backend_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acacianotch::platform {

/// One page of the list.
struct instance_page {
  std::vector<backend_record> Backends;
  /// Token of the next page; none on the last one.
  std::optional<std::string> Next;
  std::size_t Skipped = 0; ///< Number of unreadable entries.
};

/// Parses a page and skips unreadable entries. \return bad_request if the page
/// itself is malformed.
[[nodiscard]] auto decodeInstancePage(std::string_view Text)
    -> result<instance_page>;

/// \return the request target of a page; an empty token selects the first page.
[[nodiscard]] auto instancePageTarget(const std::string &Token) -> std::string;

} // namespace acacianotch::platform
