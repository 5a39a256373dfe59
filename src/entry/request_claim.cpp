/// \file Idempotency keys: claim before the dispatch, outcome before the
/// answer.
#include "catalogue/command_fields.h"
#include "core/log_func.h"
#include "entry/api_reply.h"
#include "entry/request_task.h"

namespace acacianotch {

namespace {

constexpr duration ClaimLimit = std::chrono::seconds(3);
constexpr duration SettleLimit = std::chrono::seconds(30);
constexpr duration SettleWait = std::chrono::seconds(1);
constexpr std::uint32_t ClaimLeaseMs = 300'000;
constexpr std::size_t MaxStoredAnswerBytes = 64ULL * 1024;

} // namespace

// The claim is durable before the request is dispatched, so a resend through
// any other entry finds it.
auto request_task::claim() -> void {
  ++Context.Counters.Claims;
  command Command;
  Command.Issuer = Context.NodeId;
  Command.Body = claim_request{Account, Key, Digest, Request.Id, ClaimLeaseMs};
  ClaimCall = Context.Control.execute(Command, ClaimLimit)
                  .then([this, Guard = Alive](const command_result &Result) {
                    if (*Guard)
                      handleClaim(Result);
                  })
                  .eagerlyEvaluate(nullptr);
}

auto request_task::handleClaim(const command_result &Result) -> void {
  if (!Result.ok()) {
    auto Failure = failure::of(Result.Code, Result.Detail);
    // This attempt has sent nothing to a backend server.
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

auto request_task::settlement(const dispatch_end &End) const -> command {
  settle_request Settle{Account, Key, Request.Id, claim_outcome::done,
                        std::nullopt};
  if (End.Error)
    Settle.Outcome = End.Error->Verdict == verdict::not_run
                         ? claim_outcome::not_run
                         : claim_outcome::outcome_unknown;
  else if (End.Body.size() <= MaxStoredAnswerBytes && !Streaming)
    Settle.Response =
        stored_response{static_cast<std::uint16_t>(End.HttpStatus),
                        End.ContentType,
                        {End.Body}};
  command Command;
  Command.Issuer = Context.NodeId;
  Command.Body = std::move(Settle);
  return Command;
}

// The caller can lose the answer and resend at once, so the outcome is stored
// before the answer is sent. An answer that exists is not held back for long:
// the claim alone already prevents a second run.
auto request_task::settleThenReply(dispatch_end End) -> void {
  auto Stored =
      Context.Control.execute(settlement(End), SettleLimit)
          .then([](const command_result &Result) {
            if (!Result.ok())
              logWarning(log_category::entry, "a claim could not be settled",
                         {{"error", Result.Detail}});
          })
          .fork();
  ClaimCall = Stored.addBranch()
                  .exclusiveJoin(Context.Loop.delay(SettleWait))
                  .then([this, Guard = Alive, Held = std::move(End)] {
                    if (*Guard)
                      reply(Held);
                  })
                  .eagerlyEvaluate(nullptr);
  // Storing goes on after the reply.
  Stored.addBranch().detach([](kj::Exception &&) {});
}

} // namespace acacianotch
