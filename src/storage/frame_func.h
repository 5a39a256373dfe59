/// \file Frames: byte strings with length and checksum in a file.
#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace acacianotch {

/// Largest payload of a frame in bytes.
inline constexpr std::size_t MaxFrameBytes = 1U << 30U;

/// Size of a frame in bytes, without its payload.
inline constexpr std::size_t FrameOverhead = 24;

/// \return the header of a file of type \p Kind, a name of four letters.
[[nodiscard]] auto fileHeader(std::string_view Kind) -> std::string;

/// Checks that \p Content starts with a header of type \p Kind and the
/// supported format version. \p Path is used in error messages.
[[nodiscard]] auto checkHeader(std::string_view Content, std::string_view Kind,
                               const std::string &Path) -> result<void>;

/// \return a frame with \p Payload. \p SyncedSize is the number of bytes of the
/// file that are durable when the frame is written.
[[nodiscard]] auto encodeLogFrame(std::string_view Payload,
                                  std::uint64_t SyncedSize) -> std::string;

/// Result of scanFrames().
struct frame_scan {
  std::vector<std::string> Payloads; ///< Payloads in file order.
  std::size_t TornBytes = 0;         ///< Size of the ignored unsynced tail.
};

/// \return the frames of \p Content, a whole file with its header. The scan
/// ends at an invalid frame, which is `corrupt_data` with \p Path and offset if
/// a later frame proves that it was synced. Damage to the last synced batch
/// cannot be distinguished from a torn write, because no frame follows it.
[[nodiscard]] auto scanFrames(std::string_view Content, const std::string &Path)
    -> result<frame_scan>;

} // namespace acacianotch
