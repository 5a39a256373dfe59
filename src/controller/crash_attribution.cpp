/// \file Finds the parts of prompts that crash backend servers.
#include "controller/crash_attribution.h"

#include <algorithm>
#include <tuple>

namespace acacianotch {

namespace {

/// Gateways notice the same crash within this time.
constexpr duration CrashSpread = std::chrono::seconds(1);
/// Crashes within this time count once: a failure of many servers at the same
/// moment, or a gateway that loses its connections, is no evidence on prompts.
constexpr duration MomentSpan = std::chrono::milliseconds(250);
/// A request that waits at a server when it crashes is weaker evidence than one
/// whose answer has just begun.
constexpr std::size_t BegunMomentsToBlock = 3;
constexpr std::size_t MomentsToBlock = 5;
/// Crashes are forgotten after this time.
constexpr duration CrashMemory = std::chrono::minutes(10);
constexpr std::size_t MaxCrashes = 64;
constexpr std::size_t MaxPromptsPerCrash = 32;
/// Gateways report every 100 ms each; in a storm of crashes all reports within
/// this time are evaluated together.
constexpr duration EvaluationInterval = std::chrono::milliseconds(50);
/// Answers are reported for parts with this many crashes, and for this many
/// parts, since all gateways get the list with each exchange.
constexpr std::size_t CrashesToWatch = 2;
constexpr std::size_t MaxWatched = 256;
constexpr std::size_t MaxBlocked = 1024;
/// A blocked part is tried again after this time, and then after four times as
/// long each: each try may crash a server.
constexpr duration FirstProbe = std::chrono::minutes(1);
constexpr int ProbeBackoff = 4;

/// Counts crashes that are apart in time.
class moment_count {
public:
  auto add(time_point At) -> void {
    if (Count != 0 && At - Last < MomentSpan)
      return;
    ++Count;
    Last = At;
  }

  [[nodiscard]] auto count() const -> std::size_t { return Count; }

private:
  std::size_t Count = 0;
  time_point Last{};
};

/// Evidence against one part of prompts.
struct suspect {
  std::size_t Crashes = 0;
  moment_count Moments;
  moment_count Begun;       ///< Moments with an answer that had begun.
  std::size_t Position = 0; ///< Largest one in a prompt.
  bool Shared = false;
  std::set<part_id> LastParts; ///< Of the prompts with it.

  /// A prompt that crashes servers whenever it is repeated brings its other
  /// parts along, so that one prompt is no evidence against a shared part.
  [[nodiscard]] auto sufficient() const -> bool {
    const auto Enough = Begun.count() >= BegunMomentsToBlock ||
                        Moments.count() >= MomentsToBlock;
    return Enough && (!Shared || LastParts.size() >= 2);
  }

