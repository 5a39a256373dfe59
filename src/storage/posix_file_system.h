/// \file POSIX implementation of the file operations.
#pragma once

#include "storage/file_system_type.h"

#include <string>
#include <utility>

namespace acacianotch {

/// Owns an open file descriptor and closes it on destruction.
class posix_file {
public:
  posix_file(int OpenDescriptor, std::string OpenPath)
      : Descriptor(OpenDescriptor), Path(std::move(OpenPath)) {}
  posix_file(posix_file &&Other) noexcept
      : Descriptor(std::exchange(Other.Descriptor, -1)),
        Path(std::move(Other.Path)) {}
  auto operator=(posix_file &&Other) noexcept -> posix_file & {
    std::swap(Descriptor, Other.Descriptor);
    std::swap(Path, Other.Path);
    return *this;
  }
  posix_file(const posix_file &) = delete;
  auto operator=(const posix_file &) -> posix_file & = delete;
  ~posix_file();

  [[nodiscard]] auto descriptor() const -> int { return Descriptor; }
  [[nodiscard]] auto path() const -> const std::string & { return Path; }

private:
  int Descriptor;
  std::string Path;
};

/// File system of the operating system.
class posix_file_system {
public:
  using file = posix_file;

  /// Creates \p Path, or truncates it if it exists.
  [[nodiscard]] auto create(const std::string &Path) -> result<file>;

  /// \return the content of \p Path; none if it does not exist.
  [[nodiscard]] auto read(const std::string &Path)
      -> result<std::optional<std::string>>;

  /// Appends \p Bytes to \p File.
  [[nodiscard]] auto append(file &File, std::string_view Bytes) -> result<void>;

  /// Makes the content and size of \p File durable.
  [[nodiscard]] auto sync(file &File) -> result<void>;

  /// Renames \p From to \p To, which is replaced if it exists.
  [[nodiscard]] auto rename(const std::string &From, const std::string &To)
      -> result<void>;

  /// Makes creations and renames in \p Path durable.
  [[nodiscard]] auto syncFolder(const std::string &Path) -> result<void>;
};

static_assert(file_system<posix_file_system>);

/// \return `storage_failed` with the operation, the path and the description of
/// errno.
[[nodiscard]] auto errnoFailure(std::string_view Operation,
                                const std::string &Path) -> failure;

} // namespace acacianotch
