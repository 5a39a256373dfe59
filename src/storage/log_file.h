/// \file Write-ahead log file.
#pragma once

#include "storage/file_type.h"
#include "storage/frame_func.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace acacianotch {

/// Kind in the header of a log file.
inline constexpr std::string_view LogKind = "ANLG";

/// Appends frames to one file, with one sync for many frames. After an error
/// every call fails: what the disk holds is known only after a new open().
template <file_system files_type> class log_file {
public:
  /// A log file with what it held.
  struct opened;

  /// Opens \p Folder/\p Name, or creates it. An unsynced tail is cut off;
  /// a damaged record before it is `corrupt_data`. The file is written anew:
  /// after a failed sync the page cache can hold records that are not on
  /// disk, and a recovered record must be durable.
  [[nodiscard]] static auto open(files_type &Files, std::string Folder,
                                 const std::string &Name) -> result<opened>;

  /// Adds \p Frame to the batch.
  [[nodiscard]] auto append(std::string_view Frame) -> result<void>;

  /// Hands the batch to the operating system.
  [[nodiscard]] auto write() -> result<void>;

  /// Makes everything appended durable.
  [[nodiscard]] auto sync() -> result<void>;

  /// Replaces the whole content, durably; drops the batch.
  [[nodiscard]] auto replace(const std::vector<std::string> &Frames)
      -> result<void>;

  /// \return the size of the file with the batch, in bytes.
  [[nodiscard]] auto size() const -> std::uint64_t {
    return Written + Batch.size();
  }

private:
  log_file(files_type &System, std::string FolderPath, std::string FilePath)
      : Files(&System), Folder(std::move(FolderPath)),
        Path(std::move(FilePath)) {}

  [[nodiscard]] auto check(result<void> Outcome) -> result<void> {
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
  std::uint64_t Written = 0; ///< Bytes handed to the operating system.
  std::uint64_t Synced = 0;  ///< Bytes that are durable.
  bool Failed = false;
};

template <file_system files_type> struct log_file<files_type>::opened {
  log_file Log;                    ///< Ready for append().
  std::vector<std::string> Frames; ///< Content in order.
  std::size_t TornBytes = 0;       ///< Bytes of the tail that were cut off.
};

template <file_system files_type>
auto log_file<files_type>::open(files_type &Files, std::string Folder,
                                const std::string &Name) -> result<opened> {
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
  opened Opened{log_file(Files, std::move(Folder), std::move(Path)),
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
    return check(failure::of(errc::storage_failed,
                             "a record exceeds the size limit of " + Path));
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
  return check(std::move(Outcome));
}

template <file_system files_type>
auto log_file<files_type>::sync() -> result<void> {
  if (auto Outcome = write(); !Outcome)
    return Outcome;
  if (Synced == Written)
    return {};
  auto Outcome = Files->sync(*File);
  Synced = Written;
  return check(std::move(Outcome));
}

template <file_system files_type>
auto log_file<files_type>::replace(const std::vector<std::string> &Frames)
    -> result<void> {
  if (Failed)
    return failure::of(errc::storage_failed, Path + " failed before");
  return check(replaceFile(Frames));
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
