/// \file Which version runs a chat request.
#pragma once

#include "catalogue/catalogue_view.h"
#include "core/result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace acacianotch {

/// What a public model name resolves to for one account.
struct model_choice {
  std::string Class; ///< Default class; empty if the name is no route.
  std::optional<double> QualityTarget; ///< Of the route.
  std::vector<version_ref> Candidates; ///< Allowed versions, cheapest first.
};

/// Resolves \p Name (a route, a model or `model@version`) to the versions that
/// the account may use and that receive new work. While a rollout is open, the
/// version within a model follows its shares, chosen by \p Hash, so equal
/// hashes get equal versions.
/// \return `unknown_model`, `not_allowed` or `version_withdrawn`.
[[nodiscard]] auto resolveModel(const catalogue_view &View,
                                const account_body &Account,
                                const std::string &Name, std::uint64_t Hash)
    -> result<model_choice>;

/// Checks one version, as pinned by a session. \return why it cannot be used.
[[nodiscard]] auto checkVersion(const catalogue_view &View,
                                const account_body &Account,
                                const version_ref &Version) -> result<void>;

/// \return whether \p Name may resolve to \p Version.
[[nodiscard]] auto namesVersion(const catalogue_view &View,
                                const std::string &Name,
                                const version_ref &Version) -> bool;

} // namespace acacianotch
