/// \file Authentication of callers.
#include "entry/caller_auth.h"

#include <openssl/evp.h>

#include <array>

namespace acacianotch {

auto sha256Hex(std::string_view Text) -> std::string {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Size = 0;
  EVP_Digest(Text.data(), Text.size(), Digest.data(), &Size, EVP_sha256(),
             nullptr);
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr unsigned NibbleBits = 4;
  constexpr unsigned NibbleMask = 0xF;
  std::string Hex;
  for (unsigned Index = 0; Index < Size; ++Index) {
    Hex += Digits[Digest[Index] >> NibbleBits];
    Hex += Digits[Digest[Index] & NibbleMask];
  }
  return Hex;
}

auto authenticate(const catalogue_view &View, const http_exchange &Exchange)
    -> result<const model_entry *> {
  constexpr std::string_view Prefix = "Bearer ";
  const auto Header = Exchange.header("Authorization");
  if (!Header || Header->compare(0, Prefix.size(), Prefix) != 0)
    return failure::of(errc::unauthenticated);
  const auto *Account =
      View.accountByKey(sha256Hex(Header->substr(Prefix.size())));
  if (Account == nullptr)
    return failure::of(errc::unauthenticated);
  return Account;
}

} // namespace acacianotch
