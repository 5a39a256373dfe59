/// \file Request ids.
#include "entry/request_id_func.h"

#include <openssl/rand.h>

#include <array>

namespace acacianotch {

namespace {

/// \return 64 random bits in hex, which identify this process.
auto randomSource() -> std::string {
  constexpr std::size_t Bytes = 8;
  constexpr std::string_view Digits = "0123456789abcdef";
  std::array<unsigned char, Bytes> Random{};
  RAND_bytes(Random.data(), static_cast<int>(Random.size()));
  std::string Text;
  for (const auto Byte : Random) {
    Text += Digits[Byte / Digits.size()];
    Text += Digits[Byte % Digits.size()];
  }
  return Text;
}

} // namespace

// The control replicas store ids of this form as ranges of sequence numbers,
// which takes about one byte per id.
auto newRequestId() -> request_id {
  static const auto Source = randomSource();
  static std::uint64_t Sequence = 0;
  return request_id(Source + "-" + std::to_string(++Sequence));
}

} // namespace acacianotch
