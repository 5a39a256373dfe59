/// \file Evidence of a forwarded request on requests that crash servers.
#include "gateway/forward_task.h"

#include "core/log_func.h"

#include <xxhash.h>

#include <algorithm>

namespace acacianotch {

namespace {

/// A request that crashes its server does so within this time after the answer
/// begins.
constexpr duration CrashOnset = std::chrono::milliseconds(500);

} // namespace

// A request that crashes servers comes again with the same path, caller and
// body, at any gateway. The prompt tells requests apart whose bodies are alike.
auto forward_task::fingerprint() -> part_id {
  if (Fingerprint)
    return *Fingerprint;
  struct state_deleter {
    auto operator()(XXH3_state_t *State) const -> void {
      XXH3_freeState(State);
    }
  };
  const std::unique_ptr<XXH3_state_t, state_deleter> State(XXH3_createState());
  XXH3_64bits_reset(State.get());
  const auto Add = [&](std::string_view Text) {
    const std::uint64_t Size = Text.size();
    XXH3_64bits_update(State.get(), &Size, sizeof(Size));
    XXH3_64bits_update(State.get(), Text.data(), Text.size());
  };
  Add(Account == nullptr ? std::string_view() : Account->Name);
  Add(Request.Host);
  Add(Request.Method);
  Add(Request.Target);
  Add(Request.Body);
  for (const auto &Part : Request.Prompt)
    XXH3_64bits_update(State.get(), &Part.Id, sizeof(Part.Id));
  // 0 stands for an unknown request.
  Fingerprint = std::max<part_id>(XXH3_64bits_digest(State.get()), 1);
  return *Fingerprint;
}

auto forward_task::findBlocked() -> std::optional<part_id> {
  if (!Context.Crashes.blocksAny())
    return std::nullopt;
  return Context.Crashes.findBlocked(Request.Prompt, fingerprint());
}

auto forward_task::recordPossibleCrash(const failure &Failure) -> void {
  if (Failure.Code != errc::incomplete_answer ||
      Failure.Verdict == verdict::not_run)
    return;
  const auto Begun = Attempt->AnsweredAt != time_point{};
  if (!Begun || steady_clock::now() - Attempt->AnsweredAt < CrashOnset)
    Context.Crashes.recordBroken(Attempt->BackendId, Request.Prompt,
                                 fingerprint(), Begun);
}

auto forward_task::recordAnswered() -> void {
  if (std::exchange(Attempt->AnswerRecorded, true))
    return;
  // Saves the fingerprint, which costs time with the size of the request.
  if (Request.Prompt.empty() || Context.Crashes.watchesAny())
    Context.Crashes.recordAnswered(Request.Prompt, fingerprint());
}

auto forward_task::recordAnswerAfterOnset() -> void {
  if (Attempt->LastDataAt - Attempt->AnsweredAt >= CrashOnset)
    recordAnswered();
}

// Without a time to come back: the request would be rejected again.
auto forward_task::refuseBlocked(part_id Part) -> void {
  logInfo(log_category::entry,
          "the request, or a part of its prompt, is blocked",
          {{"request", Request.Id},
           {"part", Part},
           {"may_have_run", MayHaveRun},
           {"attempts", AttemptsSent}});
  refuseNotRun("the request crashes backend servers", duration::zero());
}

} // namespace acacianotch
