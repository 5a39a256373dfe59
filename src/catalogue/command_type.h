/// \file Commands of the replicated log and their results.
#pragma once

#include "catalogue/entry_type.h"
#include "catalogue/quarantine_type.h"
#include "catalogue/rollout_type.h"
#include "catalogue/routing_type.h"
#include "core/error_type.h"

#include <string>
#include <variant>
#include <vector>

namespace acacianotch {

/// Creates or replaces an entry.
struct put_entry {
  model_entry Entry;                  ///< Its revision fields are ignored.
  revision Expected = revision::none; ///< Revision held; none if it is new.
  bool Reinstate = false; ///< Lets a withdrawn version become active again.
};

/// Removes an entry.
struct remove_entry {
  entry_kind Kind = entry_kind::invalid;
  std::string Name;
  revision Expected = revision::none;
};

/// Stops all new work on a version; needs no revision because it must win.
struct withdraw_version {
  version_ref Version;
  std::string Reason;
};

/// Starts to replace one version of a model by another.
struct start_rollout {
  std::string Model;
  std::string From;
  std::string To;
  std::vector<rollout_stage> Stages;
  rollout_margin Margin;
};

/// Pauses, resumes or aborts a rollout.
struct set_rollout_state {
  std::string Id;
  rollout_state State = rollout_state::invalid;
  std::string Reason;
  revision Expected = revision::none; ///< Required to resume.
};

/// Moves a rollout to its next stage, or to done after the last.
struct advance_rollout {
  std::string Id;
  std::uint32_t Stage = 0; ///< Stage that the sender saw.
};

/// Sets or clears the leaving flag of a backend server.
struct drain_backend {
  std::string Name;
  bool Leaving = true;
};

/// Claims an idempotency key before a non-idempotent request is dispatched.
struct claim_request {
  account_id Account;
  std::string Key;
  std::string Digest; ///< Of method, path and body.
  request_id Request;
  std::uint32_t LeaseMs = 0; ///< The outcome is unknown after this time.
};

/// How a claimed request ended.
enum class claim_outcome : std::uint8_t {
  invalid,
  done,            ///< It ran; the response may be stored.
  not_run,         ///< No byte reached a backend server; the key is free.
  outcome_unknown, ///< It may have run.
};

inline constexpr enum_table<claim_outcome, 3> ClaimOutcomeNames{{{
    {claim_outcome::done, "done"},
    {claim_outcome::not_run, "not_run"},
    {claim_outcome::outcome_unknown, "outcome_unknown"},
}}};
constexpr auto namesOf(claim_outcome) -> const auto & {
  return ClaimOutcomeNames;
}

/// A response kept for repeated keys.
struct stored_response {
  std::uint16_t Status = 0; ///< HTTP status.
  std::string ContentType;
  blob Body;

  auto operator==(const stored_response &) const -> bool = default;
};

/// Ends a claim.
struct settle_request {
  account_id Account;
  std::string Key;
  request_id Request; ///< Of the claim; others cannot settle it.
  claim_outcome Outcome = claim_outcome::invalid;
  std::optional<stored_response> Response; ///< Only with done.
};

/// One attempt of a request, for the bill.
struct usage_attempt {
  version_ref Version;
  std::string Purpose; ///< primary, retry, hedge or cascade.
  std::uint64_t InputTokens = 0;
  std::uint64_t OutputTokens = 0;
  std::uint64_t Cost = 0; ///< Micro-units; informative for unbilled attempts.
  bool Billed = true;

  auto operator==(const usage_attempt &) const -> bool = default;
};

/// Usage of one request.
struct usage_record {
  request_id Request;
  account_id Account;
  std::string Holder; ///< Node whose budget lease paid; may be empty.
  std::vector<usage_attempt> Attempts;

  auto operator==(const usage_record &) const -> bool = default;
  /// \return the cost of the billed attempts in micro-units.
  [[nodiscard]] auto cost() const -> std::uint64_t;
};

/// Records usage; duplicates by request id are dropped.
struct record_usage {
  std::vector<usage_record> Records;
};

/// Asks for a part of an account's budget and returns an unused part.
struct lease_budget {
  account_id Account;
  std::string Holder;         ///< Node that spends it.
  std::uint64_t Amount = 0;   ///< Micro-units wanted; 0 only returns.
  std::uint64_t ReturnId = 0; ///< Lease that is given back; 0 for none.
  std::uint64_t Returned = 0; ///< Unused micro-units of that lease.
};

/// Reports a crash, or requests that completed in isolation.
struct report_crash {
  std::string CrashId; ///< Backend server and engine start; one per crash.
  std::string Backend;
  bool Isolated = false;            ///< The request ran alone.
  std::vector<fingerprint> Crashed; ///< In flight during the crash.
  std::vector<fingerprint> Cleared; ///< Completed in isolation.
};

/// Ends the quarantine of a fingerprint.
struct lift_quarantine {
  fingerprint Fingerprint = fingerprint::none;
  std::string Reason;
};

/// Counts of one version since the last report.
struct version_counters {
  std::string Version;
  std::uint64_t Requests = 0;
  std::uint64_t Errors = 0;
  std::uint64_t Slow = 0;         ///< First token above the agreed threshold.
  std::uint64_t Rated = 0;        ///< Answers that the rating service judged.
  std::uint64_t Passed = 0;       ///< Rated answers that passed.
  std::uint64_t FirstTokenUs = 0; ///< Sum of times to first token.

