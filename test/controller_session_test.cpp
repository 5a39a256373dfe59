/// \file Tests of session tokens.
#include "controller/session_token.h"

#include <doctest/doctest.h>

#include <set>

using namespace acacianotch;

namespace {

constexpr std::string_view Secret = "0123456789abcdef0123456789abcdef";

auto signer(std::string_view Value = Secret) -> session_signer {
  return session_signer::create(Value).value();
}

auto claims() -> session_claims {
  return {"s-41", {"draft", "2026-11"}, 1'796'000'000};
}

} // namespace

// Guards against a token that another entry with the same secret cannot verify,
// or that loses part of its claims.
TEST_CASE("a token round-trips between entries") {
  const auto Token = signer().issue(claims());
  REQUIRE(Token.ok());
  const auto Read = signer().verify(*Token);
  REQUIRE(Read.ok());
  CHECK(*Read == claims());
  session_claims Longest{std::string(255, 's'),
                         {std::string(255, 'm'), std::string(255, 'v')},
                         ~std::uint64_t{0}};
  const auto Long = signer().issue(Longest);
  REQUIRE(Long.ok());
  CHECK(*signer().verify(*Long) == Longest);
}

// Guards against a changed token format: tokens must remain valid after an
// upgrade of the entries. The expected value follows RFC 5869 and RFC 2104 and
// was computed with Python's hmac module.
TEST_CASE("the token format is fixed") {
  const auto Token = signer().issue(claims());
  REQUIRE(Token.ok());
  CHECK(*Token == "AQAAAABrDMkABHMtNDEFZHJhZnQHMjAyNi0xMa2JBDYWEBqgpBbF9HHfERR_"
                  "n1_R-ghNC-HJF9uCY--2");
}

// Guards against forged or corrupted claims: every changed, removed or added
// symbol must be detected, including the unused bits of the last base64 symbol.
TEST_CASE("every altered token is invalid") {
  const auto Signer = signer();
  const auto Token = Signer.issue(claims()).value();
  std::set<std::string> Altered{
      "",          "A",         "====",       Token + "A",
      Token + "=", " " + Token, Token + "\n", "é" + Token};
  for (std::size_t Index = 0; Index < Token.size(); ++Index) {
    for (const char Symbol : std::string_view("AZaz09-_+/=\0", 12)) {
      auto Changed = Token;
      Changed[Index] = Symbol;
      Altered.insert(Changed);
    }
    Altered.insert(Token.substr(0, Index));
    Altered.insert(Token.substr(Index + 1));
  }
  Altered.insert(std::string(100'000, 'A'));
  Altered.erase(Token);
  for (const auto &Text : Altered) {
    const auto Read = Signer.verify(Text);
    REQUIRE_FALSE(Read.ok());
    CHECK(Read.error().Code == errc::invalid_session_token);
    CHECK(Read.error().Verdict == verdict::not_run);
  }
}

// Guards against a token of another deployment that is accepted.
TEST_CASE("a token signed with another secret is invalid") {
  const auto Token = signer("fedcba9876543210").issue(claims()).value();
  const auto Read = signer().verify(Token);
  REQUIRE_FALSE(Read.ok());
  CHECK(Read.error().Code == errc::invalid_session_token);
}

// Guards against a session that continues on another version without notice
// (I2 over I3): a session on a withdrawn version must be rejected with its own
// code, and a forged token must not reach the predicate.
TEST_CASE("a withdrawn version rejects its sessions") {
  const auto Signer = signer();
  const auto Token = Signer.issue(claims()).value();
  const auto Never = [](const version_ref &) { return false; };
  const auto Same = [](const version_ref &Version) {
    return Version == claims().Version;
  };
  CHECK(Signer.admit(Token, Never).ok());
  const auto Rejected = Signer.admit(Token, Same);
  REQUIRE_FALSE(Rejected.ok());
  CHECK(Rejected.error().Code == errc::session_version_withdrawn);
  const auto Forged = Signer.admit(Token + "A", Same);
  REQUIRE_FALSE(Forged.ok());
  CHECK(Forged.error().Code == errc::invalid_session_token);
}

// Guards against tokens that cannot be parsed, and against a guessable key.
TEST_CASE("invalid claims and secrets are rejected") {
  const auto Signer = signer();
  auto Claims = claims();
  Claims.Session = "";
  CHECK_FALSE(Signer.issue(Claims).ok());
  Claims.Session = std::string(256, 's');
  CHECK_FALSE(Signer.issue(Claims).ok());
  const auto Short = session_signer::create("secret");
  REQUIRE_FALSE(Short.ok());
  CHECK(Short.error().Code == errc::bad_settings);
}
