/// \file Data folder of a process.
#pragma once

#include "core/result.h"
#include "storage/posix_file_system.h"

#include <string>
#include <utility>

namespace acacianotch {

/// Data folder, locked against use by other processes.
class data_folder {
public:
  /// Creates \p Path if it does not exist, and locks it; `address_in_use` if
  /// another process holds the lock.
  [[nodiscard]] static auto open(const std::string &Path)
      -> result<data_folder>;

  [[nodiscard]] auto path() const -> const std::string & { return Path; }

private:
  data_folder(posix_file LockFile, std::string FolderPath)
      : Lock(std::move(LockFile)), Path(std::move(FolderPath)) {}

  posix_file Lock;
  std::string Path;
};

} // namespace acacianotch
