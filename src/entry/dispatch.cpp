/// \file Runs one request on backend servers.
#include "entry/dispatch.h"

#include "core/log_func.h"
#include "net/kj_func.h"

#include <algorithm>

namespace acacianotch {

namespace {

constexpr std::uint32_t MaxAttempts = 4;
constexpr std::size_t MaxBufferedAnswerBytes = 16ULL * 1024 * 1024;

auto readLoad(wire::LoadReport::Reader Load) -> load_report {
  return {Load.getRunning(), Load.getQueued(), Load.getLong(), Load.getSlots(),
          Load.getLeaving()};
}

} // namespace

struct dispatch::attempt_state {
  std::uint32_t Number = 0;
  backend_handle Backend;
  observed_attempt Observed;
  bool Open = true;
  bool FirstTokenReceived = false;
  bool DataMismatch = false;
  std::uint64_t Offset = 0;
  std::string Body;
  kj::Maybe<kj::Promise<void>> Call;
};

/// Receives the answer of one attempt.
class dispatch::sink final : public wire::ResponseSink::Server {
public:
  sink(dispatch &TheOwner, attempt_state &TheAttempt)
      : Owner(TheOwner), Attempt(TheAttempt), Alive(TheOwner.Alive) {}

  auto write(WriteContext Context) -> kj::Promise<void> override {
    if (!*Alive || !Attempt.Open)
      return KJ_EXCEPTION(DISCONNECTED, "the attempt has ended");
    const auto Params = Context.getParams();
    const auto Id = Params.getRequestId();
    if (Id != Owner.Request.Id.Text.c_str()) {
      Attempt.DataMismatch = true;
      return KJ_EXCEPTION(FAILED, "the data belongs to another request");
    }
    const auto Data = Params.getData();
    return Owner.receive(
        Attempt, Params.getOffset(),
        {reinterpret_cast<const char *>(Data.begin()), Data.size()});
  }

private:
  dispatch &Owner;
  attempt_state &Attempt;
  std::shared_ptr<const bool> Alive;
};

dispatch::dispatch(dispatch_context TheContext, pool &ThePool,
                   dispatch_request TheRequest, dispatch_callbacks TheCallbacks)
    : Context(TheContext), Pool(ThePool), Request(std::move(TheRequest)),
      Callbacks(std::move(TheCallbacks)),
      HedgeTimer(TheContext.Loop.oneShot([this] { hedgeIfLate(); })) {}

dispatch::~dispatch() {
  *Alive = false;
  for (auto &Attempt : Attempts)
    if (Attempt->Open) {
      Pool.Outlier.ended(Attempt->Observed);
      closeAttempt(*Attempt);
    }
}

auto dispatch::start() -> void {
  StartedAt = steady_clock::now();
  Pool.Hedging.requestStarted();
  Pool.Retries.firstAttempt();
  updateProbeRequest();
  if (!startAttempt(false)) {
    finish({failure::of(errc::no_backend)});
    return;
  }
  startHedgeTimer();
}

auto dispatch::updateProbeRequest() -> void {
  if (Pool.Outlier.ejected() == 0)
    Pool.ProbeRequest.reset();
  else if (Request.Idempotent && !Request.Long && !Request.Isolated)
    Pool.ProbeRequest = Request;
}

auto dispatch::startAttempt(bool Hedge) -> bool {
  const auto Picked =
      Pool.Placement.pick({Request.AffinityKey, TriedBackends, Request.Long});
  if (!Picked)
    return false;
  const auto *Address = Context.Pools.agentAddress(*Picked);
  if (Address == nullptr)
    return false;
  auto State = std::make_unique<attempt_state>();
  State->Number = Race.add(*Picked);
  State->Backend = *Picked;
  State->Observed = Pool.Outlier.started(*Picked, Request.Long);
  Context.Pools.backends().started(*Picked, Request.Long);
  TriedBackends.push_back(*Picked);
  Hedges += Hedge ? 1 : 0;
  auto &Attempt = *State;
  Attempts.push_back(std::move(State));
  Attempt.Call =
      Context.Agents.connect(*Address)
          .then(
              [this, &Attempt](wire::Agent::Client Agent) {
                return sendTo(Attempt, kj::mv(Agent));
              },
              [this, &Attempt](kj::Exception &&Exception) -> kj::Promise<void> {
                Pool.Outlier.unreachable(Attempt.Backend);
                auto Failure = failureFrom(Exception);
                Failure.Verdict = verdict::not_run;
                handleFailure(Attempt, std::move(Failure), duration::zero());
                return kj::READY_NOW;
              })
          .eagerlyEvaluate(nullptr);
  return true;
}

auto dispatch::sendTo(attempt_state &Attempt, wire::Agent::Client Agent)
    -> kj::Promise<void> {
  auto Call = Agent.runRequest();
  writeWorkRequest(Call.initRequest(), Request, Attempt.Number, Context.View);
  Call.setSink(kj::heap<sink>(*this, Attempt));
  return Call.send().then(
      [this, &Attempt](auto &&Response) {
        handleOutcome(Attempt, Response.getOutcome());
      },
      [this, &Attempt](kj::Exception &&Exception) {
        handleFailure(Attempt, failureFrom(Exception), duration::zero());
      });
}

auto dispatch::receive(attempt_state &Attempt, std::uint64_t Offset,
                       std::string_view Data) -> kj::Promise<void> {
  if (Offset != Attempt.Offset) {
    Attempt.DataMismatch = true;
    return KJ_EXCEPTION(FAILED, "the data does not follow what came before");
  }
  Attempt.Offset += Data.size();
  recordProgress(Attempt, Data);
  if (!Race.firstToken(Attempt.Number))
    return KJ_EXCEPTION(DISCONNECTED, "another attempt was faster");
  cancelLosers();
  if (!Request.Streamed) {
    if (Attempt.Body.size() + Data.size() > MaxBufferedAnswerBytes)
      return KJ_EXCEPTION(FAILED, "the answer is too long");
    Attempt.Body += Data;
    return kj::READY_NOW;
  }
  Delivered = true;
  auto Pair = kj::newPromiseAndFulfiller<void>();
  auto Fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(
      kj::mv(Pair.fulfiller));
  Callbacks.OnData(Data, [Fulfiller] { (*Fulfiller)->fulfill(); });
  return kj::mv(Pair.promise);
}

auto dispatch::recordFirstToken(attempt_state &Attempt) -> void {
  if (Attempt.FirstTokenReceived)
    return;
  Attempt.FirstTokenReceived = true;
  Pool.Outlier.firstToken(Attempt.Observed);
  if (FirstToken == duration::zero()) {
    FirstToken = steady_clock::now() - StartedAt;
    Pool.Hedging.observe(FirstToken);
  }
}

auto dispatch::recordProgress(attempt_state &Attempt, std::string_view Data)
    -> void {
  const auto Tokens = countEvents(Data);
  const auto First = !Attempt.FirstTokenReceived;
  recordFirstToken(Attempt);
  const auto More = First && Tokens > 0 ? Tokens - 1 : Tokens;
  if (Request.Streamed && More > 0)
    Pool.Outlier.progress(Attempt.Observed, More);
}

auto dispatch::closeAttempt(attempt_state &Attempt) -> void {
  if (!Attempt.Open)
    return;
  Attempt.Open = false;
  Context.Pools.backends().finished(Attempt.Backend, Request.Long, std::nullopt,
                                    steady_clock::now());
}

auto dispatch::handleOutcome(attempt_state &Attempt,
                             wire::WorkOutcome::Reader Outcome) -> void {
  if (!Attempt.Open)
    return;
  Context.Pools.backends().reported(
      Attempt.Backend, readLoad(Outcome.getLoad()), steady_clock::now());
  const auto Code = errcFromWire(Outcome.getError());
  if (Code != errc::ok) {
    const auto RetryAfter =
        std::chrono::milliseconds(Outcome.getRetryAfterMs());
    handleFailure(Attempt,
                  {Code, toString(Outcome.getDetail()),
                   static_cast<verdict>(Outcome.getVerdict())},
                  RetryAfter);
    return;
  }
  const auto Complete = Outcome.getRequestId() == Request.Id.Text.c_str() &&
                        Outcome.getBytes() == Attempt.Offset &&
                        !Attempt.DataMismatch;
  if (!Complete) {
    handleFailure(Attempt, failure::of(errc::crossed_answer), duration::zero());
    return;
  }
  recordFirstToken(Attempt);
  Pool.Outlier.ended(Attempt.Observed);
  const auto Won = Race.firstToken(Attempt.Number);
  closeAttempt(Attempt);
  if (!Won)
    return;
  cancelLosers();
  dispatch_result Result;
  Result.HttpStatus = Outcome.getHttpStatus();
  Result.ContentType = toString(Outcome.getContentType());
  Result.Body = std::move(Attempt.Body);
  if (Outcome.getBody().size() > 0)
    Result.Body = toString(Outcome.getBody());
  Result.PromptTokens = Outcome.getPromptTokens();
  Result.CompletionTokens = Outcome.getCompletionTokens();
  if (const auto *Row = Context.Pools.backends().row(Attempt.Backend))
    Result.Backend = Row->Facts.Id.Text;
  finish(std::move(Result));
}

auto dispatch::handleFailure(attempt_state &Attempt, failure Failure,
                             duration RetryAfter) -> void {
  if (!Attempt.Open)
    return;
  if (Attempt.DataMismatch)
    Failure = failure::of(errc::crossed_answer);
  closeAttempt(Attempt);
  if (Failure.Verdict == verdict::not_run) {
    Pool.Outlier.ended(Attempt.Observed);
  } else {
    Pool.Outlier.failed(Attempt.Observed);
    MayHaveRun = true;
  }
  logInfo(log_category::entry, "an attempt failed",
          {{"request", Request.Id.Text},
           {"attempt", Attempt.Number},
           {"error", errcRow(Failure.Code).Name},
           {"verdict", VerdictNames.name(Failure.Verdict)},
           {"detail", Failure.Detail}});
  if (!Race.failed(Attempt.Number))
    return;
  if (mayRetry(Failure) && startAttempt(false))
    return;
  // The verdict of the request covers all of its attempts.
  if (MayHaveRun && Failure.Verdict == verdict::not_run)
    Failure.Verdict = verdict::may_have_run;
  dispatch_result Result;
  Result.Error = std::move(Failure);
  Result.RetryAfter = RetryAfter;
  finish(std::move(Result));
}

// Errors that every other agent would return too are not retried.
auto dispatch::mayRetry(const failure &Failure) -> bool {
  const auto Permanent = Failure.Code == errc::quarantined ||
                         Failure.Code == errc::not_allowed ||
                         Failure.Code == errc::version_withdrawn;
  if (Permanent || Delivered || Attempts.size() >= MaxAttempts)
    return false;
  const auto Safe = Request.Idempotent || !MayHaveRun;
  return Safe && Pool.Retries.tryAcquire();
}

auto dispatch::startHedgeTimer() -> void {
  if (const auto Delay = Pool.Hedging.delay(Request.Idempotent))
    HedgeTimer->start(*Delay);
}

auto dispatch::hedgeIfLate() -> void {
  if (Ended || FirstToken != duration::zero() || Request.Isolated)
    return;
  if (Pool.Hedging.tryHedge(Request.Idempotent))
    static_cast<void>(startAttempt(true));
}

// Cancelling drops the promise of the attempt's call. This is deferred, because
// a promise must not be dropped from within its own continuation.
auto dispatch::cancelLosers() -> void {
  for (const auto &Loser : Race.takeLosers()) {
    auto &Attempt = *Attempts[Loser.Number];
    Pool.Outlier.ended(Attempt.Observed);
    closeAttempt(Attempt);
    Context.Loop.defer([Alive = Alive, &Attempt] {
      if (*Alive)
        Attempt.Call = nullptr;
    });
  }
}

auto dispatch::finish(dispatch_result Result) -> void {
  if (Ended)
    return;
  Ended = true;
  HedgeTimer->stop();
  Result.FirstToken = FirstToken;
  Result.Attempts = static_cast<std::uint32_t>(Attempts.size());
  Result.Hedges = Hedges;
  auto Shared = std::make_shared<dispatch_result>(std::move(Result));
  Context.Loop.defer([this, Alive = Alive, Shared] {
    if (*Alive)
      Callbacks.OnEnd(std::move(*Shared));
  });
}

} // namespace acacianotch
