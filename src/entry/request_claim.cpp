/// \file Idempotency keys: a request is claimed before it is dispatched, and
/// its outcome is stored before the response is sent.
#include "catalogue/command_fields.h"
#include "core/log_func.h"
#include "entry/api_reply.h"
#include "entry/request_task.h"

namespace acacianotch {

namespace {

constexpr duration ClaimTimeout = std::chrono::seconds(3);
constexpr duration SettleTimeout = std::chrono::seconds(30);
constexpr duration MaxReplyDelay = std::chrono::seconds(1);
constexpr std::uint32_t ClaimLeaseMs = 300'000;
constexpr std::size_t MaxStoredAnswerBytes = 64ULL * 1024;

} // namespace

// The claim is durable before the request is dispatched, so a retry by the
// caller through any entry finds it.
auto request_task::claim() -> void {
  ++Context.Counters.Claims;
  command Command;
  Command.Issuer = Context.NodeId;
  Command.Body = claim_request{Account, Key, Digest, Request.Id, ClaimLeaseMs};
  ClaimCall = Context.Control.execute(Command, ClaimTimeout)
                  .then([this, Guard = Alive](const command_result &Result) {
                    if (*Guard)
                      handleClaim(Result);
                  })
                  .eagerlyEvaluate(nullptr);
}

auto request_task::handleClaim(const command_result &Result) -> void {
  if (!Result.ok()) {
    auto Failure = failure::of(Result.Code, Result.Detail);
    // This request has sent nothing to a backend server.
    if (Result.Code == errc::no_quorum)
      Failure.Verdict = verdict::not_run;
    replyFailure(Failure, duration::zero());
    return;
  }
  if (Result.Payload.value("claim", "") == "done") {
    replyStored(Result.Payload.value("response", json()));
    return;
  }
  Claimed = true;
  run();
}

auto request_task::replyStored(const json &Response) -> void {
  const auto Stored = readValue<stored_response>(Response);
  if (!Stored) {
    replyFailure(failure::of(errc::outcome_unknown,
                             "it ran, but its answer is not stored"),
                 duration::zero());
    return;
  }
  auto Headers = replyHeaders();
  Headers.emplace_back("Content-Type", Stored->ContentType);
  Headers.emplace_back("Idempotent-Replay", "true");
  Headers.emplace_back(VerdictHeader, "ran");
  Exchange->reply(Stored->Status, Headers, Stored->Body.Bytes);
  ++Context.Counters.Completed;
  release(duration::zero());
  done();
}

auto request_task::settlement(const dispatch_result &Result) const -> command {
  settle_request Settle{Account, Key, Request.Id, claim_outcome::done,
                        std::nullopt};
  if (Result.Error)
    Settle.Outcome = Result.Error->Verdict == verdict::not_run
                         ? claim_outcome::not_run
                         : claim_outcome::outcome_unknown;
  else if (Result.Body.size() <= MaxStoredAnswerBytes && !Streaming)
    Settle.Response =
        stored_response{static_cast<std::uint16_t>(Result.HttpStatus),
                        Result.ContentType,
                        {Result.Body}};
  command Command;
  Command.Issuer = Context.NodeId;
  Command.Body = std::move(Settle);
  return Command;
}

// The caller can lose the response and retry at once, so the outcome is stored
// before the response is sent. The response is delayed by at most
// MaxReplyDelay, because the claim alone already prevents a second run.
auto request_task::settleThenReply(dispatch_result Result) -> void {
  auto Stored = Context.Control.execute(settlement(Result), SettleTimeout)
                    .then([](const command_result &Settled) {
                      if (!Settled.ok())
                        logWarning(log_category::entry,
                                   "failed to settle an idempotency claim",
                                   {{"error", Settled.Detail}});
                    })
                    .fork();
  ClaimCall = Stored.addBranch()
                  .exclusiveJoin(Context.Loop.delay(MaxReplyDelay))
                  .then([this, Guard = Alive, Answer = std::move(Result)] {
                    if (*Guard)
                      reply(Answer);
                  })
                  .eagerlyEvaluate(nullptr);
  // The command continues after the response was sent.
  Stored.addBranch().detach([](kj::Exception &&) {});
}

} // namespace acacianotch
