/// \file The data folder of one process.
#pragma once

#include "core/result.h"
#include "storage/posix_file_system.h"

#include <string>
#include <utility>

namespace acacianotch {

/// A folder that only one process uses at a time.
class data_folder {
public:
  /// Creates \p Path if needed and locks it; `address_in_use` if another
  /// process has it open.
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
