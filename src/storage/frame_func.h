/// \file Frames: checksummed byte strings in a file.
#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace acacianotch {

/// Largest payload of a frame in bytes.
inline constexpr std::size_t MaxFrameBytes = 1U << 30U;

/// Bytes that a frame adds to its payload.
inline constexpr std::size_t FrameOverhead = 24;

/// \return the header of a file whose content is called \p Kind, four letters.
[[nodiscard]] auto fileHeader(std::string_view Kind) -> std::string;

/// Checks that \p Content starts with the header of \p Kind and a format
/// version that this build reads. \p Path is for the error message.
[[nodiscard]] auto checkHeader(std::string_view Content, std::string_view Kind,
                               const std::string &Path) -> result<void>;

/// \return \p Payload with length and checksum. \p SyncedSize is the size of
/// the file that was durable when the frame was written.
[[nodiscard]] auto encodeLogFrame(std::string_view Payload,
                                  std::uint64_t SyncedSize) -> std::string;

/// Frames found in a log file.
struct frame_scan {
  std::vector<std::string> Payloads; ///< In file order.
  std::size_t TornBytes = 0;         ///< Bytes of the unsynced tail dropped.
};

/// \return the frames of \p Content, the file's bytes with its header. An
/// invalid frame that was never synced ends the log; an invalid frame that was
/// synced is `corrupt_data` with \p Path and offset. Damage to the last synced
/// batch looks like a torn write, because no later frame tells otherwise.
[[nodiscard]] auto scanFrames(std::string_view Content, const std::string &Path)
    -> result<frame_scan>;

} // namespace acacianotch
