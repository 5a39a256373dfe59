/// \file Encoding and signing of session tokens.
///
/// A token is the unpadded base64url encoding of: a format byte, the time of
/// issue (8 bytes, big endian), three strings prefixed by a length byte
/// (session, model, version), and the HMAC-SHA256 of all preceding bytes.
#include "controller/session_token.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/kdf.h>
#include <openssl/params.h>

#include <cassert>
#include <memory>
#include <optional>

namespace acacianotch {

namespace {

constexpr unsigned char FormatVersion = 1;
constexpr std::size_t MacBytes = 32;
constexpr std::size_t TimeBytes = 8;
constexpr std::size_t MaxFieldBytes = 255;
constexpr std::size_t MaxBytes =
    1 + TimeBytes + (3 * (1 + MaxFieldBytes)) + MacBytes;
constexpr std::size_t MaxTokenChars = ((MaxBytes * 4) + 2) / 3;
constexpr std::size_t MinSecretBytes = 16;
// Makes this key differ from other keys derived from the same secret.
constexpr std::string_view KeyPurpose = "acacianotch session token 1";
constexpr std::string_view Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

using mac_bytes = std::array<unsigned char, MacBytes>;

auto asBytes(std::string_view Text) -> const unsigned char * {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

auto encodeBase64Url(std::string_view Bytes) -> std::string {
  std::string Text;
  std::uint32_t Buffer = 0;
  unsigned Bits = 0;
  for (const char Byte : Bytes) {
    Buffer = (Buffer << 8U) | static_cast<unsigned char>(Byte);
    Bits += 8;
    while (Bits >= 6) {
      Bits -= 6;
      Text += Alphabet[(Buffer >> Bits) & 63U];
    }
  }
  if (Bits > 0)
    Text += Alphabet[(Buffer << (6 - Bits)) & 63U];
  return Text;
}

auto decodeBase64Url(std::string_view Text) -> std::optional<std::string> {
  std::string Bytes;
  std::uint32_t Buffer = 0;
  unsigned Bits = 0;
  for (const char Symbol : Text) {
    const auto Value = Alphabet.find(Symbol);
    if (Value == std::string_view::npos)
      return std::nullopt;
    Buffer = (Buffer << 6U) | static_cast<std::uint32_t>(Value);
    Bits += 6;
    if (Bits < 8)
      continue;
    Bits -= 8;
    Bytes += static_cast<char>((Buffer >> Bits) & 255U);
  }
  // Only the canonical encoding is valid. Otherwise two different texts could
  // be the same token.
  const bool Canonical = Bits < 6 && (Buffer & ((1U << Bits) - 1U)) == 0;
  return Canonical ? std::optional(Bytes) : std::nullopt;
}

auto sign(const unsigned char *Key, std::size_t Size, std::string_view Body)
    -> std::optional<mac_bytes> {
  mac_bytes Mac{};
  unsigned Length = 0;
  const auto *Done = HMAC(EVP_sha256(), Key, static_cast<int>(Size),
                          asBytes(Body), Body.size(), Mac.data(), &Length);
  if (Done == nullptr || Length != Mac.size())
    return std::nullopt;
  return Mac;
}

auto appendField(std::string &Body, const std::string &Field) -> bool {
  if (Field.empty() || Field.size() > MaxFieldBytes)
    return false;
  Body += static_cast<char>(Field.size());
  Body += Field;
  return true;
}

auto readField(std::string_view &Rest) -> std::optional<std::string> {
  if (Rest.empty())
    return std::nullopt;
  const std::size_t Size = static_cast<unsigned char>(Rest.front());
  Rest.remove_prefix(1);
  if (Size == 0 || Size > Rest.size())
    return std::nullopt;
  std::string Field(Rest.substr(0, Size));
  Rest.remove_prefix(Size);
  return Field;
}

auto parseBody(std::string_view Body) -> std::optional<session_claims> {
  if (Body.size() < 1 + TimeBytes || asBytes(Body)[0] != FormatVersion)
    return std::nullopt;
  session_claims Claims;
  for (std::size_t Index = 1; Index <= TimeBytes; ++Index)
    Claims.IssuedUnixSeconds =
        (Claims.IssuedUnixSeconds << 8U) | asBytes(Body)[Index];
  auto Rest = Body.substr(1 + TimeBytes);
  auto Session = readField(Rest);
  auto Model = readField(Rest);
  auto Version = readField(Rest);
  if (!Session || !Model || !Version || !Rest.empty())
    return std::nullopt;
  Claims.Session = *std::move(Session);
  Claims.Version = {*std::move(Model), *std::move(Version)};
  return Claims;
}

auto invalidToken(std::string Why) -> failure {
  return failure::of(errc::invalid_session_token, std::move(Why));
}

/// Derives \p Key from \p Secret with HKDF-SHA256 (RFC 5869). \return whether
/// it succeeded.
auto deriveKey(std::string_view Secret, unsigned char *Key, std::size_t Size)
    -> bool {
  const std::unique_ptr<EVP_KDF, decltype(&EVP_KDF_free)> Kdf(
      EVP_KDF_fetch(nullptr, "HKDF", nullptr), &EVP_KDF_free);
  if (Kdf == nullptr)
    return false;
  const std::unique_ptr<EVP_KDF_CTX, decltype(&EVP_KDF_CTX_free)> Context(
      EVP_KDF_CTX_new(Kdf.get()), &EVP_KDF_CTX_free);
  if (Context == nullptr)
    return false;
  std::string Digest = "SHA256";
  std::string Input(Secret);
  std::string Purpose(KeyPurpose);
  const std::array Parameters{
      OSSL_PARAM_construct_utf8_string(OSSL_KDF_PARAM_DIGEST, Digest.data(), 0),
      OSSL_PARAM_construct_octet_string(OSSL_KDF_PARAM_KEY, Input.data(),
                                        Input.size()),
      OSSL_PARAM_construct_octet_string(OSSL_KDF_PARAM_INFO, Purpose.data(),
                                        Purpose.size()),
      OSSL_PARAM_construct_end()};
  const bool Derived =
      EVP_KDF_derive(Context.get(), Key, Size, Parameters.data()) > 0;
  OPENSSL_cleanse(Input.data(), Input.size());
  return Derived;
}

} // namespace

auto session_signer::create(std::string_view ClusterSecret)
    -> result<session_signer> {
  if (ClusterSecret.size() < MinSecretBytes)
    return failure::of(errc::bad_settings,
                       "the cluster secret has fewer than 16 bytes");
  key_bytes Key{};
  if (!deriveKey(ClusterSecret, Key.data(), Key.size()))
    return failure::of(errc::internal, "key derivation failed");
  return session_signer(Key);
}

auto session_signer::issue(const session_claims &Claims) const
    -> result<std::string> {
  std::string Body(1, static_cast<char>(FormatVersion));
  for (std::size_t Index = TimeBytes; Index-- > 0;)
    Body += static_cast<char>((Claims.IssuedUnixSeconds >> (8 * Index)) & 255U);
  const bool Fits = appendField(Body, Claims.Session) &&
                    appendField(Body, Claims.Version.Model) &&
                    appendField(Body, Claims.Version.Version);
  if (!Fits)
    return failure::of(errc::internal,
                       "a session token field is empty or over 255 bytes");
  const auto Mac = sign(Key.data(), Key.size(), Body);
  if (!Mac)
    return failure::of(errc::internal, "HMAC failed");
  Body.append(Mac->begin(), Mac->end());
  assert(Body.size() <= MaxBytes);
  return encodeBase64Url(Body);
}

auto session_signer::verify(std::string_view Token) const
    -> result<session_claims> {
  if (Token.size() > MaxTokenChars)
    return invalidToken("too long");
  const auto Bytes = decodeBase64Url(Token);
  if (!Bytes || Bytes->size() < MacBytes)
    return invalidToken("not base64url or too short");
  const auto Body =
      std::string_view(*Bytes).substr(0, Bytes->size() - MacBytes);
  const auto GivenMac = std::string_view(*Bytes).substr(Body.size());
  const auto Mac = sign(Key.data(), Key.size(), Body);
  if (!Mac || CRYPTO_memcmp(Mac->data(), GivenMac.data(), MacBytes) != 0)
    return invalidToken("wrong signature");
  auto Claims = parseBody(Body);
  if (!Claims)
    return invalidToken("unknown format");
  return *std::move(Claims);
}

} // namespace acacianotch
