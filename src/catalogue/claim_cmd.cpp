/// \file Commands that claim and settle idempotency keys.
#include "catalogue/command_func.h"
#include "catalogue/state_fields.h"

#include <xxhash.h>

namespace acacianotch {

namespace {

auto claimPayload(claim_state State, const claim *Claim) -> json {
  json Payload = {{"claim", ClaimStateNames.name(State)}};
  if (Claim != nullptr && Claim->Response)
    Payload["response"] = writeValue(*Claim->Response);
  return Payload;
}

auto granted() -> command_result {
  return command_result::of(errc::ok, "granted", {{"claim", "granted"}});
}

/// \return the answer to a claim of a key that another claim holds, or nothing
/// if the key is free.
auto answerHeld(const claim &Held, const claim_request &Body,
                std::uint64_t NowMs) -> std::optional<command_result> {
  const auto State = Held.stateAt(NowMs);
  if (State != claim_state::released && Held.Digest != Body.Digest)
    return command_result::of(errc::idempotency_conflict);
  switch (State) {
  case claim_state::in_progress:
    if (Held.Request == Body.Request.Text)
      return granted();
    return command_result::of(errc::idempotency_in_progress, {},
                              claimPayload(State, nullptr));
  case claim_state::done:
    return command_result::of(errc::ok, "done", claimPayload(State, &Held));
  case claim_state::released:
    if (Held.Request != Body.Request.Text)
      return std::nullopt;
    return command_result::of(errc::cancelled,
                              "the request has released this key");
  default:
    return command_result::of(
        errc::outcome_unknown, {},
        claimPayload(claim_state::outcome_unknown, nullptr));
  }
}

auto tooOld() -> command_result {
  return command_result::of(errc::outcome_unknown,
                            "the idempotency key is older than 24 hours");
}

/// \return whether the settlement repeats one that is stored already.
auto repeats(const claim &Claim, const settle_request &Body) -> bool {
  switch (Claim.State) {
  case claim_state::done:
    return Body.Outcome == claim_outcome::done;
  case claim_state::released:
    return Body.Outcome == claim_outcome::not_run;
  case claim_state::outcome_unknown:
    return Body.Outcome == claim_outcome::outcome_unknown;
  default:
    return false;
  }
}

/// After the lease only the news that the request ran is accepted: its caller
/// may have been told that the outcome is unknown, and a release would let a
/// second request run while the first may still be dispatched.
auto checkSettle(const claim &Claim, const settle_request &Body,
                 std::uint64_t NowMs) -> command_result {
  const auto State = Claim.stateAt(NowMs);
  if (Claim.Request != Body.Request.Text)
    return command_result::of(errc::idempotency_conflict,
                              "the claim belongs to another request");
  if (State == claim_state::in_progress)
    return {};
  if (State != claim_state::outcome_unknown)
    return command_result::of(errc::idempotency_conflict,
                              "the claim is settled");
  if (Body.Outcome != claim_outcome::not_run)
    return {};
  return command_result::of(errc::outcome_unknown, "the claim has expired");
}

auto stateAfter(claim_outcome Outcome) -> claim_state {
  switch (Outcome) {
  case claim_outcome::done:
    return claim_state::done;
  case claim_outcome::not_run:
    return claim_state::released;
  default:
    return claim_state::outcome_unknown;
  }
}

} // namespace

auto oldClaimHash(const claim_key &Key) -> std::uint64_t {
  const auto Text =
      std::to_string(Key.Account.size()) + ":" + Key.Account + Key.Key;
  return XXH3_64bits(Text.data(), Text.size());
}

auto execute(catalogue_data &Data, command_context &Context,
             const claim_request &Body) -> command_result {
  const claim_key Key{Body.Account.Text, Body.Key};
  const auto Place = Data.Claims.find(Key);
  if (Place != Data.Claims.end()) {
    auto Answer = answerHeld(Place->second, Body, Context.NowMs);
    if (Answer)
      return std::move(*Answer);
  } else if (Data.OldClaims.contains(oldClaimHash(Key))) {
    return tooOld();
  }
  if (Context.DryRun)
    return {};
  Data.Claims.insert_or_assign(
      Key, claim{Body.Digest, Body.Request.Text, claim_state::in_progress,
                 Context.NowMs, Context.NowMs + Body.LeaseMs, std::nullopt});
  return granted();
}

auto execute(catalogue_data &Data, command_context &Context,
             const settle_request &Body) -> command_result {
  const claim_key Key{Body.Account.Text, Body.Key};
  const auto Place = Data.Claims.find(Key);
  if (Place == Data.Claims.end())
    return command_result::of(errc::unknown_entry, "no such claim");
  auto &Claim = Place->second;
  if (Claim.Request == Body.Request.Text && repeats(Claim, Body))
    return command_result::of(errc::ok, "duplicate",
                              claimPayload(Claim.State, nullptr));
  if (stateAfter(Body.Outcome) != claim_state::done && Body.Response)
    return command_result::of(errc::bad_request,
                              "key 'response': only with outcome done");
  auto Checked = checkSettle(Claim, Body, Context.NowMs);
  if (!Checked.ok() || Context.DryRun)
    return Checked;
  Claim.State = stateAfter(Body.Outcome);
  Claim.LastMs = Context.NowMs;
  Claim.Response = Body.Response;
  return command_result::of(errc::ok, "settled",
                            claimPayload(Claim.State, nullptr));
}

} // namespace acacianotch
