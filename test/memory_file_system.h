/// \file A disk in memory with injected faults.
#pragma once

#include "core/random_type.h"
#include "storage/file_type.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace acacianotch::test {

/// Content of a file; the first Synced bytes survive a crash.
struct memory_inode {
  std::string Data;
  std::size_t Synced = 0;
};

/// Files of one machine. The object outlives the process that uses it.
class memory_file_system {
public:
  using file = std::shared_ptr<memory_inode>;

  std::uint64_t OperationsLeft = ///< Changes that succeed before all fail.
      std::numeric_limits<std::uint64_t>::max();
  std::uint64_t FreeBytes = ///< Appends beyond it write a part and fail.
      std::numeric_limits<std::uint64_t>::max();
  bool FailSync = false;  ///< Each sync fails.
  std::string FailCreate; ///< All fail once this file is created.

  auto create(const std::string &Path) -> result<file> {
    if (Path == FailCreate)
      OperationsLeft = 0;
    if (!spend())
      return refuse(Path);
    return Present[Path] = std::make_shared<memory_inode>();
  }

  auto read(const std::string &Path) -> result<std::optional<std::string>> {
    const auto Found = Present.find(Path);
    if (Found == Present.end())
      return std::optional<std::string>();
    return std::optional(Found->second->Data);
  }

  auto append(file &File, std::string_view Bytes) -> result<void> {
    if (!spend())
      return refuse("append");
    const auto Count = std::min<std::uint64_t>(Bytes.size(), FreeBytes);
    File->Data += Bytes.substr(0, Count);
    FreeBytes -= Count;
    if (Count < Bytes.size())
      return refuse("no space left");
    return {};
  }

  auto sync(file &File) -> result<void> {
    if (FailSync || !spend())
      return refuse("sync");
    File->Synced = File->Data.size();
    return {};
  }

  auto rename(const std::string &From, const std::string &To) -> result<void> {
    if (!spend())
      return refuse(From);
    Present[To] = Present.at(From);
    Present.erase(From);
    return {};
  }

  auto syncFolder(const std::string &Path) -> result<void> {
    if (!spend())
      return refuse(Path);
    Lasting = Present;
    return {};
  }

  /// Loses writes that were not synced: renames, and of each file's unsynced
  /// tail a random part, possibly with a hole before bytes that survive.
  template <random_source source> auto crash(source &Random) -> void {
    if (randomBelow(Random, 2) == 0)
      Present = Lasting;
    for (auto &[Path, Inode] : Present) {
      auto &Data = Inode->Data;
      const auto Unsynced = Data.size() - Inode->Synced;
      Data.resize(Inode->Synced + randomBelow(Random, Unsynced + 1));
      const auto Kept = Data.size() - Inode->Synced;
      if (Kept > 1 && randomBelow(Random, 4) == 0)
        Data[Inode->Synced + randomBelow(Random, Kept)] ^= 0x55;
      Inode->Synced = Data.size();
    }
    Lasting = Present;
    repair();
  }

  /// Ends the injected faults.
  auto repair() -> void {
    OperationsLeft = std::numeric_limits<std::uint64_t>::max();
    FreeBytes = std::numeric_limits<std::uint64_t>::max();
    FailSync = false;
    FailCreate.clear();
  }

  /// Loses everything.
  auto wipe() -> void {
    Present.clear();
    Lasting.clear();
  }

  /// \return the content of \p Path, which must exist, for damage in tests.
  auto data(const std::string &Path) -> std::string & {
    return Present.at(Path)->Data;
  }

private:
  auto spend() -> bool {
    if (OperationsLeft == 0)
      return false;
    --OperationsLeft;
    return true;
  }

  static auto refuse(const std::string &What) -> failure {
    return failure::of(errc::storage_failed, "injected fault: " + What);
  }

  std::map<std::string, file> Present; ///< Names as the process sees them.
  std::map<std::string, file> Lasting; ///< Names that survive a crash.
};

static_assert(file_system<memory_file_system>);

} // namespace acacianotch::test
