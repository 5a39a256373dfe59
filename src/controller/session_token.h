/// \file Signed session tokens, which pin a session to one version.
#pragma once

#include "core/id_type.h"
#include "core/result.h"

#include <array>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace acacianotch {

/// Claims of a session token.
struct session_claims {
  std::string Session;               ///< Session id; 1 to 255 bytes.
  version_ref Version;               ///< Pinned version; names 1 to 255 bytes.
  std::uint64_t IssuedUnixSeconds{}; ///< Wall-clock time of issue.

  auto operator==(const session_claims &) const -> bool = default;
};

/// Issues and verifies session tokens. All entries of a deployment share the
/// cluster secret, so that each can verify tokens of the others.
class session_signer {
public:
  /// \return a signer whose key is derived from \p ClusterSecret;
  /// `bad_settings` if the secret has fewer than 16 bytes.
  [[nodiscard]] static auto create(std::string_view ClusterSecret)
      -> result<session_signer>;

  /// \return the token for \p Claims in base64url; `internal` if a field is
  /// empty or too long.
  [[nodiscard]] auto issue(const session_claims &Claims) const
      -> result<std::string>;

  /// \return the claims of \p Token; `invalid_session_token` if it is malformed
  /// or its signature does not match.
  [[nodiscard]] auto verify(std::string_view Token) const
      -> result<session_claims>;

  /// Verifies \p Token and that its version is not \p Withdrawn, a predicate
  /// over version_ref. \return the claims; `session_version_withdrawn` if the
  /// predicate holds.
  template <typename predicate>
  requires std::predicate<predicate, const version_ref &>
  [[nodiscard]] auto admit(std::string_view Token, predicate Withdrawn) const
      -> result<session_claims> {
    auto Claims = verify(Token);
    if (!Claims)
      return Claims;
    if (!Withdrawn(Claims->Version))
      return Claims;
    return failure::of(errc::session_version_withdrawn, Claims->Version.text());
  }

private:
  static constexpr std::size_t KeyBytes = 32;
  using key_bytes = std::array<unsigned char, KeyBytes>;

  explicit session_signer(const key_bytes &Value) : Key(Value) {}

  key_bytes Key;
};

} // namespace acacianotch
