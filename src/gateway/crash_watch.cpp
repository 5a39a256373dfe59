/// \file What a gateway knows about requests that crash backend servers.
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
/// Requests are remembered for once or twice this time, or fewer if as many
/// are answered before.
constexpr duration AnsweredMemory = std::chrono::seconds(15);
constexpr std::size_t MaxAnswered = 4096;

} // namespace

auto answered_requests::forgetOld(time_point Now) -> void {
  if (Newer.size() < MaxAnswered && Now - NewerSince < AnsweredMemory)
    return;
  const auto IsOld = Now - NewerSince >= 2 * AnsweredMemory;
  Older = IsOld ? std::unordered_set<part_id>() : std::move(Newer);
  Newer.clear();
  NewerSince = Now;
}

auto answered_requests::insert(part_id Request, time_point Now) -> void {
  forgetOld(Now);
  Newer.insert(Request);
}

auto answered_requests::contains(part_id Request, time_point Now) -> bool {
  forgetOld(Now);
  return Newer.contains(Request) || Older.contains(Request);
}

// A plain request that was answered lately only ran beside the one that crashed
// the server.
auto crash_watch::recordBroken(const std::string &Server,
                               const std::vector<prompt_part> &Prompt,
                               part_id Request, bool Begun) -> void {
  const auto Now = steady_clock::now();
  if (Pending.Broken.size() >= MaxPending ||
      (Prompt.empty() && PlainAnswered.contains(Request, Now)))
    return;
  broken_attempt Attempt{Server, {}, Begun, Request, Now};
  const auto First = Prompt.size() - std::min(Prompt.size(), MaxParts);
  for (auto Index = First; Index < Prompt.size(); ++Index)
    Attempt.Parts.push_back(Prompt[Index].Id);
  Pending.Broken.push_back(std::move(Attempt));
}

auto crash_watch::recordAnswered(const std::vector<prompt_part> &Prompt,
                                 part_id Request) -> void {
  if (Prompt.empty())
    PlainAnswered.insert(Request, steady_clock::now());
  const auto Add = [this](part_id Part) {
    const auto Wanted = Watched.contains(Part) || Blocked.contains(Part);
    const auto Known =
        std::find(Pending.Answered.begin(), Pending.Answered.end(), Part) !=
        Pending.Answered.end();
    if (Wanted && !Known && Pending.Answered.size() < MaxPending)
      Pending.Answered.push_back(Part);
  };
  for (const auto &Part : Prompt)
    Add(Part.Id);
  Add(Request);
}

auto crash_watch::findBlocked(const std::vector<prompt_part> &Prompt,
                              part_id Request) -> std::optional<part_id> {
  const auto Rejects = [this](part_id Part) {
    return Blocked.contains(Part) && Probes.erase(Part) == 0;
  };
  for (const auto &Part : Prompt)
    if (Rejects(Part.Id))
      return Part.Id;
  if (Rejects(Request))
    return Request;
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
        "the leader changed the blocked requests and parts of prompts",
        {{"before", Before.size()}, {"now", Blocked.size()}, {"epoch", Epoch}});
}

} // namespace acacianotch
