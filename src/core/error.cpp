/// \file Table of error codes.
#include "core/error_type.h"

#include <array>
#include <string>

namespace acacianotch {

namespace {

constexpr auto NotRun = verdict::not_run;
constexpr auto MayHaveRun = verdict::may_have_run;
constexpr auto Ran = verdict::ran;

constexpr std::array ErrcRows{
    errc_row{errc::ok, "ok", 200, Ran, "success"},
    errc_row{errc::bad_request, "bad_request", 400, NotRun,
             "the request is malformed"},
    errc_row{errc::body_too_large, "body_too_large", 413, NotRun,
             "the request body exceeds the limit"},
    errc_row{errc::unauthenticated, "unauthenticated", 401, NotRun,
             "the bearer key is missing or unknown"},
    errc_row{errc::not_allowed, "not_allowed", 403, NotRun,
             "the client account may not use this model or version"},
    errc_row{errc::unknown_model, "unknown_model", 404, NotRun,
             "the catalogue has no such model or version"},
    errc_row{errc::unknown_service, "unknown_service", 404, NotRun,
             "the catalogue has no such service or path"},
    errc_row{errc::unknown_entry, "unknown_entry", 404, NotRun,
             "the catalogue has no such entry"},
    errc_row{errc::version_withdrawn, "version_withdrawn", 410, NotRun,
             "the version is withdrawn"},
    errc_row{errc::session_version_withdrawn, "session_version_withdrawn", 409,
             NotRun, "the session's version is withdrawn; start a new session"},
    errc_row{errc::invalid_session_token, "invalid_session_token", 400, NotRun,
             "the session token is malformed or its signature is wrong"},
    errc_row{errc::account_limit, "account_limit", 429, NotRun,
             "the client account has too many requests in flight"},
    errc_row{errc::spend_limit, "spend_limit", 429, NotRun,
             "the client account has reached its spend limit"},
    errc_row{errc::overloaded, "overloaded", 503, NotRun,
             "demand exceeds capacity; retry later"},
    errc_row{errc::deadline_exceeded, "deadline_exceeded", 504, NotRun,
             "the deadline cannot be met"},
    errc_row{errc::no_backend, "no_backend", 503, NotRun,
             "no backend server can serve the request"},
    errc_row{errc::backend_leaving, "backend_leaving", 503, NotRun,
             "the backend server is leaving"},
    errc_row{errc::stale_catalogue, "stale_catalogue", 503, NotRun,
             "the node cannot confirm its catalogue"},
    errc_row{errc::stale_epoch, "stale_epoch", 503, NotRun,
             "the fencing epoch is older than the highest one seen"},
    errc_row{errc::not_ready, "not_ready", 503, NotRun,
             "the process is not ready"},
    errc_row{errc::shutting_down, "shutting_down", 503, NotRun,
             "the process is shutting down"},
    errc_row{errc::quarantined, "quarantined", 422, NotRun,
             "this request has crashed backend servers and is quarantined"},
    errc_row{errc::idempotency_conflict, "idempotency_conflict", 422, NotRun,
             "the idempotency key was used with a different request"},
    errc_row{errc::idempotency_in_progress, "idempotency_in_progress", 409,
             MayHaveRun, "a request with this idempotency key is in progress"},
    errc_row{errc::outcome_unknown, "outcome_unknown", 409, MayHaveRun,
             "a request with this idempotency key may have run"},
    errc_row{errc::backend_unreachable, "backend_unreachable", 502, NotRun,
             "the backend server refused the connection"},
    errc_row{errc::backend_failed, "backend_failed", 502, MayHaveRun,
             "the backend server failed while running the request"},
    errc_row{errc::incomplete_answer, "incomplete_answer", 502, MayHaveRun,
             "the answer ended before its end marker"},
    errc_row{errc::crossed_answer, "crossed_answer", 502, MayHaveRun,
             "the backend server answered a different request"},
    errc_row{errc::cancelled, "cancelled", 499, MayHaveRun,
             "the caller cancelled the request"},
    errc_row{errc::revision_conflict, "revision_conflict", 409, NotRun,
             "the entry has a different revision"},
    errc_row{errc::not_leader, "not_leader", 421, NotRun,
             "this control VM is not the leader"},
    errc_row{errc::no_quorum, "no_quorum", 503, MayHaveRun,
             "no quorum of control VMs confirmed the change in time"},
    errc_row{errc::storage_failed, "storage_failed", 503, MayHaveRun,
             "the disk refused a write or a sync"},
    errc_row{errc::corrupt_data, "corrupt_data", 500, NotRun,
             "stored or received data is corrupt"},
    errc_row{errc::bad_settings, "bad_settings", 500, NotRun,
             "the settings are invalid"},
    errc_row{errc::address_in_use, "address_in_use", 500, NotRun,
             "the address or data folder is in use by another process"},
    errc_row{errc::protocol_error, "protocol_error", 502, MayHaveRun,
             "the peer broke the protocol"},
    errc_row{errc::internal, "internal", 500, MayHaveRun, "internal error"},
};

static_assert(ErrcRows.size() == static_cast<std::size_t>(errc::internal) + 1);

class errc_category final : public std::error_category {
public:
  [[nodiscard]] auto name() const noexcept -> const char * override {
    return "acacianotch";
  }
  [[nodiscard]] auto message(int Value) const -> std::string override {
    return std::string(
        errcRow(errcFromWire(static_cast<std::uint16_t>(Value))).Message);
  }
};

} // namespace

auto errcRow(errc Code) -> const errc_row & {
  const auto Index = static_cast<std::size_t>(Code);
  return Index < ErrcRows.size() ? ErrcRows[Index] : ErrcRows.back();
}

auto errcByName(std::string_view Name) -> errc {
  for (const auto &Row : ErrcRows)
    if (Row.Name == Name)
      return Row.Code;
  return errc::internal;
}

auto errcFromWire(std::uint16_t Value) -> errc {
  return Value < ErrcRows.size() ? static_cast<errc>(Value) : errc::internal;
}

auto errcCategory() -> const std::error_category & {
  static const errc_category Category;
  return Category;
}

auto make_error_code(errc Code) -> std::error_code {
  return {static_cast<int>(Code), errcCategory()};
}

} // namespace acacianotch
