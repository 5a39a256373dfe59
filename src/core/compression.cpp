/// \file Compression of large texts with Zstandard.
#include "core/compression_func.h"

#include <zstd.h>

namespace acacianotch {

namespace {

/// Fastest level; higher ones cost time on the event loop.
constexpr int CompressionLevel = 1;
/// First bytes of a frame, ZSTD_MAGICNUMBER in little-endian order.
constexpr std::string_view FrameStart = "\x28\xB5\x2F\xFD";

auto corrupt(const char *Detail) -> failure {
  return failure::of(errc::corrupt_data,
                     std::string("compressed text: ") + Detail);
}

} // namespace

auto compress(std::string_view Text) -> result<std::string> {
  std::string Frame(ZSTD_compressBound(Text.size()), '\0');
  const auto Size = ZSTD_compress(Frame.data(), Frame.size(), Text.data(),
                                  Text.size(), CompressionLevel);
  if (ZSTD_isError(Size) != 0)
    return failure::of(errc::internal, ZSTD_getErrorName(Size));
  Frame.resize(Size);
  Frame.shrink_to_fit();
  return Frame;
}

auto decompress(std::string_view Frame, std::size_t MaxBytes)
    -> result<std::string> {
  if (!Frame.starts_with(FrameStart))
    return std::string(Frame);
  const auto Size = ZSTD_getFrameContentSize(Frame.data(), Frame.size());
  if (Size == ZSTD_CONTENTSIZE_ERROR || Size == ZSTD_CONTENTSIZE_UNKNOWN)
    return corrupt("its length is unknown");
  if (Size > MaxBytes)
    return corrupt("it is too long");
  std::string Text(Size, '\0');
  const auto Written =
      ZSTD_decompress(Text.data(), Text.size(), Frame.data(), Frame.size());
  if (ZSTD_isError(Written) != 0)
    return corrupt(ZSTD_getErrorName(Written));
  if (Written != Size)
    return corrupt("its length is wrong");
  return Text;
}

} // namespace acacianotch
