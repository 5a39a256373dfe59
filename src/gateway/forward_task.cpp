/// \file Forwards one caller's request to backend servers.
#include "gateway/forward_task.h"

#include "core/log_func.h"
#include "platform/request_codec.h"

#include <xxhash.h>

#include <algorithm>

namespace acacianotch {

namespace {

/// Bytes that a slow caller may leave unread before the backend server waits.
constexpr std::size_t UnsentLimit = 128ULL * 1024;
/// Time after which a refused caller may come back: about that in which
/// running requests end on a full backend server.
constexpr duration RetryAfterTime = std::chrono::milliseconds(200);

/// Work units that a stream of the largest model counts for while it goes on:
/// each makes the steps of its server a little longer.
constexpr double RunningWork = 0.1;

constexpr int Unauthorized = 401;
constexpr int NotFound = 404;
constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;
constexpr int ServerError = 500;

} // namespace
forward_task::forward_task(gateway_context &TheContext,
                           std::shared_ptr<const routing_table> TheTable,
                           std::shared_ptr<caller_connection> TheCaller,
                           caller_request TheRequest)
    : Context(TheContext), Table(std::move(TheTable)),
      Caller(std::move(TheCaller)), Request(std::move(TheRequest)),
      Deadline(Context.Loop.oneShot([this] {
        const auto Kept = shared_from_this();
        handleDeadline();
      })),
      Silence(Context.Loop.oneShot([this] {
        const auto Kept = shared_from_this();
        handleSilence();
      })) {}

auto forward_task::start() -> void {
  ++Context.Counters.Requests;
  Caller->watch(
      [Weak = weak_from_this()] {
        if (const auto Self = Weak.lock())
          Self->handleCallerLeft();
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
  // A stream could outlast a process that ends soon; another gateway has time.
  if (Context.Stopping && Route->Kind == route_kind::streaming)
    return refuse(Unavailable, "this gateway stops", ElsewhereTime);
  Context.ExtraAttempts.firstAttempt();
  chooseService();
  chooseArm();
  chooseModel();
  auto Limit = Route->Timeout;
  if (Request.TimeLeft)
    Limit = std::min(Limit, *Request.TimeLeft);
  Deadline->start(Limit);
  tryNext();
}

auto forward_task::admit() -> bool {
  Route = Table->match(Request.Host, Request.path());
  if (Route == nullptr) {
    refuse(NotFound, "no route");
    return false;
  }
  if (!Table->HasAccounts || Route->Anonymous)
    return true;
  Account = Table->accountOf(Request.Key);
  if (Account != nullptr)
    return true;
  refuse(Unauthorized, "unknown key");
  return false;
}

// The choice depends on the request id, so that a caller's next attempt may go
// to another service.
auto forward_task::chooseService() -> void {
  double Sum = 0;
  for (const auto &Target : Route->Services)
    Sum += Target.Weight;
  constexpr double HashRange = 18446744073709551616.0; // 2^64
  const auto Hash = XXH3_64bits(Request.Id.data(), Request.Id.size());
  auto Point = Sum * (static_cast<double>(Hash) / HashRange);
  for (const auto &Target : Route->Services) {
    if (Target.Weight <= 0)
      continue;
    Service = Target.Service;
    Point -= Target.Weight;
    if (Point < 0)
      return;
  }
}

auto forward_task::tryNext() -> void {
  while (!Done) {
    if (!attemptsLeft())
      return refuseNotRun("all attempts were refused");
    const auto Chosen = chooseBackend();
    if (!Chosen)
      return refuseNotRun("no backend server takes it");
    Tried.push_back(*Chosen);
    ++Tries;
    if (send(*Chosen))
      return;
  }
}

auto forward_task::handleHead(const answer_facts &Facts, http_head &&Head)
    -> void {
  Context.Directory.noteProgress(Attempt->Backend);
  Attempt->HeardAt = steady_clock::now();
  Attempt->Facts = Facts;
  if (Attempt->Work > 0)
    setWork(RunningWork * modelWeight(Model));
  Attempt->Head = std::move(Head);
  if (Route->Kind != route_kind::streaming || !Facts.success())
    return;
  learnFromLadder();
  if (const auto Next = largerModel())
    return escalate(*Next);
  beginStream();
}

auto forward_task::beginStream() -> void {
  Attempt->Streams = true;
  if (std::exchange(Streaming, true)) {
    ++Context.Counters.Resumed;
    return;
  }
  Caller->startStream(Attempt->Facts.Status,
                      platform::callerHeaders(Attempt->Head));
}

auto forward_task::handleBody(std::string_view Data) -> void {
  if (!Attempt->Streams) {
    Attempt->Body.append(Data);
    return;
  }
  Context.Directory.noteProgress(Attempt->Backend);
  Attempt->HeardAt = steady_clock::now();
  Events.add(Data);
  passEvents();
  watchSilence();
}

auto forward_task::passEvents() -> void {
  const auto Whole = Events.takeEvents();
  if (Whole.empty())
    return;
  noteEventTimes();
  Caller->write(Whole);
  if (!Paused && Caller->unsent() > UnsentLimit) {
    Paused = true;
    Attempt->Channel->pauseReading();
  }
}

auto forward_task::noteEventTimes() -> void {
  const auto Now = steady_clock::now();
  if (EventAt == time_point{})
    FirstEventTime = Now - Request.ReceivedAt;
  else
    LongestGap = std::max(LongestGap, Now - EventAt);
  EventAt = Now;
}

auto forward_task::handleEnd(const result<void> &Result) -> void {
  if (Done || Attempt == nullptr)
    return;
  if (Result)
    handleAnswer();
  else
    handleFailure(Result.error());
}

// An answer that states that nothing ran leaves the request as it was.
auto forward_task::handleAnswer() -> void {
  if (Attempt->Facts.NotRun) {
    ++Sent;
    if (Attempt->Facts.Gone)
      Context.Directory.noteGone(Attempt->Backend);
    releaseAttempt(true);
    if (Streaming && !attemptsLeft())
      return failUnknown(BadGateway, "a broken stream could not go on");
    if (!Context.ExtraAttempts.tryTake())
      return refuseNotRun("the budget for extra attempts is spent");
    return tryNext();
  }
  ++Sent;
  MayHaveRun = true;
  Context.Directory.noteSuccess(Attempt->Backend);
  recordOutcome(Attempt->Facts.Status >= ServerError);
  if (Attempt->Streams) {
    Caller->write(Events.takeRest());
    logAnswer();
    releaseAttempt(true);
    ++Context.Counters.Answered;
    Caller->endStream();
    return finish();
  }
  const auto Failed = Attempt->Facts.Status >= ServerError;
  if (Failed && (Streaming || mayRepeat())) {
    leaveTrial();
    releaseAttempt(true);
    if (attemptsLeft())
      return tryNext();
    return failUnknown(BadGateway, "a broken stream could not go on");
  }
  deliver();
}

auto forward_task::handleFailure(const failure &Failure) -> void {
  const auto Backend = Attempt->Backend;
  giveUpAttempt(Failure);
  if (Failure.Verdict == verdict::not_run) {
    Context.Directory.suspend(Backend);
    return tryNext();
  }
  Context.Directory.noteFailure(Backend);
  ++Sent;
  MayHaveRun = true;
  if (!mayRepeat())
    return failUnknown(BadGateway, Failure.Detail);
  tryNext();
}

/// \return whether a request that may have run may be sent again, and charges
/// the budget for it.
auto forward_task::mayRepeat() -> bool {
  if (!Route->repeatable() || !attemptsLeft() ||
      !Context.ExtraAttempts.tryTake())
    return false;
  ++Context.Counters.Retries;
  return true;
}

auto forward_task::elapsedMs() const -> std::int64_t {
  return (steady_clock::now() - Request.ReceivedAt) /
         std::chrono::milliseconds(1);
}

auto forward_task::logAnswer() const -> void {
  logInfo(log_category::entry, "request answered",
          {{"request", Request.Id},
           {"route", Route->Name},
           {"status", Attempt->Facts.Status},
           {"backend", Attempt->BackendId},
           {"model", Model},
           {"confidence", Attempt->Facts.Confidence.value_or(0)},
           {"arm", VersionArmNames.name(Attempt->Arm)},
           {"attempts", Sent},
           {"prompt_tokens", Request.PromptTokens},
           {"events", Events.count()},
           {"ms", elapsedMs()},
           {"first_event_ms", FirstEventTime / std::chrono::milliseconds(1)},
           {"longest_gap_ms", LongestGap / std::chrono::milliseconds(1)},
           {"routing", Table->Number}});
}

auto forward_task::deliver() -> void {
  ++Context.Counters.Answered;
  logAnswer();
  auto Kept = std::move(Attempt->Body);
  const auto Status = Attempt->Facts.Status;
  const auto Headers = platform::callerHeaders(Attempt->Head);
  releaseAttempt(true);
  Caller->reply(Status, Headers, Kept);
  finish();
}

auto forward_task::refuse(int Status, std::string_view Reason,
                          duration RetryAfter) -> void {
  ++Context.Counters.Refused;
  logInfo(log_category::entry, "request refused",
          {{"request", Request.Id},
           {"status", Status},
           {"reason", Reason},
           {"service", Service},
           {"attempts", Sent},
           {"routing", Table->Number}});
  Caller->reply(Status, platform::gatewayHeaders(Request.Id, RetryAfter), "");
  finish();
}

auto forward_task::refuseNotRun(std::string_view Reason) -> void {
  if (MayHaveRun)
    return failUnknown(BadGateway, Reason);
  refuse(Unavailable, Reason, RetryAfterTime);
}

auto forward_task::failUnknown(int Status, std::string_view Reason) -> void {
  ++Context.Counters.Failed;
  logWarning(log_category::entry, "request failed; it may have run",
             {{"request", Request.Id},
              {"status", Status},
              {"reason", Reason},
              {"service", Service},
              {"attempts", Sent},
              {"streaming", Streaming}});
  if (Streaming)
    Caller->abort();
  else
    Caller->reply(Status, platform::gatewayHeaders(Request.Id, {}), "");
  finish();
}

auto forward_task::handleDeadline() -> void {
  if (Done)
    return;
  const auto Waiting = Attempt != nullptr;
  recordOutcome(true);
  releaseAttempt(false);
  if (Waiting || MayHaveRun)
    return failUnknown(GatewayTimeout, "the time for the request is over");
  refuse(Unavailable, "the time for the request is over");
}

auto forward_task::handleCallerLeft() -> void {
  if (Done)
    return;
  ++Context.Counters.CallerLeft;
  logInfo(log_category::entry, "caller left",
          {{"request", Request.Id},
           {"attempts", Sent},
           {"ms", elapsedMs()},
           {"streaming", Streaming}});
  finish();
}

auto forward_task::finish() -> void {
  if (std::exchange(Done, true))
    return;
  releaseAttempt(false);
  Deadline->stop();
  Context.Rollouts.ended(Request.Session, Arm);
  if (auto *Times = Route == nullptr ? nullptr : Context.Times.of(Route->Kind))
    Times->Observe(
        std::chrono::duration<double>(steady_clock::now() - Request.ReceivedAt)
            .count());
  Context.Loop.defer(std::move(OnDone));
}

} // namespace acacianotch
