/// \file Reference of error codes with advice for operators.
#include "table/error_reference.h"

#include <array>
#include <sstream>

namespace acacianotch {

namespace {

struct advice_row {
  errc Code;
  std::string_view Text;
};

constexpr std::array Rows{
    advice_row{errc::ok, "nothing"},
    advice_row{errc::bad_request, "correct the request; the detail names the "
                                  "part"},
    advice_row{errc::body_too_large,
               "send less, or raise `http.max_body_bytes`"},
    advice_row{errc::unauthenticated,
               "check the bearer key against the account's `key_sha256`"},
    advice_row{errc::not_allowed, "add the model or version to the account"},
    advice_row{errc::unknown_model, "check the name with `acacianotchctl get "
                                    "route` and `get version`"},
    advice_row{errc::unknown_service,
               "check service and path with `acacianotchctl get service`"},
    advice_row{errc::unknown_entry, "check kind and name with `acacianotchctl "
                                    "get`"},
    advice_row{errc::version_withdrawn, "use another version"},
    advice_row{errc::session_version_withdrawn,
               "start a new session without `X-Session-Token`"},
    advice_row{errc::invalid_session_token,
               "send the token unchanged; if it is, check that all entries use "
               "the same `node.secret_file`"},
    advice_row{errc::account_limit, "wait for responses, or raise the "
                                    "account's `max_in_flight`"},
    advice_row{errc::spend_limit, "wait for the next month (UTC), or raise the "
                                  "account's `spend_limit`"},
    advice_row{errc::overloaded, "retry after the time in `Retry-After`; add "
                                 "backend servers if it lasts"},
    advice_row{errc::deadline_exceeded,
               "allow more time in `X-Deadline-Ms`, or retry when load is "
               "lower"},
    advice_row{errc::no_backend,
               "check that a backend server serves the version and is not "
               "leaving"},
    advice_row{errc::backend_leaving, "retry; entries stop using the backend "
                                      "server within 2 s"},
    advice_row{errc::stale_catalogue,
               "check that control has a leader and that the node reaches it"},
    advice_row{errc::stale_epoch, "retry; check for control replicas that were "
                                  "cut off if it lasts"},
    advice_row{errc::not_ready, "wait until /readyz answers 200"},
    advice_row{errc::shutting_down, "retry; another entry takes the request"},
    advice_row{errc::quarantined,
               "change the request; `acacianotchctl lift-quarantine` if the "
               "cause is repaired"},
    advice_row{errc::idempotency_conflict,
               "use a new `Idempotency-Key` for a different request"},
    advice_row{errc::idempotency_in_progress,
               "wait and repeat the same request with the same key"},
    advice_row{errc::outcome_unknown,
               "check with the service whether the request ran before using a "
               "new key"},
    advice_row{errc::backend_unreachable, "check that the backend server runs "
                                          "at `agent.backend_address`"},
    advice_row{errc::backend_failed, "see the agent's log; retry idempotent "
                                     "work only"},
    advice_row{errc::incomplete_answer, "discard the part received; retry "
                                        "idempotent work only"},
    advice_row{errc::crossed_answer, "report a fault of the backend server; "
                                     "retry idempotent work only"},
    advice_row{errc::cancelled, "nothing; the caller ended the request"},
    advice_row{errc::revision_conflict,
               "read the entry, repeat the change on its current revision"},
    advice_row{errc::not_leader,
               "give all control addresses; wait for an election if it lasts"},
    advice_row{errc::no_quorum, "check that a majority of control VMs runs; "
                                "resend with `--change-id`"},
    advice_row{errc::storage_failed, "check space and health of the disk of "
                                     "the control VM"},
    advice_row{errc::corrupt_data, "keep the data folder, replace the replica "
                                   "under a new id"},
    advice_row{errc::bad_settings,
               "correct the file; the message names file, line and key"},
    advice_row{errc::address_in_use,
               "end the other process, or use another address or data folder"},
    advice_row{errc::protocol_error,
               "check that both processes run compatible versions"},
    advice_row{errc::internal, "report a fault with the log of the process"},
};

static_assert(Rows.size() == static_cast<std::size_t>(errc::internal) + 1);

} // namespace

auto errorAdvice(errc Code) -> std::string_view {
  for (const auto &Row : Rows)
    if (Row.Code == Code)
      return Row.Text;
  return {};
}

auto errorReference() -> std::string {
  std::ostringstream Page;
  Page << "| code | HTTP status | verdict | meaning | what to do |\n"
       << "|---|---|---|---|---|\n";
  for (const auto &Advice : Rows) {
    if (Advice.Code == errc::ok)
      continue;
    const auto &Row = errcRow(Advice.Code);
    Page << "| `" << Row.Name << "` | " << Row.HttpStatus << " | `"
         << VerdictNames.name(Row.Verdict) << "` | " << Row.Message << " | "
         << Advice.Text << " |\n";
  }
  return Page.str();
}

} // namespace acacianotch
