/// \file Conversion of one setting between TOML, its member and JSON.
#pragma once

#include "table/settings.h"
#include "table/toml_type.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace acacianotch::detail {

/// Fills the member of \p Row from \p Node if the node has the row's type and
/// lies within its range. Relative paths are taken relative to \p Folder.
/// \return whether it did.
[[nodiscard]] auto assign(const setting_row &Row, const toml::node &Node,
                          const std::filesystem::path &Folder,
                          settings &Settings) -> bool;

/// \return the member of \p Row as JSON; null if it is not set.
[[nodiscard]] auto toJson(const setting_row &Row, const settings &Settings)
    -> nlohmann::ordered_json;

/// \return \p Node on one line, shortened, for messages.
[[nodiscard]] auto foundText(const toml::node &Node) -> std::string;

} // namespace acacianotch::detail
