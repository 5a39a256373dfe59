/// \file In-memory file system with fault injection.
#pragma once

#include "core/random_type.h"
#include "storage/file_system_type.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace acacianotch::test {

/// Content of a file. The first Synced bytes survive a crash.
struct memory_inode {
  std::string Data;
  std::size_t Synced = 0;
};

/// Files of one simulated machine. They survive a restart of its process.
class memory_file_system {
public:
  using file = std::shared_ptr<memory_inode>;

  /// Modifying operations that succeed before all further ones fail.
  std::uint64_t OperationsLeft = std::numeric_limits<std::uint64_t>::max();
  /// An append that exceeds it writes only a part and fails.
  std::uint64_t FreeBytes = std::numeric_limits<std::uint64_t>::max();
  bool FailSync = false;  ///< Makes every sync fail.
  std::string FailCreate; ///< Creating this file and all later operations fail.

  auto create(const std::string &Path) -> result<file> {
    if (Path == FailCreate)
      OperationsLeft = 0;
    if (!consumeOperation())
      return injectedFault(Path);
    return CurrentNames[Path] = std::make_shared<memory_inode>();
  }

  auto read(const std::string &Path) -> result<std::optional<std::string>> {
    const auto Found = CurrentNames.find(Path);
    if (Found == CurrentNames.end())
      return std::optional<std::string>();
    return std::optional(Found->second->Data);
  }

  auto append(file &File, std::string_view Bytes) -> result<void> {
    if (!consumeOperation())
      return injectedFault("append");
    const auto Count = std::min<std::uint64_t>(Bytes.size(), FreeBytes);
    File->Data += Bytes.substr(0, Count);
    FreeBytes -= Count;
    if (Count < Bytes.size())
      return injectedFault("no space left");
    return {};
  }

  auto sync(file &File) -> result<void> {
    if (FailSync || !consumeOperation())
      return injectedFault("sync");
    File->Synced = File->Data.size();
    return {};
  }

  auto rename(const std::string &From, const std::string &To) -> result<void> {
    if (!consumeOperation())
      return injectedFault(From);
    CurrentNames[To] = CurrentNames.at(From);
    CurrentNames.erase(From);
    return {};
  }

  auto syncFolder(const std::string &Path) -> result<void> {
    if (!consumeOperation())
      return injectedFault(Path);
    DurableNames = CurrentNames;
    return {};
  }

  /// Simulates a crash. Keeps or loses all unsynced renames at random, and
  /// truncates the unsynced tail of each file at random. A byte of the
  /// remaining tail may be corrupted, because pages reach the disk in any
  /// order.
  template <random_source source> auto crash(source &Random) -> void {
    if (randomBelow(Random, 2) == 0)
      CurrentNames = DurableNames;
    for (auto &[Path, Inode] : CurrentNames) {
      auto &Data = Inode->Data;
      const auto Unsynced = Data.size() - Inode->Synced;
      Data.resize(Inode->Synced + randomBelow(Random, Unsynced + 1));
      const auto Kept = Data.size() - Inode->Synced;
      if (Kept > 1 && randomBelow(Random, 4) == 0)
        Data[Inode->Synced + randomBelow(Random, Kept)] ^= 0x55;
      Inode->Synced = Data.size();
    }
    DurableNames = CurrentNames;
    clearFaults();
  }

  /// Removes all injected faults.
  auto clearFaults() -> void {
    OperationsLeft = std::numeric_limits<std::uint64_t>::max();
    FreeBytes = std::numeric_limits<std::uint64_t>::max();
    FailSync = false;
    FailCreate.clear();
  }

  /// Deletes all files.
  auto wipe() -> void {
    CurrentNames.clear();
    DurableNames.clear();
  }

  /// \return the content of \p Path, which must exist; tests modify it to
  /// inject damage.
  auto data(const std::string &Path) -> std::string & {
    return CurrentNames.at(Path)->Data;
  }

private:
  auto consumeOperation() -> bool {
    if (OperationsLeft == 0)
      return false;
    --OperationsLeft;
    return true;
  }

  static auto injectedFault(const std::string &Detail) -> failure {
    return failure::of(errc::storage_failed, "injected fault: " + Detail);
  }

  /// Files by name, as visible to the process.
  std::map<std::string, file> CurrentNames;
  /// Files by name, as they are after a crash.
  std::map<std::string, file> DurableNames;
};

static_assert(file_system<memory_file_system>);

} // namespace acacianotch::test
