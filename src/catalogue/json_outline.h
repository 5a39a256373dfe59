/// \file Division of a large JSON document into parts.
#pragma once

#include "catalogue/value_codec.h"

#include <string_view>
#include <vector>

namespace acacianotch {

/// A JSON object whose lists have not been decoded yet.
struct json_outline {
  /// The object, with the elements of its direct lists replaced by their
  /// indexes in Elements.
  json Skeleton;
  std::vector<std::string_view> Elements; ///< Text of each element, unchecked.
};

/// Divides \p Text, which must outlive the outline. The text is valid JSON if
/// this succeeds and each element is valid. \return bad_request if the skeleton
/// is invalid.
[[nodiscard]] auto outlineJson(std::string_view Text) -> result<json_outline>;

} // namespace acacianotch
