/// \file Forwards one caller's request to backend servers.
#include "gateway/forward_task.h"

#include "core/log_func.h"
#include "platform/request_codec.h"

#include <xxhash.h>

#include <algorithm>

namespace acacianotch {

namespace {

/// Work units of a running stream of the largest model: each stream slows down
/// token generation on its server a little.
constexpr double RunningStreamWork = 0.1;

constexpr int Unauthorized = 401;
constexpr int NotFound = 404;
constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int ServerError = 500;

} // namespace

forward_task::forward_task(gateway_context &TheContext,
                           std::shared_ptr<const routing_table> TheTable,
                           std::shared_ptr<caller_connection> TheCaller,
                           caller_request TheRequest)
    : Context(TheContext), Table(std::move(TheTable)),
      Caller(std::move(TheCaller)), Request(std::move(TheRequest)),
      Deadline(Context.Loop.oneShot([this] {
        const auto Self = shared_from_this();
        handleDeadline();
      })),
      StallTimer(Context.Loop.oneShot([this] {
        const auto Self = shared_from_this();
        handleStallTimer();
      })) {}

auto forward_task::start() -> void {
  ++Context.Counters.Requests;
  Caller->watch(
      [Weak = weak_from_this()] {
        if (const auto Self = Weak.lock())
          Self->handleCallerDisconnect();
      },
      [Weak = weak_from_this()] {
        if (const auto Self = Weak.lock(); Self && Self->Paused) {
          Self->Paused = false;
          if (Self->Attempt)
            Self->Attempt->Channel->resumeReading();
        }
      });
  if (!admit())
    return;
  // A stream could outlast the shutdown; another gateway can complete it.
  if (Context.Stopping && Route->Kind == route_kind::streaming)
    return refuse(Unavailable, "this gateway stops", GatewayRefusalRetryAfter);
  Context.ExtraAttemptBudget.firstAttempt();
  chooseService();
  if (namesUnknownModel())
    return refuseWithoutModel();
  if (exceedsServerMemory())
    return refuse(Unavailable, "the prompt exceeds the memory of a server");
  chooseArm();
  chooseModel();
  auto Limit = Route->Timeout;
  if (Request.TimeLeft)
    Limit = std::min(Limit, *Request.TimeLeft);
  // A request may have been held before it came here.
  Limit -= steady_clock::now() - Request.ReceivedAt;
  if (Limit <= duration::zero())
    return refuse(Unavailable, "the time for the request is over");
  Deadline->start(Limit);
  Context.Directory.recordDemand(Service);
  startNextAttempt();
}

auto forward_task::admit() -> bool {
  Route = Table->match(Request.Host, Request.path());
  if (Route == nullptr) {
    refuseForGood(NotFound, "no route");
    return false;
  }
  if (!Table->HasAccounts || Route->Anonymous)
    return true;
  Account = Table->accountOf(Request.Key);
  if (Account != nullptr)
    return true;
  refuseForGood(Unauthorized, "unknown key");
  return false;
}

// Hashes the request id, which is unique for each attempt of the caller, so
// that the caller's next attempt may go to another service.
auto forward_task::chooseService() -> void {
  double TotalWeight = 0;
  for (const auto &Target : Route->Services)
    TotalWeight += Target.Weight;
  constexpr double HashRange = 18446744073709551616.0; // 2^64
  const auto Hash = XXH3_64bits(Request.Id.data(), Request.Id.size());
  auto Point = TotalWeight * (static_cast<double>(Hash) / HashRange);
  for (const auto &Target : Route->Services) {
    if (Target.Weight <= 0)
      continue;
    Service = Target.Service;
    Point -= Target.Weight;
    if (Point < 0)
      return;
  }
}

auto forward_task::startNextAttempt() -> void {
  while (!Done) {
    if (const auto Part = findBlocked())
      return refuseBlocked(*Part);
    if (!attemptsLeft())
      return refuseNotRun("all attempts were refused");
    if (!useAvailableModel())
      return refuseWithoutModel();
    const auto Chosen = chooseBackend();
    if (!Chosen)
      return refuseUnplaced();
    TriedBackends.push_back(*Chosen);
    ++AttemptsStarted;
    if (send(*Chosen))
      return;
  }
}

auto forward_task::handleHead(const answer_facts &Facts, http_head &&Head)
    -> void {
  Context.Directory.recordProgress(Attempt->Backend);
  Attempt->LastDataAt = steady_clock::now();
  Attempt->Facts = Facts;
  Attempt->AnsweredAt = Attempt->LastDataAt;
  if (Facts.success())
    Context.Rollouts.recordResponse(Attempt->WaitingId);
  if (Attempt->WorkUnits > 0)
    setWork(RunningStreamWork * modelWeight(Model));
  Attempt->Head = std::move(Head);
  // A server that stops in the middle of the head may leave the seal out.
  if (Facts.success() && !Facts.Sealed)
    return handleFailure({errc::protocol_error, "the answer carries no seal",
                          verdict::may_have_run});
  if (Facts.success())
    Context.Directory.recordAccepted(Attempt->Backend, Model);
  if (statesExcessiveLength())
    return endExcessive("the answer states a length that is too large");
  if (Route->Kind != route_kind::streaming || !Facts.success())
    return;
  recordModelAnswer();
  if (const auto NextStage = tryEscalation())
    return escalate(*NextStage);
  beginStream();
}

auto forward_task::handleEnd(const result<void> &Result) -> void {
  if (Done || Attempt == nullptr)
    return;
  if (Result)
    handleAnswer();
  else
    handleFailure(Result.error());
}

// An answer that states that nothing was executed leaves the request
// repeatable, whatever its route.
auto forward_task::handleRejection(bool Clean) -> void {
  logDroppedAnswer();
  ++AttemptsSent;
  if (Attempt->Facts.Misdirected)
    recordMisdirected();
  releaseAttempt(Clean);
  if (isModelRejected())
    return refuseWithoutModel();
  if (StreamStarted && !attemptsLeft())
    return failMayHaveRun(BadGateway, "a broken stream could not go on");
  if (!Context.ExtraAttemptBudget.tryAcquire())
    return refuseNotRun("the budget for extra attempts is spent");
  startNextAttempt();
}

auto forward_task::handleAnswer() -> void {
  if (Attempt->Facts.NotRun)
    return handleRejection(true);
  if (Attempt->StreamsBody && Events.insideEvent())
    return handleFailure({errc::incomplete_answer,
                          "the stream ended inside an event",
                          verdict::may_have_run});
  ++AttemptsSent;
  MayHaveRun = true;
  Context.Directory.recordSuccess(Attempt->Backend);
  if (Attempt->Facts.success())
    recordAnswered();
  recordOutcome(Attempt->Facts.Status >= ServerError);
  if (Attempt->StreamsBody || Attempt->PassesBody) {
    Caller->write(Events.takeRest());
    logAnswer();
    releaseAttempt(true);
    ++Context.Counters.Answered;
    Caller->endStream();
    return finish();
  }
  if (StreamStarted)
    return continueAfterError();
  const auto Failed = Attempt->Facts.Status >= ServerError;
  if (Failed && tryAcquireRetry()) {
    logDroppedAnswer();
    revertToServing();
    releaseAttempt(true);
    return startNextAttempt();
  }
  deliver();
}

// The caller has the head and the first events of the stream, so no other
// answer can follow.
auto forward_task::continueAfterError() -> void {
  logDroppedAnswer();
  revertToServing();
  releaseAttempt(true);
  if (tryAcquireRetry())
    return startNextAttempt();
  failMayHaveRun(BadGateway, "a broken stream could not go on");
}

auto forward_task::handleFailure(const failure &Failure) -> void {
  const auto Backend = Attempt->Backend;
  recordPossibleCrash(Failure);
  abandonAttempt(Failure);
  if (Failure.Verdict == verdict::not_run) {
    if (Failure.Code != errc::backend_leaving)
      Context.Directory.suspend(Backend);
    return startNextAttempt();
  }
  Context.Directory.recordFailure(Backend);
  ++AttemptsSent;
  MayHaveRun = true;
  if (!tryAcquireRetry())
    return failMayHaveRun(BadGateway, Failure.Detail);
  startNextAttempt();
}

/// \return whether a request that may have been executed may be sent again. If
/// so, charges the budget of extra attempts.
auto forward_task::tryAcquireRetry() -> bool {
  if (AnswerPassed || !Route->repeatable() || !attemptsLeft() ||
      !Context.ExtraAttemptBudget.tryAcquire())
    return false;
  ++Context.Counters.Retries;
  return true;
}

auto forward_task::elapsedMs() const -> std::int64_t {
  return (steady_clock::now() - Request.ReceivedAt) /
         std::chrono::milliseconds(1);
}

} // namespace acacianotch
