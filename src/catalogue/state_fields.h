/// \file Field tables of the stored state.
#pragma once

#include "catalogue/command_fields.h"
#include "catalogue/state_type.h"

namespace acacianotch {

/// An entry key is written as `kind/name`.
template <> struct value_codec<entry_key> : codec_base<entry_key> {
  static constexpr std::string_view Name = "entry key";
  static auto write(const entry_key &Key) -> json { return Key.text(); }
  static auto read(const json &Value, entry_key &Out, const limits &)
      -> result<void>;
};

template <> struct field_table<history_row> {
  static constexpr auto Fields = std::tuple{
      required("revision", &history_row::Revision, {}, "log index"),
      required("time_ms", &history_row::TimeMs, {}, "log time"),
      field("issuer", &history_row::Issuer, {}, "who"),
      field("change_id", &history_row::ChangeId, {}, "change id"),
      required("action", &history_row::Action, {}, "command"),
      field("entry", &history_row::Entry, {}, "content afterwards"),
  };
};

template <> struct field_table<claim_key> {
  static constexpr auto Fields = std::tuple{
      required("account", &claim_key::Account, {}, "account"),
      required("key", &claim_key::Key, {}, "idempotency key"),
  };
};

template <> struct field_table<claim> {
  static constexpr auto Fields = std::tuple{
      required("digest", &claim::Digest, {}, "digest of the request"),
      required("request", &claim::Request, {}, "request id"),
      required("state", &claim::State, {}, "state"),
      required("last_ms", &claim::LastMs, {}, "log time"),
      required("lease_end_ms", &claim::LeaseEndMs, {}, "log time"),
      field("response", &claim::Response, {}, "stored response"),
  };
};

template <> struct field_table<usage_key> {
  static constexpr auto Fields = std::tuple{
      required("account", &usage_key::Account, {}, "account"),
      required("month", &usage_key::Month, {}, "year * 100 + month"),
  };
};

template <> struct field_table<usage_total> {
  static constexpr auto Fields = std::tuple{
      required("cost", &usage_total::Cost, {}, "micro-units"),
      required("requests", &usage_total::Requests, {}, "requests"),
      required("attempts", &usage_total::Attempts, {}, "attempts"),
      required("input_tokens", &usage_total::InputTokens, {}, "tokens"),
      required("output_tokens", &usage_total::OutputTokens, {}, "tokens"),
  };
};

template <> struct field_table<budget_lease> {
  static constexpr auto Fields = std::tuple{
      required("id", &budget_lease::Id, {}, "lease"),
      required("holder", &budget_lease::Holder, {}, "node"),
      required("amount", &budget_lease::Amount, {}, "micro-units"),
      required("until_ms", &budget_lease::UntilMs, {}, "log time"),
      field("returned", &budget_lease::Returned, {}, "given back"),
  };
};

template <> struct field_table<rollout_evidence> {
  static constexpr auto Fields = std::tuple{
      required("rollout", &rollout_evidence::Rollout, {}, "rollout"),
      required("sequences", &rollout_evidence::Sequences, {}, "per source"),
      required("totals", &rollout_evidence::Totals, {}, "per version"),
  };
};

template <> struct field_table<remembered_change> {
  static constexpr auto Fields = std::tuple{
      required("digest", &remembered_change::Digest, {}, "of the command"),
      required("time_ms", &remembered_change::TimeMs, {}, "log time"),
      required("code", &remembered_change::Code, {}, "error code"),
      field("detail", &remembered_change::Detail, {}, "detail"),
      required("revision", &remembered_change::Revision, {}, "revision"),
      field("payload", &remembered_change::Payload, {}, "result"),
  };
};

template <> struct field_table<catalogue_data> {
  using body = catalogue_data;
  static constexpr auto Fields = std::tuple{
      required("format", &body::Format, {}, "format version"),
      required("index", &body::Index, {}, "last log index"),
      required("log_time_ms", &body::LogTimeMs, {}, "log time"),
      required("swept_ms", &body::SweptMs, {}, "last removal of old data"),
      required("revision", &body::Revision, {}, "catalogue revision"),
      required("entries", &body::Entries, {}, "entries"),
      required("history", &body::History, {}, "history per entry"),
      required("withdrawn", &body::Withdrawn, {}, "withdrawn versions"),
      required("rollouts", &body::Rollouts, {}, "last rollout per model"),
      required("past_rollouts", &body::PastRollouts, {}, "earlier rollouts"),
      required("evidence", &body::Evidence, {}, "evidence per model"),
      required("claims", &body::Claims, {}, "claims"),
      required("old_claims", &body::OldClaims, {}, "hashes of old claims"),
      required("usage", &body::Usage, {}, "totals"),
      required("recorded", &body::Recorded, {}, "requests with usage"),
      required("leases", &body::Leases, {}, "budget leases"),
      required("crashes", &body::Crashes, {}, "crash records"),
      required("changes", &body::Changes, {}, "change ids"),
      field("routing", &body::Routing, {}, "routing document"),
      field("service_rollouts", &body::ServiceRollouts, {}, "per service"),
      field("service_evidence", &body::ServiceEvidence, {}, "per service"),
      field("evacuations", &body::Evacuations, {}, "per availability zone"),
  };
};

} // namespace acacianotch
