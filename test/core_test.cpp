/// \file Tests of the core types.
#include "core/error_type.h"
#include "core/result.h"
#include "core/verdict_type.h"

#include <doctest/doctest.h>

using namespace acacianotch;

// Guards against a row in the wrong place: codes are looked up by position, so
// a swapped row would send a caller the wrong status and verdict.
TEST_CASE("every error code finds its own row") {
  const auto Last = static_cast<std::uint16_t>(errc::internal);
  for (std::uint16_t Value = 0; Value <= Last; ++Value) {
    const auto Code = static_cast<errc>(Value);
    CHECK(errcRow(Code).Code == Code);
    CHECK(errcByName(errcRow(Code).Name) == Code);
  }
}

// Guards against reading past the table when a newer peer sends a code that
// this build does not know.
TEST_CASE("an unknown wire value becomes internal") {
  CHECK(errcFromWire(65535) == errc::internal);
  CHECK(errcRow(static_cast<errc>(65535)).Code == errc::internal);
}

// Guards against a verdict name that cannot be read back by a client.
TEST_CASE("verdict names round-trip") {
  for (const auto &Row : VerdictNames.Rows)
    CHECK(VerdictNames.find(Row.Name) == Row.Value);
  CHECK_FALSE(VerdictNames.find("perhaps").has_value());
}

// Guards against a failure that reports a weaker verdict than its code states.
TEST_CASE("a failure takes the verdict of its code") {
  const result<int> Refused = failure::of(errc::overloaded, "queue full");
  REQUIRE_FALSE(Refused.ok());
  CHECK(Refused.error().Verdict == verdict::not_run);
  CHECK(Refused.error().code() == errc::overloaded);
  CHECK(failure::of(errc::backend_failed).Verdict == verdict::may_have_run);
}
