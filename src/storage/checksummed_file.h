/// \file Files with a checksum that are replaced atomically.
#pragma once

#include "storage/file_system_type.h"
#include "storage/frame_func.h"

#include <optional>
#include <string>
#include <string_view>

namespace acacianotch {

/// File types in the file headers.
inline constexpr std::string_view SnapshotKind = "ANSN";
inline constexpr std::string_view IdentityKind = "ANID";

/// Atomically replaces the content of \p Folder/\p Name by \p Payload. After a
/// crash the file contains the old or the new payload; after success, always
/// the new one.
template <file_system files_type>
[[nodiscard]] auto
replaceChecksummedFile(files_type &Files, const std::string &Folder,
                       const std::string &Name, std::string_view Kind,
                       std::string_view Payload) -> result<void> {
  if (Payload.size() > MaxFrameBytes)
    return failure::of(errc::storage_failed, Name + " exceeds the size limit");
  const auto Path = Folder + "/" + Name;
  const auto Temporary = Path + ".new";
  auto File = Files.create(Temporary);
  if (!File)
    return File.error();
  const auto Content = fileHeader(Kind) + encodeLogFrame(Payload, 0);
  if (auto Outcome = Files.append(*File, Content); !Outcome)
    return Outcome;
  if (auto Outcome = Files.sync(*File); !Outcome)
    return Outcome;
  if (auto Outcome = Files.rename(Temporary, Path); !Outcome)
    return Outcome;
  return Files.syncFolder(Folder);
}

/// \return the payload of \p Folder/\p Name; none if the file does not exist;
/// `corrupt_data` if it is damaged or of another type.
template <file_system files_type>
[[nodiscard]] auto
readChecksummedFile(files_type &Files, const std::string &Folder,
                    const std::string &Name, std::string_view Kind)
    -> result<std::optional<std::string>> {
  const auto Path = Folder + "/" + Name;
  auto Content = Files.read(Path);
  if (!Content || !Content->has_value())
    return Content;
  if (auto Outcome = checkHeader(**Content, Kind, Path); !Outcome)
    return Outcome.error();
  auto Scan = scanFrames(**Content, Path);
  if (!Scan)
    return Scan.error();
  if (Scan->Payloads.size() != 1 || Scan->TornBytes != 0)
    return failure::of(errc::corrupt_data,
                       Path + " at offset 8: checksum mismatch");
  return std::optional(std::move(Scan->Payloads.front()));
}

} // namespace acacianotch
