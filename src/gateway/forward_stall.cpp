/// \file Detection of stalled attempts of a forwarded request.
#include "gateway/forward_task.h"

#include "core/log_func.h"

#include <algorithm>

namespace acacianotch {

namespace {

/// Interval at which a stalled stream is checked.
constexpr duration StallCheckInterval = std::chrono::milliseconds(250);
/// Shorter stalls are normal on a loaded backend server.
constexpr duration MinStallTimeout = std::chrono::milliseconds(100);

} // namespace

// A backend server that is stalled or has lost the answer sends nothing more,
// not even a reset. Repeatable work then continues at another server.
auto forward_task::startStallTimer() -> void {
  Attempt->ReportRequests = 0;
  Attempt->ReportedState = stalled_state::unknown;
  if (!Route->repeatable() || AttemptsSent + 1 >= Route->MaxAttempts)
    return StallTimer->stop();
  const auto IsStream = Route->Kind == route_kind::streaming;
  const auto Limit = IsStream ? StallCheckInterval : Route->TargetLatency;
  if (Limit > duration::zero())
    StallTimer->start(std::max(Limit, MinStallTimeout));
}

auto forward_task::handleStallTimer() -> void {
  if (Done || Attempt == nullptr)
    return;
  if (Route->Kind == route_kind::streaming)
    handleStalledStream(std::nullopt);
  else if (mayMove())
    abandonStalledAttempt();
  else
    StallTimer->start(StallCheckInterval);
}

// Tokens may be delayed for long by the prompts of other requests, so a stall
// alone does not show a failure. The report of the server states whether it
// still has the request.
auto forward_task::handleStalledStream(std::optional<stalled_state> Reported)
    -> void {
  if (Reported)
    Attempt->ReportedState = *Reported;
  const auto State = Attempt->ReportedState;
  const auto Objective =
      Attempt->StreamsBody ? Route->TargetGap : Route->TargetLatency;
  const auto StalledFor = steady_clock::now() - Attempt->LastDataAt;
  switch (decideStallAction({}, StalledFor, Objective, Attempt->ReportRequests,
                            State)) {
  case stall_action::abandon:
    // A server that does not have the request any more is not worth waiting
    // for.
    if (State == stalled_state::lost || mayMove())
      return abandonStalledAttempt();
    break;
  case stall_action::query_server:
    return requestReport();
  case stall_action::wait:
  case stall_action::invalid:
    break;
  }
  StallTimer->start(StallCheckInterval);
}

// A stream that is cut for want of another server would be whole if its present
// one went on.
auto forward_task::mayMove() -> bool { return chooseBackend().ok(); }

auto forward_task::requestReport() -> void {
  const auto *Backend = Context.Directory.find(Attempt->Backend);
  if (Backend == nullptr)
    return abandonStalledAttempt();
  // A server that has asked for a pause gets no further requests of any kind.
  if (Backend->IntakeClosed && !Backend->Record.Leaving)
    return StallTimer->start(StallCheckInterval);
  ++Attempt->ReportRequests;
  Context.ReportClient.requestReport(
      Backend->Record.Address,
      [Weak = weak_from_this(),
       AttemptNumber = AttemptsStarted](const auto &Report) {
        const auto Self = Weak.lock();
        const auto Current = Self != nullptr && !Self->Done &&
                             Self->Attempt != nullptr &&
                             Self->AttemptsStarted == AttemptNumber;
        if (Current)
          Self->handleReport(Report);
      });
}

auto forward_task::handleReport(const result<backend_report> &Report) -> void {
  if (Report && Report->Leaving)
    Context.Directory.recordLeaving(Attempt->Backend);
  const auto StalledFor = steady_clock::now() - Attempt->LastDataAt;
  // The stream may have continued while the report was requested.
  if (StalledFor < StallCheckInterval)
    return startStallTimer();
  auto State = stalled_state::unknown;
  if (Report)
    State = stalledState(*Report, Request.Id,
                         Events.count() - Attempt->EventsBefore);
  else if (Report.error().Code == errc::backend_unreachable)
    State = stalled_state::unresponsive;
  logInfo(log_category::entry,
          "requested the report of a backend server with a stalled stream",
          {{"request", Request.Id},
           {"backend", Attempt->BackendId},
           {"silent_ms", StalledFor / std::chrono::milliseconds(1)},
           {"state", StalledStateNames.name(State)},
           {"running", Report ? Report->Running : 0},
           {"waiting", Report ? Report->Waiting : 0}});
  handleStalledStream(State);
}

auto forward_task::abandonStalledAttempt() -> void {
  if (!Context.ExtraAttemptBudget.tryAcquire())
    return StallTimer->start(StallCheckInterval);
  ++Context.Counters.Retries;
  Context.Directory.recordFailure(Attempt->Backend);
  abandonAttempt({errc::deadline_exceeded,
                  "the backend server was silent for too long",
                  verdict::may_have_run});
  ++AttemptsSent;
  MayHaveRun = true;
  startNextAttempt();
}

} // namespace acacianotch
