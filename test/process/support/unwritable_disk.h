/// \file Disk of a control replica that refuses writes for a while.
#pragma once

#include <array>
#include <filesystem>
#include <vector>

namespace acacianotch {

/// Makes a replica unable to replace its snapshot and its log, until released.
class unwritable_disk {
public:
  explicit unwritable_disk(const std::filesystem::path &DataFolder) {
    for (const auto *Name : Names) {
      std::error_code Error;
      if (std::filesystem::create_directory(DataFolder / Name, Error))
        Blocking.push_back(DataFolder / Name);
    }
  }

  auto release() -> void {
    std::error_code Error;
    for (const auto &Folder : Blocking)
      std::filesystem::remove(Folder, Error);
    Blocking.clear();
  }

private:
  /// The files that replace the snapshot and the log cannot be created while
  /// folders have their names.
  static constexpr std::array Names{"snapshot.new", "log.new"};

  std::vector<std::filesystem::path> Blocking;
};

} // namespace acacianotch
