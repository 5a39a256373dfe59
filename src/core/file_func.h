/// \file Reading of small files such as settings and secrets.
#pragma once

#include "core/result.h"
#include "core/secret_type.h"

#include <cstddef>
#include <filesystem>
#include <string>

namespace acacianotch {

/// Largest file that readSmallFile() accepts, in bytes.
inline constexpr std::size_t SmallFileLimit = 16ULL * 1024 * 1024;

/// Reads a regular file. \return bad_settings if it cannot be read or is
/// larger than SmallFileLimit.
[[nodiscard]] auto readSmallFile(const std::filesystem::path &File)
    -> result<std::string>;

/// Reads a secret from the first line of \p File. \return bad_settings if the
/// file cannot be read or the line is shorter than 16 characters.
[[nodiscard]] auto readSecretFile(const std::filesystem::path &File)
    -> result<secret>;

/// \return whether users other than owner and group may read \p File.
[[nodiscard]] auto othersMayRead(const std::filesystem::path &File) -> bool;

} // namespace acacianotch