  auto operator==(const version_counters &) const -> bool = default;
};

/// Adds an entry's counts to the evidence of a rollout.
struct report_version_evidence {
  std::string Rollout;
  std::string Source;         ///< Node and its start; one counter each.
  std::uint64_t Sequence = 0; ///< Grows with each report of the source.
  std::vector<version_counters> Counters;
};

/// Puts a routing document in force if its number is the highest.
struct publish_routing {
  std::uint64_t Number = 0;
  blob Text; ///< Compressed; see routing_document.
};

/// Starts to move a service's requests to another version.
struct start_service_rollout {
  std::string Service;
  std::string To;
  std::uint32_t DurationMs = 0;
};

/// Ends a running rollout of a service.
struct end_service_rollout {
  std::string Service;
  std::string To;
  rollout_state State = rollout_state::invalid; ///< done or aborted.
  std::string Reason;
};

/// Adds a gateway's counts to the evidence of a service's rollout.
struct report_service_evidence {
  std::string Service;
  std::string To;
  std::string Source;             ///< Node and its start; one counter each.
  std::uint64_t Sequence = 0;     ///< Grows with each report of the source.
  std::vector<arm_counts> Counts; ///< Since the last report.
  /// Hashes of sessions that began before the candidate gets work.
  std::vector<std::uint64_t> Sessions;
  bool Listed = false; ///< The source knows servers of the new version.
};

/// Lets the version that a rollout brings in take its share of new sessions;
/// those reported until now stay.
struct open_service_rollout {
  std::string Service;
  std::string To;
  candidate_load Load;
};

/// Sends all new work of a service to the version that a rollout brings in.
struct shift_service_rollout {
  std::string Service;
  std::string To;
};

/// Sends no new work to the backend servers of an availability zone.
struct evacuate_zone {
  std::string Zone;
};

/// Lets the backend servers of an evacuated zone take new work again.
struct end_evacuation {
  std::string Zone;
};

using command_body =
    std::variant<put_entry, remove_entry, withdraw_version, start_rollout,
                 set_rollout_state, advance_rollout, drain_backend,
                 claim_request, settle_request, record_usage, lease_budget,
                 report_crash, lift_quarantine, report_version_evidence,
                 publish_routing, start_service_rollout, end_service_rollout,
                 report_service_evidence, shift_service_rollout,
                 open_service_rollout, evacuate_zone, end_evacuation>;

/// Names of the command bodies in the order of the variant.
inline constexpr std::array<std::string_view, std::variant_size_v<command_body>>
    CommandNames{"put_entry",
                 "remove_entry",
                 "withdraw_version",
                 "start_rollout",
                 "set_rollout_state",
                 "advance_rollout",
                 "drain_backend",
                 "claim_request",
                 "settle_request",
                 "record_usage",
                 "lease_budget",
                 "report_crash",
                 "lift_quarantine",
                 "report_version_evidence",
                 "publish_routing",
                 "start_service_rollout",
                 "end_service_rollout",
                 "report_service_evidence",
                 "shift_service_rollout",
                 "open_service_rollout",
                 "evacuate_zone",
                 "end_evacuation"};

/// One command of the log.
struct command {
  std::string ChangeId; ///< Required for operator commands; see needsChangeId.
  std::string Issuer;   ///< Operator or node.
  std::uint64_t IssuedMs = 0; ///< Issuer's wall clock at the first try;
                              ///< required where the change id is.
  std::uint64_t TimeMs = 0;   ///< Leader's wall clock, milliseconds since 1970.
  command_body Body;
};

/// Outcome of a command.
struct command_result {
  errc Code = errc::ok;
  std::string Detail;
  revision Revision = revision::none; ///< Catalogue revision afterwards.
  json Payload;          ///< Result of the command, or the current content.
  bool Repeated = false; ///< Remembered result of an earlier equal change id.

  [[nodiscard]] auto ok() const -> bool { return Code == errc::ok; }
  [[nodiscard]] static auto of(errc Code, std::string Detail = {},
                               json Payload = {}) -> command_result {
    return {Code, std::move(Detail), revision::none, std::move(Payload), false};
  }
};

/// \return the name of the command's body.
[[nodiscard]] auto commandName(const command &Command) -> std::string_view;

/// \return whether the command must carry a change id. Commands of the request
/// path and of routing have keys of their own, which keeps the memory of change
/// ids small.
[[nodiscard]] auto needsChangeId(const command &Command) -> bool;

/// \return the command as JSON `{command, change_id, issuer, ..., body}`.
[[nodiscard]] auto commandToJson(const command &Command) -> json;

/// Reads a command. \return bad_request naming the wrong key.
[[nodiscard]] auto commandFromJson(const json &Value) -> result<command>;

/// \return the command as stored in the log and sent to control.
[[nodiscard]] auto encodeCommand(const command &Command) -> std::string;

/// Reads what encodeCommand wrote. \return corrupt_data or bad_request.
[[nodiscard]] auto decodeCommand(std::string_view Bytes) -> result<command>;

/// \return the documented fields of each command, for help texts.
[[nodiscard]] auto describeCommand(std::string_view Name)
    -> std::vector<field_info>;

} // namespace acacianotch
