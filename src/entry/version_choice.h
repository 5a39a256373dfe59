/// \file Selection of the version that runs a chat request.
#pragma once

#include "catalogue/catalogue_view.h"
#include "core/result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace acacianotch {

/// What a public model name resolves to for one account.
struct model_choice {
  std::string Class; ///< Default class of a route; otherwise empty.
  std::optional<double> QualityTarget; ///< Of the route.
  std::vector<version_ref> Candidates; ///< Allowed versions, cheapest first.
};

/// Resolves \p Name (a route, a model or `model@version`) to the versions that
/// the account may use and that receive new requests. During a rollout, \p Hash
/// selects the version of a model in proportion to the rollout's shares; equal
/// hashes select equal versions.
/// \return the choice, or `unknown_model`, `not_allowed` or
/// `version_withdrawn`.
[[nodiscard]] auto resolveModel(const catalogue_view &View,
                                const account_body &Account,
                                const std::string &Name, std::uint64_t Hash)
    -> result<model_choice>;

/// Checks a version that a session has pinned.
/// \return success, or the reason why the account cannot use the version.
[[nodiscard]] auto checkVersion(const catalogue_view &View,
                                const account_body &Account,
                                const version_ref &Version) -> result<void>;

/// \return whether \p Name can resolve to \p Version.
[[nodiscard]] auto mayResolveTo(const catalogue_view &View,
                                const std::string &Name,
                                const version_ref &Version) -> bool;

} // namespace acacianotch
