/// \file Write-ahead log file.
#pragma once

#include "storage/file_system_type.h"
#include "storage/frame_func.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace acacianotch {

/// File type in the header of a log file.
inline constexpr std::string_view LogKind = "ANLG";

/// Log file to which frames are appended in batches; one sync makes a batch
/// durable. After an error every call fails, because the content of the disk is
/// unknown until the file is opened again.
template <file_system files_type> class log_file {
public:
  /// An open log file and its content.
  struct open_result;

  /// Opens or creates \p Folder/\p Name. An unsynced tail is removed; a damaged
  /// frame before it is `corrupt_data`. The file is rewritten, because after a
  /// failed sync the page cache may contain records that are not on disk, and
  /// recovered records must be durable.
  [[nodiscard]] static auto open(files_type &Files, std::string Folder,
                                 const std::string &Name)
      -> result<open_result>;

  /// Adds \p Frame to the current batch.
  [[nodiscard]] auto append(std::string_view Frame) -> result<void>;

  /// Writes the batch to the file without syncing it.
  [[nodiscard]] auto write() -> result<void>;

  /// Writes the batch and makes all appended frames durable.
  [[nodiscard]] auto sync() -> result<void>;

  /// Durably replaces the content of the file, and discards the batch.
  [[nodiscard]] auto replace(const std::vector<std::string> &Frames)
      -> result<void>;

  /// \return the size of the file in bytes, including the unwritten batch.
  [[nodiscard]] auto size() const -> std::uint64_t {
    return Written + Batch.size();
  }

private:
  log_file(files_type &System, std::string FolderPath, std::string FilePath)
      : Files(&System), Folder(std::move(FolderPath)),
        Path(std::move(FilePath)) {}

  [[nodiscard]] auto recordFailure(result<void> Outcome) -> result<void> {
    Failed = Failed || !Outcome.ok();
    return Outcome;
  }
  [[nodiscard]] auto replaceFile(const std::vector<std::string> &Frames)
      -> result<void>;

  files_type *Files;
  std::string Folder;
  std::string Path;
  std::optional<typename files_type::file> File;
  std::string Batch;
  std::uint64_t Written = 0; ///< Bytes written to the file.
  std::uint64_t Synced = 0;  ///< Bytes of the file that are durable.
  bool Failed = false;
};

template <file_system files_type> struct log_file<files_type>::open_result {
  log_file Log;                    ///< Ready for append().
  std::vector<std::string> Frames; ///< Content in file order.
  std::size_t TornBytes = 0;       ///< Size of the removed unsynced tail.
};

template <file_system files_type>
auto log_file<files_type>::open(files_type &Files, std::string Folder,
                                const std::string &Name)
    -> result<open_result> {
  auto Path = Folder + "/" + Name;
  auto Content = Files.read(Path);
  if (!Content)
    return Content.error();
  frame_scan Scan;
  if (Content->has_value()) {
    if (auto Outcome = checkHeader(**Content, LogKind, Path); !Outcome)
      return Outcome.error();
    auto Found = scanFrames(**Content, Path);
    if (!Found)
      return Found.error();
    Scan = std::move(*Found);
  }
  open_result Opened{log_file(Files, std::move(Folder), std::move(Path)),
                     std::move(Scan.Payloads), Scan.TornBytes};
  if (auto Outcome = Opened.Log.replace(Opened.Frames); !Outcome)
    return Outcome.error();
  return Opened;
}

template <file_system files_type>
auto log_file<files_type>::append(std::string_view Frame) -> result<void> {
  if (Failed)
    return failure::of(errc::storage_failed, Path + " failed before");
  if (Frame.size() > MaxFrameBytes)
    return recordFailure(failure::of(
        errc::storage_failed, "a record exceeds the size limit of " + Path));
  Batch += encodeLogFrame(Frame, Synced);
  return {};
}

template <file_system files_type>
auto log_file<files_type>::write() -> result<void> {
  if (Failed)
    return failure::of(errc::storage_failed, Path + " failed before");
  if (Batch.empty())
    return {};
  auto Outcome = Files->append(*File, Batch);
  Written += Batch.size();
  Batch.clear();
  return recordFailure(std::move(Outcome));
}

template <file_system files_type>
auto log_file<files_type>::sync() -> result<void> {
  if (auto Outcome = write(); !Outcome)
    return Outcome;
  if (Synced == Written)
    return {};
  auto Outcome = Files->sync(*File);
  Synced = Written;
  return recordFailure(std::move(Outcome));
}

template <file_system files_type>
auto log_file<files_type>::replace(const std::vector<std::string> &Frames)
    -> result<void> {
  if (Failed)
    return failure::of(errc::storage_failed, Path + " failed before");
  return recordFailure(replaceFile(Frames));
}

template <file_system files_type>
auto log_file<files_type>::replaceFile(const std::vector<std::string> &Frames)
    -> result<void> {
  const auto Temporary = Path + ".new";
  auto Created = Files->create(Temporary);
  if (!Created)
    return Created.error();
  auto Content = fileHeader(LogKind);
  for (const auto &Frame : Frames)
    Content += encodeLogFrame(Frame, 0);
  if (auto Outcome = Files->append(*Created, Content); !Outcome)
    return Outcome;
  if (auto Outcome = Files->sync(*Created); !Outcome)
    return Outcome;
  if (auto Outcome = Files->rename(Temporary, Path); !Outcome)
    return Outcome;
  if (auto Outcome = Files->syncFolder(Folder); !Outcome)
    return Outcome;
  File = std::move(*Created);
  Batch.clear();
  Written = Content.size();
  Synced = Content.size();
  return {};
}

} // namespace acacianotch
