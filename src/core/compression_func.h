/// \file Compression of large texts with Zstandard.
#pragma once

#include "core/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace acacianotch {

/// \return \p Text as one Zstandard frame.
[[nodiscard]] auto compress(std::string_view Text) -> result<std::string>;

/// \return the text in \p Frame; `corrupt_data` if it is damaged or longer than
/// \p MaxBytes. Bytes that are not a Zstandard frame are returned unchanged.
[[nodiscard]] auto decompress(std::string_view Frame, std::size_t MaxBytes)
    -> result<std::string>;

} // namespace acacianotch
