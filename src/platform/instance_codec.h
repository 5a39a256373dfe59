/// \file One page of the platform's list of backend servers.
#pragma once

#include "core/result.h"
#include "routing/backend_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acacianotch::platform {

/// A page and where the next one begins.
struct instance_page {
  std::vector<backend_record> Backends;
  std::optional<std::string> Next; ///< Nothing on the last page.
  std::size_t Skipped = 0;         ///< Entries that cannot be read.
};

/// Reads a page. Unreadable entries are skipped. \return bad_request if the
/// page itself cannot be read.
[[nodiscard]] auto decodeInstancePage(std::string_view Text)
    -> result<instance_page>;

/// \return the request target of a page; an empty token is the first page.
[[nodiscard]] auto instancePageTarget(const std::string &Token) -> std::string;

} // namespace acacianotch::platform
