/// \file Encoding and validation of frames.
#include "storage/frame_func.h"

#include <cassert>
#include <cstring>
#include <optional>
#include <type_traits>
#include <xxhash.h>

namespace acacianotch {

namespace {

/// Version of the file format; files with another version are rejected.
constexpr std::uint32_t FormatVersion = 1;
constexpr std::size_t KindBytes = 4;
constexpr std::size_t HeaderBytes = KindBytes + sizeof(std::uint32_t);

/// Magic number at the start of every frame, so that a search for later frames
/// is fast.
constexpr std::uint32_t FrameMagic = 0x4E414346;

struct frame_view {
  std::string_view Payload;
  std::uint64_t SyncedSize = 0;
};

template <typename type> auto putNumber(std::string &Out, type Value) -> void {
  for (std::size_t Byte = 0; Byte < sizeof(type); ++Byte)
    Out.push_back(static_cast<char>(Value >> (8 * Byte)));
}

template <typename type>
auto getNumber(std::string_view In, std::size_t Offset) -> type {
  std::make_unsigned_t<type> Value = 0;
  for (std::size_t Byte = sizeof(type); Byte-- > 0;)
    Value = static_cast<type>(Value << 8U) |
            static_cast<unsigned char>(In[Offset + Byte]);
  return Value;
}

/// \return the checksum of the length and synced size fields and the payload.
auto checksum(std::string_view LengthAndSize, std::string_view Payload)
    -> std::uint64_t {
  const auto Seed = XXH64(LengthAndSize.data(), LengthAndSize.size(), 0);
  return XXH64(Payload.data(), Payload.size(), Seed);
}

/// \return the frame at \p Offset, or none if it is invalid. The layout is:
/// magic number (4 bytes), length (4), synced size (8), checksum (8), payload.
auto frameAt(std::string_view Content, std::size_t Offset)
    -> std::optional<frame_view> {
  const auto Remaining = Content.size() - Offset;
  if (Remaining < FrameOverhead ||
      getNumber<std::uint32_t>(Content, Offset) != FrameMagic)
    return std::nullopt;
  const auto Length = getNumber<std::uint32_t>(Content, Offset + 4);
  if (Length > MaxFrameBytes || Length > Remaining - FrameOverhead)
    return std::nullopt;
  const auto Payload = Content.substr(Offset + FrameOverhead, Length);
  const auto Expected = getNumber<std::uint64_t>(Content, Offset + 16);
  if (checksum(Content.substr(Offset + 4, 12), Payload) != Expected)
    return std::nullopt;
  return frame_view{Payload, getNumber<std::uint64_t>(Content, Offset + 8)};
}

/// \return whether the synced size in a later frame proves that the data at
/// \p Offset was synced. A valid frame after a damaged one is not sufficient,
/// because the pages of an unsynced batch reach the disk in any order.
auto hasLaterSyncedFrame(std::string_view Content, std::size_t Offset) -> bool {
  std::string Magic;
  putNumber(Magic, FrameMagic);
  auto Next = Content.find(Magic, Offset + 1);
  for (; Next != std::string_view::npos; Next = Content.find(Magic, Next + 1)) {
    const auto Frame = frameAt(Content, Next);
    if (Frame && Frame->SyncedSize > Offset)
      return true;
  }
  return false;
}

} // namespace

auto fileHeader(std::string_view Kind) -> std::string {
  assert(Kind.size() == KindBytes);
  std::string Header(Kind);
  putNumber(Header, FormatVersion);
  return Header;
}

auto checkHeader(std::string_view Content, std::string_view Kind,
                 const std::string &Path) -> result<void> {
  if (Content.size() < HeaderBytes || Content.substr(0, KindBytes) != Kind)
    return failure::of(errc::corrupt_data,
                       Path + " at offset 0: not a file of kind " +
                           std::string(Kind));
  const auto Version = getNumber<std::uint32_t>(Content, KindBytes);
  if (Version != FormatVersion)
    return failure::of(errc::corrupt_data,
                       Path + " at offset 4: unknown format version " +
                           std::to_string(Version));
  return {};
}

auto encodeLogFrame(std::string_view Payload, std::uint64_t SyncedSize)
    -> std::string {
  assert(Payload.size() <= MaxFrameBytes);
  std::string LengthAndSize;
  putNumber(LengthAndSize, static_cast<std::uint32_t>(Payload.size()));
  putNumber(LengthAndSize, SyncedSize);
  std::string Frame;
  Frame.reserve(FrameOverhead + Payload.size());
  putNumber(Frame, FrameMagic);
  Frame += LengthAndSize;
  putNumber(Frame, checksum(LengthAndSize, Payload));
  Frame += Payload;
  return Frame;
}

auto scanFrames(std::string_view Content, const std::string &Path)
    -> result<frame_scan> {
  frame_scan Scan;
  auto Offset = HeaderBytes;
  while (Offset < Content.size()) {
    const auto Frame = frameAt(Content, Offset);
    if (!Frame) {
      if (hasLaterSyncedFrame(Content, Offset))
        return failure::of(errc::corrupt_data,
                           Path + " at offset " + std::to_string(Offset) +
                               ": damaged record before intact ones");
      Scan.TornBytes = Content.size() - Offset;
      break;
    }
    Scan.Payloads.emplace_back(Frame->Payload);
    Offset += FrameOverhead + Frame->Payload.size();
  }
  return Scan;
}

} // namespace acacianotch