  /// Shared parts go first because they explain crashes of several prompts; of
  /// equal ones the part that fewer prompts begin with.
  [[nodiscard]] auto strongerThan(const suspect &Other) const -> bool {
    return std::tuple(Shared, Begun.count(), Crashes, Position) >
           std::tuple(Other.Shared, Other.Begun.count(), Other.Crashes,
                      Other.Position);
  }
};

} // namespace

auto crash_attribution::exchange(const crash_report &Report,
                                 std::uint64_t Epoch, time_point Now)
    -> crash_verdicts {
  forgetOld(Now);
  for (const auto &Attempt : Report.Broken)
    addBroken(Attempt, Now);
  for (const auto Part : Report.Answered)
    addAnswered(Part, Now);
  // What an earlier leader blocked is kept; what this one released is not.
  if (Report.Epoch != Epoch)
    for (const auto Part : Report.Blocked)
      addBlock(Part, true, Now);
  Changed = Changed || !Report.Broken.empty() || !Report.Answered.empty();
  if (Changed && Now - EvaluatedAt >= EvaluationInterval)
    evaluate(Now);
  crash_verdicts Verdicts;
  Verdicts.Epoch = Epoch;
  Verdicts.Watched = Watched;
  for (auto &[Part, Block] : Blocked) {
    Verdicts.Blocked.push_back(Part);
    if (Now < Block.ProbeAt)
      continue;
    Verdicts.Probes.push_back(Part);
    Block.ProbeInterval *= ProbeBackoff;
    Block.ProbeAt = Now + Block.ProbeInterval;
  }
  return Verdicts;
}

auto crash_attribution::addBroken(const broken_attempt &Attempt, time_point Now)
    -> void {
  if (Attempt.Parts.empty())
    return;
  const auto Known =
      std::find_if(Crashes.rbegin(), Crashes.rend(), [&](const crash &Crash) {
        return Crash.Server == Attempt.Server && Now - Crash.At < CrashSpread;
      });
  if (Known != Crashes.rend()) {
    if (Known->Prompts.size() < MaxPromptsPerCrash)
      Known->Prompts[Attempt.Parts] |= Attempt.Begun;
    return;
  }
  if (Crashes.size() >= MaxCrashes)
    Crashes.pop_front();
  Crashes.push_back({Attempt.Server, Now, {{Attempt.Parts, Attempt.Begun}}});
  if (OnCrash)
    OnCrash(Attempt.Server, Crashes.size());
}

auto crash_attribution::addBlock(part_id Part, bool Shared, time_point Now)
    -> void {
  if (Blocked.size() < MaxBlocked)
    Blocked.try_emplace(Part, block{Now + FirstProbe, FirstProbe, Shared});
}

auto crash_attribution::addAnswered(part_id Part, time_point Now) -> void {
  LastAnswered[Part] = Now;
  if (Blocked.erase(Part) != 0 && OnReleased)
    OnReleased(Part);
}

auto crash_attribution::forgetOld(time_point Now) -> void {
  const auto IsOld = [&](const crash &Crash) {
    return Now - Crash.At > CrashMemory;
  };
  for (; !Crashes.empty() && IsOld(Crashes.front()); Changed = true)
    Crashes.pop_front();
}

auto crash_attribution::explained(const crash &Crash) const -> bool {
  return std::any_of(
      Crash.Prompts.begin(), Crash.Prompts.end(), [&](const auto &Row) {
        const auto &Prompt = Row.first;
        return std::any_of(Prompt.begin(), Prompt.end(), [&](part_id Part) {
          const auto Found = Blocked.find(Part);
          return Found != Blocked.end() && Found->second.Shared;
        });
      });
}

auto crash_attribution::unanswered(const crash &Crash, part_id Part) const
    -> bool {
  const auto Answered = LastAnswered.find(Part);
  return Answered == LastAnswered.end() || Answered->second < Crash.At;
}

auto crash_attribution::evaluate(time_point Now) -> void {
  Changed = false;
  EvaluatedAt = Now;
  while (blockNext(Now))
    continue;
  std::map<part_id, std::size_t> Counts;
  for (const auto &Crash : Crashes) {
    std::set<part_id> Parts;
    for (const auto &[Prompt, Begun] : Crash.Prompts)
      Parts.insert(Prompt.begin(), Prompt.end());
    for (const auto Part : Parts)
      Counts[Part] += unanswered(Crash, Part) ? 1 : 0;
  }
  std::erase_if(LastAnswered,
                [&](const auto &Row) { return !Counts.contains(Row.first); });
  Watched.clear();
  for (const auto &[Part, Count] : Counts)
    if (Count >= CrashesToWatch && Watched.size() < MaxWatched)
      Watched.push_back(Part);
}

/// Blocks the part with the strongest evidence. \return whether there is one.
auto crash_attribution::blockNext(time_point Now) -> bool {
  std::map<part_id, suspect> Suspects;
  for (const auto &Crash : Crashes) {
    if (explained(Crash))
      continue;
    std::set<part_id> Counted;
    for (const auto &[Prompt, Begun] : Crash.Prompts)
      for (std::size_t Position = 0; Position < Prompt.size(); ++Position) {
        const auto Part = Prompt[Position];
        if (!unanswered(Crash, Part) || Blocked.contains(Part))
          continue;
        auto &Suspect = Suspects[Part];
        Suspect.Position = std::max(Suspect.Position, Position);
        Suspect.Shared = Suspect.Shared || Position + 1 < Prompt.size();
        Suspect.LastParts.insert(Prompt.back());
        Suspect.Moments.add(Crash.At);
        if (Begun)
          Suspect.Begun.add(Crash.At);
        if (Counted.insert(Part).second)
          ++Suspect.Crashes;
      }
  }
  std::erase_if(Suspects,
                [](const auto &Row) { return !Row.second.sufficient(); });
  const auto Strongest =
      std::max_element(Suspects.begin(), Suspects.end(),
                       [](const auto &Left, const auto &Right) {
                         return Right.second.strongerThan(Left.second);
                       });
  if (Strongest == Suspects.end())
    return false;
  const auto &[Part, Suspect] = *Strongest;
  addBlock(Part, Suspect.Shared, Now);
  if (OnBlocked)
    OnBlocked({Part, Suspect.Crashes, Suspect.Moments.count(),
               Suspect.Begun.count(), Suspect.LastParts.size()});
  if (Suspect.Shared)
    releaseExplained();
  return Blocked.contains(Part);
}

/// Releases last parts of prompts whose crashes a shared part explains.
auto crash_attribution::releaseExplained() -> void {
  std::set<part_id> Guilty;
  for (const auto &Crash : Crashes)
    if (!explained(Crash))
      for (const auto &[Prompt, Begun] : Crash.Prompts)
        Guilty.insert(Prompt.back());
  for (auto Row = Blocked.begin(); Row != Blocked.end();) {
    const auto Part = Row->first;
    const auto Keep = Row->second.Shared || Guilty.contains(Part);
    Row = Keep ? std::next(Row) : Blocked.erase(Row);
    if (!Keep && OnReleased)
      OnReleased(Part);
  }
}

} // namespace acacianotch
