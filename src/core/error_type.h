/// \file Error codes of the project, with their HTTP status and verdict.
#pragma once

#include "core/verdict_type.h"

#include <cstdint>
#include <string_view>
#include <system_error>

namespace acacianotch {

/// Errors that cross a module boundary. Values travel in messages, so new ones
/// are appended.
enum class errc : std::uint16_t {
  ok,
  bad_request,
  body_too_large,
  unauthenticated,
  not_allowed,
  unknown_model,
  unknown_service,
  unknown_entry,
  version_withdrawn,
  session_version_withdrawn,
  invalid_session_token,
  account_limit,
  spend_limit,
  overloaded,
  deadline_exceeded,
  no_backend,
  backend_leaving,
  stale_catalogue,
  stale_epoch,
  not_ready,
  shutting_down,
  quarantined,
  idempotency_conflict,
  idempotency_in_progress,
  outcome_unknown,
  backend_unreachable,
  backend_failed,
  incomplete_answer,
  crossed_answer,
  cancelled,
  revision_conflict,
  not_leader,
  no_quorum,
  storage_failed,
  corrupt_data,
  bad_settings,
  address_in_use,
  protocol_error,
  internal,
};

/// Everything that callers and operators are told about one error code.
struct errc_row {
  errc Code;                ///< The code.
  std::string_view Name;    ///< Stable name, sent in the error's `code` field.
  std::uint16_t HttpStatus; ///< HTTP status at the entry.
  verdict Verdict;          ///< Verdict when the raiser gives none.
  std::string_view Message; ///< One sentence for people.
};

/// \return the row of \p Code; the row of `internal` for an unknown value.
[[nodiscard]] auto errcRow(errc Code) -> const errc_row &;

/// \return the code whose stable name is \p Name; `internal` if none.
[[nodiscard]] auto errcByName(std::string_view Name) -> errc;

/// \return the code for the wire value \p Value; `internal` if out of range.
[[nodiscard]] auto errcFromWire(std::uint16_t Value) -> errc;

/// \return the category of the project's error codes.
[[nodiscard]] auto errcCategory() -> const std::error_category &;

/// Lets errc convert to std::error_code.
[[nodiscard]] auto make_error_code(errc Code) -> std::error_code;

} // namespace acacianotch

template <>
struct std::is_error_code_enum<acacianotch::errc> : std::true_type {};
