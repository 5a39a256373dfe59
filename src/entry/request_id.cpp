/// \file Request ids.
#include "entry/request_id_func.h"

#include <openssl/rand.h>

#include <array>

namespace acacianotch {

auto newRequestId() -> request_id {
  constexpr std::size_t Bytes = 16;
  constexpr std::string_view Digits = "0123456789abcdef";
  std::array<unsigned char, Bytes> Random{};
  RAND_bytes(Random.data(), static_cast<int>(Random.size()));
  std::string Text;
  for (const auto Byte : Random) {
    Text += Digits[Byte / Digits.size()];
    Text += Digits[Byte % Digits.size()];
  }
  return request_id(std::move(Text));
}

} // namespace acacianotch
