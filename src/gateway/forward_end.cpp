/// \file The end of a forwarded request: its answer, a refusal or a failure.
#include "gateway/forward_task.h"

#include "core/log_func.h"
#include "platform/request_codec.h"

#include <algorithm>

namespace acacianotch {

namespace {

/// Retry-After when no backend server accepts a request: about the time until a
/// running request ends on a fully loaded server.
constexpr duration OverloadRetryAfter = std::chrono::milliseconds(200);

/// Retry-After when the zones of all backend servers of a service are
/// evacuated. The end of an evacuation is not known beforehand.
constexpr duration EvacuatedRetryAfter = std::chrono::seconds(1);

constexpr int MisdirectedRequest = 421;
constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;

} // namespace

auto forward_task::logAnswer() const -> void {
  logInfo(
      log_category::entry, "request answered",
      {{"request", Request.Id},
       {"route", Route->Name},
       {"status", Attempt->Facts.Status},
       {"backend", Attempt->BackendId},
       {"model", Model},
       {"confidence", Attempt->Facts.Confidence.value_or(0)},
       {"arm", VersionArmNames.name(Attempt->Arm)},
       {"attempts", AttemptsSent},
       {"prompt_tokens", Request.PromptTokens},
       {"events", Events.count()},
       {"ms", elapsedMs()},
       {"first_event_ms", FirstEventDelay / std::chrono::milliseconds(1)},
       {"longest_gap_ms", LongestGap / std::chrono::milliseconds(1)},
       {"routing", Table->Number},
       {"confirmed_ms", Context.View.confirmedMsBefore(Request.ReceivedAt)}});
}

auto forward_task::deliver() -> void {
  ++Context.Counters.Answered;
  logAnswer();
  auto Body = std::move(Attempt->Body);
  const auto Status = Attempt->Facts.Status;
  const auto Headers = platform::callerHeaders(Attempt->Head);
  releaseAttempt(true);
  Caller->reply(Status, Headers, Body);
  finish();
}

auto forward_task::refuse(int Status, std::string_view Reason,
                          duration RetryAfter) -> void {
  ++Context.Counters.Refused;
  logInfo(
      log_category::entry, "request refused",
      {{"request", Request.Id},
       {"status", Status},
       {"reason", Reason},
       {"service", Service},
       {"attempts", AttemptsSent},
       {"routing", Table->Number},
       {"confirmed_ms", Context.View.confirmedMsBefore(Request.ReceivedAt)}});
  Caller->reply(Status, platform::gatewayHeaders(Request.Id, RetryAfter), "");
  finish();
}

/// \return whether the request is judged by the configuration that control
/// confirms. A newer one may have arrived and not be decoded yet.
auto forward_task::judgedByConfirmed() const -> bool {
  const auto *Newest = Context.View.routing();
  return Context.View.fresh(steady_clock::now()) &&
         (Newest == nullptr || Newest->Number <= Table->Number);
}

// Callers do not repeat a request that was refused for good. A newer
// configuration may allow it, and another gateway may have that.
auto forward_task::refuseForGood(int Status, std::string_view Reason) -> void {
  if (judgedByConfirmed())
    return refuse(Status, Reason);
  refuse(Unavailable, "the configuration is not confirmed",
         GatewayRefusalRetryAfter);
}

auto forward_task::refuseNotRun(std::string_view Reason) -> void {
  refuseNotRun(Reason, OverloadRetryAfter);
}

auto forward_task::refuseNotRun(std::string_view Reason, duration RetryAfter)
    -> void {
  if (MayHaveRun)
    return failMayHaveRun(BadGateway, Reason);
  refuse(Unavailable, Reason, RetryAfter);
}

// The servers know best when they take work again.
auto forward_task::refuseUnplaced() -> void {
  if (Context.Directory.evacuatedWholly(Service))
    return refuseNotRun("the zones of all backend servers are evacuated",
                        EvacuatedRetryAfter);
  const auto Pause = Context.Directory.pauseLeft(Service);
  const auto Counts = Context.Directory.intakeCounts(Service);
  logInfo(
      log_category::placement, "no backend server takes a request",
      {{"request", Request.Id},
       {"service", Service},
       {"open", Counts.Open},
       {"leaving", Counts.Leaving},
       {"paused", Counts.Paused},
       {"resuming", Counts.Resuming},
       {"pause_left_ms", Pause ? *Pause / std::chrono::milliseconds(1) : -1},
       {"tried", TriedBackends.size()}});
  refuseNotRun("no backend server takes it",
               Pause ? std::max(*Pause, OverloadRetryAfter)
                     : OverloadRetryAfter);
}

// A caller that has named the model gets what a server would answer. Otherwise
// the routing document is ahead of the servers, and another attempt may
// succeed.
auto forward_task::refuseWithoutModel() -> void {
  constexpr std::string_view Reason = "no backend server runs the model";
  if (Request.AnyModel || MayHaveRun)
    return refuseNotRun(Reason);
  refuse(MisdirectedRequest, Reason);
}

auto forward_task::failMayHaveRun(int Status, std::string_view Reason) -> void {
  ++Context.Counters.Failed;
  logWarning(log_category::entry, "request failed; it may have been executed",
             {{"request", Request.Id},
              {"status", Status},
              {"reason", Reason},
              {"service", Service},
              {"attempts", AttemptsSent},
              {"streaming", StreamStarted}});
  if (StreamStarted)
    Caller->abort();
  else
    Caller->reply(Status, platform::gatewayHeaders(Request.Id, {}), "");
  finish();
}

auto forward_task::handleDeadline() -> void {
  if (Done)
    return;
  recordOutcome(true);
  endWith(GatewayTimeout, "the time for the request is over");
}

auto forward_task::endNow() -> void {
  if (!Done)
    endWith(BadGateway, "the gateway ends");
}

/// Ends the request with \p Status if it may have been executed, else with a
/// refusal.
auto forward_task::endWith(int Status, std::string_view Reason) -> void {
  const auto InFlight = Attempt != nullptr;
  releaseAttempt(false);
  if (InFlight || MayHaveRun)
    return failMayHaveRun(Status, Reason);
  refuse(Unavailable, Reason);
}

auto forward_task::handleCallerDisconnect() -> void {
  if (Done)
    return;
  ++Context.Counters.CallerLeft;
  logInfo(log_category::entry, "caller disconnected",
          {{"request", Request.Id},
           {"attempts", AttemptsSent},
           {"ms", elapsedMs()},
           {"streaming", StreamStarted}});
  finish();
}

auto forward_task::finish() -> void {
  if (std::exchange(Done, true))
    return;
  releaseAttempt(false);
  Deadline->stop();
  Context.Rollouts.recordSessionRequest(Request.Session, Arm, NewVersion);
  if (auto *Histogram =
          Route == nullptr ? nullptr : Context.RequestTimes.of(Route->Kind))
    Histogram->Observe(
        std::chrono::duration<double>(steady_clock::now() - Request.ReceivedAt)
            .count());
  Context.Loop.defer(std::move(OnDone));
}

} // namespace acacianotch
