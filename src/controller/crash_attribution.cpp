/// \file Finds the requests, and parts of prompts, that crash backend servers.
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
/// A plain request has no answer that begins before the work on it. Requests
/// that only waited beside it are answered between the crashes.
constexpr std::size_t PlainMomentsToBlock = 3;
/// Of a whole request with a prompt. A wrong verdict holds back its repeats
/// only, and its attempts at several servers are one moment.
constexpr std::size_t RequestMomentsToBlock = 4;
/// Crashes are forgotten after this time.
constexpr duration CrashMemory = std::chrono::minutes(10);
constexpr std::size_t MaxCrashes = 64;
constexpr std::size_t MaxRequestsPerCrash = 32;
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

/// Evidence against one part of prompts, or one whole request.
struct suspect {
  std::size_t Crashes = 0;
  moment_count Moments;
  moment_count Begun;       ///< Moments with an answer that had begun.
  std::size_t Position = 0; ///< Largest one in a prompt.
  bool Shared = false;
  bool Plain = false; ///< It is a whole request without a prompt.
  std::size_t MomentsNeeded = MomentsToBlock; ///< Without an answer begun.
  std::set<part_id> LastParts;                ///< Of the prompts with it.
  std::set<part_id> Requests; ///< With it, told apart by their fingerprints.

  /// A request that crashes servers whenever it is repeated brings the parts of
  /// its prompt along, so that one prompt is no evidence against a shared part,
  /// and one request none against the last part.
  [[nodiscard]] auto sufficient() const -> bool {
    const auto Enough = Begun.count() >= BegunMomentsToBlock ||
                        Moments.count() >= MomentsNeeded;
    const auto OneRequest = Requests.size() == 1 && !Requests.contains(0);
    return Enough && !OneRequest && (!Shared || LastParts.size() >= 2);
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
  if (Attempt.Parts.empty() && Attempt.Request == 0)
    return;
  const broken_request Request{Attempt.Parts, Attempt.Request};
  const auto At = std::min(Attempt.At, Now);
  const auto Known =
      std::find_if(Crashes.rbegin(), Crashes.rend(), [&](const crash &Crash) {
        const auto Apart = At < Crash.At ? Crash.At - At : At - Crash.At;
        return Crash.Server == Attempt.Server && Apart < CrashSpread;
      });
  if (Known != Crashes.rend()) {
    if (Known->Requests.size() < MaxRequestsPerCrash)
      Known->Requests[Request] |= Attempt.Begun;
    return;
  }
  if (Crashes.size() >= MaxCrashes)
    Crashes.pop_front();
  // A gateway reports late what it saw while there was no leader.
  const auto Place =
      std::find_if(Crashes.begin(), Crashes.end(),
                   [&](const crash &Crash) { return Crash.At > At; });
  Crashes.insert(Place, {Attempt.Server, At, {{Request, Attempt.Begun}}});
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

// The last part of a prompt, or its request, may only be a victim of a part
// that it shares with others. A plain request has no parts.
auto crash_attribution::explanations(const crash &Crash) const
    -> std::set<part_id> {
  std::set<part_id> Found;
  for (const auto &[Request, Begun] : Crash.Requests) {
    for (const auto Part : Request.Parts)
      if (const auto Block = Blocked.find(Part);
          Block != Blocked.end() && Block->second.Shared)
        Found.insert(Part);
    if (Request.Parts.empty() && Blocked.contains(Request.Request))
      Found.insert(Request.Request);
  }
  return Found;
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
    for (const auto &[Request, Begun] : Crash.Requests) {
      Parts.insert(Request.Parts.begin(), Request.Parts.end());
      if (Request.Request != 0)
        Parts.insert(Request.Request);
    }
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

/// Blocks the part or request with the strongest evidence. \return whether
/// there is one.
auto crash_attribution::blockNext(time_point Now) -> bool {
  std::map<part_id, suspect> Suspects;
  for (const auto &Crash : Crashes) {
    if (!explanations(Crash).empty())
      continue;
    std::set<part_id> Counted;
    const auto Count = [&](part_id Part, bool Begun) -> suspect * {
      if (!unanswered(Crash, Part) || Blocked.contains(Part))
        return nullptr;
      auto &Suspect = Suspects[Part];
      Suspect.Moments.add(Crash.At);
      if (Begun)
        Suspect.Begun.add(Crash.At);
      if (Counted.insert(Part).second)
        ++Suspect.Crashes;
      return &Suspect;
    };
    for (const auto &[Request, Begun] : Crash.Requests) {
      const auto &Parts = Request.Parts;
      for (std::size_t Position = 0; Position < Parts.size(); ++Position) {
        auto *Suspect = Count(Parts[Position], Begun);
        if (Suspect == nullptr)
          continue;
        Suspect->Position = std::max(Suspect->Position, Position);
        Suspect->Shared = Suspect->Shared || Position + 1 < Parts.size();
        Suspect->LastParts.insert(Parts.back());
        Suspect->Requests.insert(Request.Request);
      }
      if (Request.Request == 0)
        continue;
      if (auto *Suspect = Count(Request.Request, Begun)) {
        Suspect->Plain = Parts.empty();
        Suspect->MomentsNeeded =
            Parts.empty() ? PlainMomentsToBlock : RequestMomentsToBlock;
      }
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
  if (Suspect.Shared || Suspect.Plain)
    releaseExplained(Part);
  return Blocked.contains(Part);
}

/// Releases what is blocked for crashes that others explain, too; of these,
/// \p By is known the best.
auto crash_attribution::releaseExplained(part_id By) -> void {
  std::set<part_id> Guilty{By};
  for (const auto &Crash : Crashes) {
    const auto Explanations = explanations(Crash);
    const auto Add = [&](part_id Part) {
      const auto Alone = Explanations.empty() || (Explanations.size() == 1 &&
                                                  Explanations.contains(Part));
      if (Alone)
        Guilty.insert(Part);
    };
    for (const auto &[Request, Begun] : Crash.Requests) {
      if (!Request.Parts.empty())
        Add(Request.Parts.back());
      Add(Request.Request);
    }
  }
  for (auto Row = Blocked.begin(); Row != Blocked.end();) {
    const auto Part = Row->first;
    const auto Keep = Row->second.Shared || Guilty.contains(Part);
    Row = Keep ? std::next(Row) : Blocked.erase(Row);
    if (!Keep && OnReleased)
      OnReleased(Part);
  }
}

} // namespace acacianotch
