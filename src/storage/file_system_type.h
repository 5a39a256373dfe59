/// \file File operations required by durable storage.
#pragma once

#include "core/result.h"

#include <concepts>
#include <optional>
#include <string>
#include <string_view>

namespace acacianotch {

/// File operations; tests use their own implementation to inject faults. All
/// errors are `storage_failed` with the path in the detail.
template <typename type>
concept file_system = requires(type &Files, typename type::file &File,
                               const std::string &Path,
                               const std::string &NewPath,
                               std::string_view Bytes) {
  { Files.create(Path) } -> std::same_as<result<typename type::file>>;
  { Files.read(Path) } -> std::same_as<result<std::optional<std::string>>>;
  { Files.append(File, Bytes) } -> std::same_as<result<void>>;
  { Files.sync(File) } -> std::same_as<result<void>>;
  { Files.rename(Path, NewPath) } -> std::same_as<result<void>>;
  { Files.syncFolder(Path) } -> std::same_as<result<void>>;
};

} // namespace acacianotch
