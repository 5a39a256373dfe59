/// \file The replicated state as stored in a snapshot.
#pragma once

#include "catalogue/command_type.h"
#include "catalogue/evacuation_type.h"
#include "catalogue/request_window.h"

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace acacianotch {

/// Format of the stored state; raised with each incompatible change.
inline constexpr std::uint32_t StateFormat = 1;

/// One change of an entry, for `history` and `diff`.
struct history_row {
  revision Revision = revision::none;
  std::uint64_t TimeMs = 0; ///< Log time.
  std::string Issuer;
  std::string ChangeId;
  std::string Action;               ///< Name of the command.
  std::optional<model_entry> Entry; ///< Content afterwards; none if removed.
};

/// State of a claimed idempotency key.
enum class claim_state : std::uint8_t {
  invalid,
  in_progress,     ///< Its request may run until the lease ends.
  done,            ///< It ran.
  released,        ///< It did not run; another request may claim the key.
  outcome_unknown, ///< It may have run; never runs again.
};

inline constexpr enum_table<claim_state, 4> ClaimStateNames{{{
    {claim_state::in_progress, "in_progress"},
    {claim_state::done, "done"},
    {claim_state::released, "released"},
    {claim_state::outcome_unknown, "outcome_unknown"},
}}};
constexpr auto namesOf(claim_state) -> const auto & { return ClaimStateNames; }

/// Identifies a claim.
struct claim_key {
  std::string Account;
  std::string Key;

  auto operator<=>(const claim_key &) const = default;
};

/// A claimed idempotency key.
struct claim {
  std::string Digest;
  std::string Request; ///< Request that holds or held the claim.
  claim_state State = claim_state::in_progress;
  std::uint64_t LastMs = 0;     ///< Log time of the last change.
  std::uint64_t LeaseEndMs = 0; ///< Log time at which the lease ends.
  std::optional<stored_response> Response;

  /// \return the state at log time \p NowMs: an expired claim's outcome is
  /// unknown because its entry may have dispatched the request.
  [[nodiscard]] auto stateAt(std::uint64_t NowMs) const -> claim_state {
    const auto Expired =
        State == claim_state::in_progress && NowMs >= LeaseEndMs;
    return Expired ? claim_state::outcome_unknown : State;
  }
};

/// Account and UTC month (year * 100 + month).
struct usage_key {
  std::string Account;
  std::uint32_t Month = 0;

  auto operator<=>(const usage_key &) const = default;
};

/// Usage of one account in one month.
struct usage_total {
  std::uint64_t Cost = 0; ///< Micro-units.
  std::uint64_t Requests = 0;
  std::uint64_t Attempts = 0;
  std::uint64_t InputTokens = 0;
  std::uint64_t OutputTokens = 0;
};

/// Budget that a node may spend without asking.
struct budget_lease {
  std::uint64_t Id = 0; ///< Log index of the grant.
  std::string Holder;
  std::uint64_t Amount = 0; ///< Micro-units not yet recorded as usage.
  std::uint64_t UntilMs = 0;
  bool Returned = false; ///< Its unused part was given back.
};

/// Counts of one rollout, merged from all entries.
struct rollout_evidence {
  std::string Rollout;
  std::map<std::string, std::uint64_t> Sequences; ///< Last one per source.
  std::map<std::string, version_counters> Totals; ///< By version name.
};

/// First result of a change id.
struct remembered_change {
  std::uint64_t Digest = 0; ///< Of the command without its times.
  std::uint64_t TimeMs = 0;
  std::uint16_t Code = 0;
  std::string Detail;
  revision Revision = revision::none;
  blob Payload; ///< CBOR.
};

/// Everything that the log replicates, except membership.
struct catalogue_data {
  std::uint32_t Format = StateFormat;
  std::uint64_t Index = 0;     ///< Log index of the last command.
  std::uint64_t LogTimeMs = 0; ///< Largest time of a command.
  std::uint64_t SweptMs = 0;   ///< Log time of the last removal of old data.
  revision Revision = revision::none;

  std::map<entry_key, model_entry> Entries;
  std::map<entry_key, std::vector<history_row>> History;
  std::map<std::string, revision> Withdrawn; ///< Also of removed entries.
  std::map<std::string, rollout> Rollouts;   ///< Last one of each model.
  std::vector<rollout> PastRollouts;
  std::map<std::string, rollout_evidence> Evidence; ///< By model.
  std::map<claim_key, claim> Claims;
  std::map<std::uint64_t, std::uint64_t> OldClaims; ///< Hash to removal time.
  std::map<usage_key, usage_total> Usage;
  request_window Recorded; ///< Requests whose usage is recorded.
  std::map<std::string, std::vector<budget_lease>> Leases; ///< By account.
  std::map<fingerprint, crash_record> Crashes;
  std::map<std::string, remembered_change> Changes;
  std::optional<routing_document> Routing;
  std::map<std::string, service_rollout> ServiceRollouts;  ///< By service.
  std::map<std::string, service_evidence> ServiceEvidence; ///< By service.
  std::map<std::string, zone_evacuation> Evacuations;      ///< By zone.

  /// Digest of each bearer key to its account. Derived from the entries and not
  /// stored, so that a put need not search all accounts for a duplicate.
  std::map<std::string, std::string> AccountKeys;
};

/// \return the hash under which an old claim is remembered.
[[nodiscard]] auto oldClaimHash(const claim_key &Key) -> std::uint64_t;

/// \return the UTC month of a time in milliseconds since 1970, as in usage_key.
[[nodiscard]] auto monthOf(std::uint64_t TimeMs) -> std::uint32_t;

/// \return the version that serves a model's requests outside a rollout, or an
/// empty text.
[[nodiscard]] auto servingVersion(const catalogue_data &Data,
                                  const std::string &Model) -> std::string;

} // namespace acacianotch
