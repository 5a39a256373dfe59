/// \file Field tables of the commands.
#pragma once

#include "catalogue/command_type.h"

namespace acacianotch {

inline constexpr limits NameLength{1, 257};
inline constexpr limits ReasonLength{0, 1024};

/// Bodies of stored responses are bounded because they stay in memory and in
/// the snapshot for 24 hours.
inline constexpr limits StoredBodyLength{0, 65536};

/// A routing document fits into one message between replicas.
inline constexpr limits RoutingLength{1, 8.0 * 1024 * 1024};

template <> struct field_table<put_entry> {
  static constexpr auto Fields = std::tuple{
      required("entry", &put_entry::Entry, {}, "the entry"),
      field("expected", &put_entry::Expected, {}, "revision held, 0 if new"),
      field("reinstate", &put_entry::Reinstate, {},
            "lets a withdrawn version become active again"),
  };
};

template <> struct field_table<remove_entry> {
  static constexpr auto Fields = std::tuple{
      required("kind", &remove_entry::Kind, {}, "kind"),
      required("name", &remove_entry::Name, NameLength, "name"),
      required("expected", &remove_entry::Expected, {}, "revision held"),
  };
};

template <> struct field_table<withdraw_version> {
  static constexpr auto Fields = std::tuple{
      required("version", &withdraw_version::Version, {}, "model@version"),
      field("reason", &withdraw_version::Reason, ReasonLength, "reason"),
  };
};

template <> struct field_table<start_rollout> {
  static constexpr auto Fields = std::tuple{
      required("model", &start_rollout::Model, {1, 128}, "model"),
      required("from", &start_rollout::From, {1, 128}, "predecessor version"),
      required("to", &start_rollout::To, {1, 128}, "new version"),
      required("stages", &start_rollout::Stages, {1, 64}, "steps"),
      field("margin", &start_rollout::Margin, {}, "margins of a bad version"),
  };
};

template <> struct field_table<set_rollout_state> {
  static constexpr auto Fields = std::tuple{
      required("id", &set_rollout_state::Id, NameLength, "rollout"),
      required("state", &set_rollout_state::State, {},
               "running, paused or aborted"),
      field("reason", &set_rollout_state::Reason, ReasonLength, "reason"),
      field("expected", &set_rollout_state::Expected, {},
            "revision held, required to resume"),
  };
};

template <> struct field_table<advance_rollout> {
  static constexpr auto Fields = std::tuple{
      required("id", &advance_rollout::Id, NameLength, "rollout"),
      required("stage", &advance_rollout::Stage, {0, 63}, "stage it is in"),
  };
};

template <> struct field_table<drain_backend> {
  static constexpr auto Fields = std::tuple{
      required("name", &drain_backend::Name, NameLength, "backend server"),
      field("leaving", &drain_backend::Leaving, {}, "the flag's new value"),
  };
};

template <> struct field_table<claim_request> {
  static constexpr auto Fields = std::tuple{
      required("account", &claim_request::Account, {1, 128}, "account"),
      required("key", &claim_request::Key, {1, 256}, "idempotency key"),
      required("digest", &claim_request::Digest, {1, 128},
               "digest of method, path and body"),
      required("request", &claim_request::Request, {1, 128}, "request id"),
      required("lease_ms", &claim_request::LeaseMs, {1, 86'400'000},
               "time after which the outcome is unknown"),
  };
};

template <> struct field_table<stored_response> {
  static constexpr auto Fields = std::tuple{
      required("status", &stored_response::Status, {100, 599}, "HTTP status"),
      field("content_type", &stored_response::ContentType, {0, 256},
            "content type"),
      field("body", &stored_response::Body, StoredBodyLength, "body"),
  };
};

template <> struct field_table<settle_request> {
  static constexpr auto Fields = std::tuple{
      required("account", &settle_request::Account, {1, 128}, "account"),
      required("key", &settle_request::Key, {1, 256}, "idempotency key"),
      required("request", &settle_request::Request, {1, 128}, "request id"),
      required("outcome", &settle_request::Outcome, {}, "how it ended"),
      field("response", &settle_request::Response, {}, "response to keep"),
  };
};

template <> struct field_table<usage_attempt> {
  static constexpr auto Fields = std::tuple{
      required("version", &usage_attempt::Version, {}, "model@version"),
      field("purpose", &usage_attempt::Purpose, {0, 32},
            "primary, retry, hedge or cascade"),
      field("input_tokens", &usage_attempt::InputTokens, {0, 1e12}, "tokens"),
      field("output_tokens", &usage_attempt::OutputTokens, {0, 1e12}, "tokens"),
      field("cost", &usage_attempt::Cost, {0, 1e12}, "micro-units"),
      field("billed", &usage_attempt::Billed, {}, "whether it is billed"),
  };
};

template <> struct field_table<usage_record> {
  static constexpr auto Fields = std::tuple{
      required("request", &usage_record::Request, {1, 128}, "request id"),
      required("account", &usage_record::Account, {1, 128}, "account"),
      field("holder", &usage_record::Holder, {0, 128}, "holder of the lease"),
      required("attempts", &usage_record::Attempts, {1, 64}, "attempts"),
  };
};

template <> struct field_table<record_usage> {
  static constexpr auto Fields = std::tuple{
      required("records", &record_usage::Records, {1, 4096}, "requests"),
  };
};

template <> struct field_table<lease_budget> {
  static constexpr auto Fields = std::tuple{
      required("account", &lease_budget::Account, {1, 128}, "account"),
      required("holder", &lease_budget::Holder, {1, 128}, "node"),
      required("amount", &lease_budget::Amount, {0, 1e15}, "micro-units"),
      field("return_id", &lease_budget::ReturnId, {}, "lease given back"),
      field("returned", &lease_budget::Returned, {0, 1e15},
            "unused micro-units of it"),
  };
};

template <> struct field_table<report_crash> {
  static constexpr auto Fields = std::tuple{
      required("crash_id", &report_crash::CrashId, {1, 256}, "crash"),
      field("backend", &report_crash::Backend, {0, 257}, "backend server"),
      field("isolated", &report_crash::Isolated, {}, "it ran alone"),
      field("crashed", &report_crash::Crashed, {0, 4096},
            "fingerprints in flight"),
      field("cleared", &report_crash::Cleared, {0, 4096},
            "fingerprints that completed in isolation"),
  };
};

template <> struct field_table<lift_quarantine> {
  static constexpr auto Fields = std::tuple{
      required("fingerprint", &lift_quarantine::Fingerprint, {}, "request"),
      field("reason", &lift_quarantine::Reason, ReasonLength, "reason"),
  };
};

template <> struct field_table<version_counters> {
  using body = version_counters;
  static constexpr auto Fields = std::tuple{
      required("version", &body::Version, {1, 128}, "version name"),
      required("requests", &body::Requests, {0, 1e15}, "requests"),
      field("errors", &body::Errors, {0, 1e15}, "failed requests"),
      field("slow", &body::Slow, {0, 1e15}, "slow first tokens"),
      field("rated", &body::Rated, {0, 1e15}, "rated answers"),
      field("passed", &body::Passed, {0, 1e15}, "answers that passed"),
      field("first_token_us", &body::FirstTokenUs, {0, 1e18},
            "sum of times to first token"),
  };
};

template <> struct field_table<report_version_evidence> {
  using body = report_version_evidence;
  static constexpr auto Fields = std::tuple{
      required("rollout", &body::Rollout, NameLength, "rollout"),
      required("source", &body::Source, {1, 128}, "node and its start"),
      required("sequence", &body::Sequence, {1, 1e15}, "grows per report"),
      required("counters", &body::Counters, {1, 16}, "counts per version"),
  };
};

template <> struct field_table<publish_routing> {
  static constexpr auto Fields = std::tuple{
      required("number", &publish_routing::Number, {}, "number"),
      required("text", &publish_routing::Text, RoutingLength, "content"),
  };
};

template <> struct field_table<start_service_rollout> {
  using body = start_service_rollout;
  static constexpr auto Fields = std::tuple{
      required("service", &body::Service, {1, 256}, "service"),
      required("to", &body::To, {1, 256}, "new version"),
      required("duration_ms", &body::DurationMs, {0, 4e9}, "time to complete"),
  };
};

template <> struct field_table<end_service_rollout> {
  using body = end_service_rollout;
  static constexpr auto Fields = std::tuple{
      required("service", &body::Service, {1, 256}, "service"),
      required("to", &body::To, {1, 256}, "new version"),
      required("state", &body::State, {}, "done or aborted"),
      field("reason", &body::Reason, ReasonLength, "reason"),
  };
};

template <> struct field_table<report_service_evidence> {
  using body = report_service_evidence;
  static constexpr auto Fields = std::tuple{
      required("service", &body::Service, {1, 256}, "service"),
      required("to", &body::To, {1, 256}, "new version"),
      required("source", &body::Source, {1, 128}, "node and its start"),
      required("sequence", &body::Sequence, {1, 1e15}, "grows per report"),
      required("counts", &body::Counts, {0, 4096}, "per arm and route"),
      field("sessions", &body::Sessions, {0, 4096}, "under way before"),
      field("listed", &body::Listed, {}, "knows servers of the version"),
  };
};

template <> struct field_table<shift_service_rollout> {
  using body = shift_service_rollout;
  static constexpr auto Fields = std::tuple{
      required("service", &body::Service, {1, 256}, "service"),
      required("to", &body::To, {1, 256}, "new version"),
  };
};

template <> struct field_table<open_service_rollout> {
  using body = open_service_rollout;
  static constexpr auto Fields = std::tuple{
      required("service", &body::Service, {1, 256}, "service"),
      required("to", &body::To, {1, 256}, "new version"),
      field("load", &body::Load, {}, "of the new version"),
  };
};

template <> struct field_table<evacuate_zone> {
  static constexpr auto Fields = std::tuple{
      required("zone", &evacuate_zone::Zone, {1, 128}, "availability zone"),
  };
};

template <> struct field_table<end_evacuation> {
  static constexpr auto Fields = std::tuple{
      required("zone", &end_evacuation::Zone, {1, 128}, "availability zone"),
  };
};

} // namespace acacianotch
