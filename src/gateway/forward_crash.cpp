/// \file Evidence of a forwarded request on prompts that crash servers.
#include "gateway/forward_task.h"

#include "core/log_func.h"

namespace acacianotch {

namespace {

/// A request that crashes its server does so within this time after the answer
/// begins.
constexpr duration CrashOnset = std::chrono::milliseconds(500);

} // namespace

auto forward_task::recordPossibleCrash(const failure &Failure) -> void {
  if (Failure.Code != errc::incomplete_answer ||
      Failure.Verdict == verdict::not_run)
    return;
  const auto Begun = Attempt->AnsweredAt != time_point{};
  if (!Begun || steady_clock::now() - Attempt->AnsweredAt < CrashOnset)
    Context.Crashes.recordBroken(Attempt->BackendId, Request.Prompt, Begun);
}

auto forward_task::recordAnswered() -> void {
  if (!std::exchange(Attempt->AnswerRecorded, true))
    Context.Crashes.recordAnswered(Request.Prompt);
}

auto forward_task::recordAnswerAfterOnset() -> void {
  if (Attempt->LastDataAt - Attempt->AnsweredAt >= CrashOnset)
    recordAnswered();
}

// Without a time to come back: the request would be rejected again.
auto forward_task::refuseBlocked(part_id Part) -> void {
  logInfo(log_category::entry, "a part of the prompt is blocked",
          {{"request", Request.Id},
           {"part", Part},
           {"may_have_run", MayHaveRun},
           {"attempts", AttemptsSent}});
  refuseNotRun("a part of the prompt crashes backend servers",
               duration::zero());
}

} // namespace acacianotch
