/// \file What a gateway knows about prompts that crash backend servers.
#include "gateway/crash_watch.h"

#include "core/log_func.h"

#include <algorithm>
#include <utility>

namespace acacianotch {

namespace {

/// Attempts and parts kept while no leader takes them.
constexpr std::size_t MaxPending = 256;
/// Longest prompt that is reported, in parts.
constexpr std::size_t MaxParts = 64;

} // namespace

auto crash_watch::recordBroken(const std::string &Server,
                               const std::vector<prompt_part> &Prompt,
                               bool Begun) -> void {
  if (Prompt.empty() || Pending.Broken.size() >= MaxPending)
    return;
  broken_attempt Attempt{Server, {}, Begun};
  const auto First = Prompt.size() - std::min(Prompt.size(), MaxParts);
  for (auto Index = First; Index < Prompt.size(); ++Index)
    Attempt.Parts.push_back(Prompt[Index].Id);
  Pending.Broken.push_back(std::move(Attempt));
}

auto crash_watch::recordAnswered(const std::vector<prompt_part> &Prompt)
    -> void {
  for (const auto &Part : Prompt) {
    const auto Wanted = Watched.contains(Part.Id) || Blocked.contains(Part.Id);
    const auto Known =
        std::find(Pending.Answered.begin(), Pending.Answered.end(), Part.Id) !=
        Pending.Answered.end();
    if (Wanted && !Known && Pending.Answered.size() < MaxPending)
      Pending.Answered.push_back(Part.Id);
  }
}

auto crash_watch::findBlocked(const std::vector<prompt_part> &Prompt)
    -> std::optional<part_id> {
  if (Blocked.empty())
    return std::nullopt;
  for (const auto &Part : Prompt)
    if (Blocked.contains(Part.Id) && Probes.erase(Part.Id) == 0)
      return Part.Id;
  return std::nullopt;
}

auto crash_watch::report() -> const crash_report & {
  if (std::exchange(AwaitsAnswer, true))
    return Sent;
  Sent = std::exchange(Pending, {});
  Sent.Blocked.assign(Blocked.begin(), Blocked.end());
  Sent.Epoch = Epoch;
  return Sent;
}

auto crash_watch::accept(const crash_verdicts &Verdicts) -> void {
  AwaitsAnswer = false;
  Epoch = Verdicts.Epoch;
  const std::set<part_id> Before = std::exchange(
      Blocked, {Verdicts.Blocked.begin(), Verdicts.Blocked.end()});
  Watched = {Verdicts.Watched.begin(), Verdicts.Watched.end()};
  Probes.insert(Verdicts.Probes.begin(), Verdicts.Probes.end());
  if (Before != Blocked)
    logInfo(
        log_category::placement,
        "the leader changed the blocked parts of prompts",
        {{"before", Before.size()}, {"now", Blocked.size()}, {"epoch", Epoch}});
}

} // namespace acacianotch
