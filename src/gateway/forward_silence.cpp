/// \file Attempts of a forwarded request that send nothing.
#include "gateway/forward_task.h"

#include "core/log_func.h"

#include <algorithm>

namespace acacianotch {

namespace {

/// Interval at which a silent stream is looked at.
constexpr duration CheckTime = std::chrono::milliseconds(250);
/// Less silence than this is usual on a loaded backend server.
constexpr duration LeastSilence = std::chrono::milliseconds(100);

} // namespace

// A backend server that is dark or that lost the answer sends nothing more, and
// no reset tells so. Work that may be repeated goes on elsewhere.
auto forward_task::watchSilence() -> void {
  Attempt->Asked = 0;
  Attempt->State = silent_state::unknown;
  if (!Route->repeatable() || Sent + 1 >= Route->MaxAttempts)
    return Silence->stop();
  const auto IsStream = Route->Kind == route_kind::streaming;
  const auto Limit = IsStream ? CheckTime : Route->TargetLatency;
  if (Limit > duration::zero())
    Silence->start(std::max(Limit, LeastSilence));
}

auto forward_task::handleSilence() -> void {
  if (Done || Attempt == nullptr)
    return;
  if (Route->Kind == route_kind::streaming)
    handleSilentStream(std::nullopt);
  else
    leaveSilent();
}

// Tokens may wait for long behind the prompts of others, so silence alone tells
// little; the server knows whether it has the request.
auto forward_task::handleSilentStream(std::optional<silent_state> Told)
    -> void {
  if (Told)
    Attempt->State = *Told;
  const auto State = Attempt->State;
  const auto Usual = Attempt->Streams ? Route->TargetGap : Route->TargetLatency;
  const auto Waited = steady_clock::now() - Attempt->HeardAt;
  switch (judgeSilence({}, Waited, Usual, Attempt->Asked, State)) {
  case silence_step::leave:
    return leaveSilent();
  case silence_step::ask:
    return askBackend();
  case silence_step::wait:
  case silence_step::invalid:
    break;
  }
  Silence->start(CheckTime);
}

auto forward_task::askBackend() -> void {
  const auto *Backend = Context.Directory.find(Attempt->Backend);
  if (Backend == nullptr)
    return leaveSilent();
  ++Attempt->Asked;
  Context.Inquirer.ask(
      Backend->Record.Address,
      [Weak = weak_from_this(), Asked = Tries](const auto &Report) {
        const auto Self = Weak.lock();
        const auto Current = Self != nullptr && !Self->Done &&
                             Self->Attempt != nullptr && Self->Tries == Asked;
        if (Current)
          Self->handleReport(Report);
      });
}

auto forward_task::handleReport(const result<backend_report> &Report) -> void {
  const auto Waited = steady_clock::now() - Attempt->HeardAt;
  // The stream may have gone on while the server was asked.
  if (Waited < CheckTime)
    return watchSilence();
  auto State = silent_state::unknown;
  if (Report)
    State = silentState(*Report, Request.Id,
                        Events.count() - Attempt->EventsBefore);
  else if (Report.error().Code == errc::backend_unreachable)
    State = silent_state::dark;
  logInfo(log_category::entry, "asked a silent backend server",
          {{"request", Request.Id},
           {"backend", Attempt->BackendId},
           {"silent_ms", Waited / std::chrono::milliseconds(1)},
           {"state", SilentStateNames.name(State)},
           {"running", Report ? Report->Running : 0},
           {"waiting", Report ? Report->Waiting : 0}});
  handleSilentStream(State);
}

auto forward_task::leaveSilent() -> void {
  if (!Context.ExtraAttempts.tryTake())
    return;
  ++Context.Counters.Retries;
  Context.Directory.noteFailure(Attempt->Backend);
  giveUpAttempt({errc::deadline_exceeded,
                 "the backend server was silent for too long",
                 verdict::may_have_run});
  ++Sent;
  MayHaveRun = true;
  tryNext();
}

} // namespace acacianotch
