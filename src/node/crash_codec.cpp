/// \file Crash reports and verdicts in messages between gateways and control.
#include "node/crash_codec.h"

#include "net/kj_func.h"

#include <algorithm>
#include <limits>

namespace acacianotch {

namespace {

auto writeParts(capnp::List<std::uint64_t>::Builder Out,
                const std::vector<part_id> &Parts) -> void {
  for (unsigned Index = 0; Index < Out.size(); ++Index)
    Out.set(Index, Parts[Index]);
}

auto readParts(capnp::List<std::uint64_t>::Reader In) -> std::vector<part_id> {
  std::vector<part_id> Parts;
  Parts.reserve(In.size());
  for (const auto Part : In)
    Parts.push_back(Part);
  return Parts;
}

auto ageMs(time_point At, time_point Now) -> std::uint32_t {
  const auto Age = (Now - At) / std::chrono::milliseconds(1);
  constexpr std::int64_t Longest = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(Age, 0, Longest));
}

auto count(const auto &List) -> unsigned {
  return static_cast<unsigned>(List.size());
}

} // namespace

auto writeCrashReport(wire::CrashReport::Builder Out,
                      const crash_report &Report, time_point Now) -> void {
  auto Broken = Out.initBroken(count(Report.Broken));
  for (unsigned Index = 0; Index < Broken.size(); ++Index) {
    const auto &Attempt = Report.Broken[Index];
    Broken[Index].setServer(Attempt.Server.c_str());
    Broken[Index].setBegun(Attempt.Begun);
    Broken[Index].setRequest(Attempt.Request);
    Broken[Index].setAgeMs(ageMs(Attempt.At, Now));
    writeParts(Broken[Index].initParts(count(Attempt.Parts)), Attempt.Parts);
  }
  writeParts(Out.initAnswered(count(Report.Answered)), Report.Answered);
  writeParts(Out.initBlocked(count(Report.Blocked)), Report.Blocked);
  Out.setEpoch(Report.Epoch);
}

auto readCrashReport(wire::CrashReport::Reader In, time_point Now)
    -> crash_report {
  crash_report Report;
  for (const auto Attempt : In.getBroken())
    Report.Broken.push_back(
        {toString(Attempt.getServer()), readParts(Attempt.getParts()),
         Attempt.getBegun(), Attempt.getRequest(),
         Now - std::chrono::milliseconds(Attempt.getAgeMs())});
  Report.Answered = readParts(In.getAnswered());
  Report.Blocked = readParts(In.getBlocked());
  Report.Epoch = In.getEpoch();
  return Report;
}

auto writeCrashVerdicts(wire::CrashVerdicts::Builder Out,
                        const crash_verdicts &Verdicts) -> void {
  writeParts(Out.initWatched(count(Verdicts.Watched)), Verdicts.Watched);
  writeParts(Out.initBlocked(count(Verdicts.Blocked)), Verdicts.Blocked);
  writeParts(Out.initProbes(count(Verdicts.Probes)), Verdicts.Probes);
  Out.setEpoch(Verdicts.Epoch);
}

auto readCrashVerdicts(wire::CrashVerdicts::Reader In) -> crash_verdicts {
  return {readParts(In.getWatched()), readParts(In.getBlocked()),
          readParts(In.getProbes()), In.getEpoch()};
}

} // namespace acacianotch
