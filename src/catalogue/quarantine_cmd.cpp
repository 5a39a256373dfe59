/// \file Commands that track requests which crash backend servers.
#include "catalogue/command_func.h"
#include "catalogue/update_type.h"

#include <algorithm>

namespace acacianotch {

namespace {

/// Nodes know suspect and quarantined fingerprints only.
auto isShared(suspicion State) -> bool {
  return State == suspicion::suspect || State == suspicion::quarantined;
}

auto setState(command_context &Context, fingerprint Fingerprint,
              crash_record &Record, suspicion State) -> void {
  const auto Before = std::exchange(Record.State, State);
  Record.LastMs = Context.NowMs;
  if (Before != State && (isShared(Before) || isShared(State)))
    Context.Changed.push_back(quarantineKey(Fingerprint));
}

/// \return whether \p Id was not known to the record yet.
auto noteId(crash_record &Record, const std::string &Id) -> bool {
  auto &Ids = Record.CrashIds;
  if (std::find(Ids.begin(), Ids.end(), Id) != Ids.end())
    return false;
  if (Ids.size() == CrashIdsKept)
    Ids.erase(Ids.begin());
  Ids.push_back(Id);
  return true;
}

/// Entry and agent both report a crash, and reports are resent: each crash
/// counts once per fingerprint. A report that the request ran alone is news
/// even if the crash itself is known.
auto noteCrash(crash_record &Record, const std::string &CrashId, bool RanAlone)
    -> bool {
  const auto IsNew = noteId(Record, CrashId);
  if (IsNew)
    ++Record.Crashes;
  const auto IsNewAlone = RanAlone && noteId(Record, CrashId + "#isolated");
  return IsNew || IsNewAlone;
}

auto addCrash(catalogue_data &Data, command_context &Context,
              const report_crash &Body, fingerprint Fingerprint) -> void {
  auto &Record = Data.Crashes[Fingerprint];
  const auto RanAlone = Body.Isolated && Body.Crashed.size() == 1;
  if (!noteCrash(Record, Body.CrashId, RanAlone))
    return;
  Record.LastMs = Context.NowMs;
  if (Record.State == suspicion::quarantined)
    return;
  if (Record.State == suspicion::suspect && RanAlone) {
    Record.Reason = "crashed in isolation: " + Body.CrashId;
    setState(Context, Fingerprint, Record, suspicion::quarantined);
    return;
  }
  if (Record.State == suspicion::cleared)
    Record.State = suspicion::watched;
  if (Record.Crashes < SuspectCrashes)
    return;
  Record.Reason = "in flight during two crashes";
  setState(Context, Fingerprint, Record, suspicion::suspect);
}

auto clear(command_context &Context, fingerprint Fingerprint,
           crash_record &Record, std::string Reason) -> void {
  Record.Crashes = 0;
  Record.Reason = std::move(Reason);
  setState(Context, Fingerprint, Record, suspicion::cleared);
}

auto clearSuspect(catalogue_data &Data, command_context &Context,
                  fingerprint Fingerprint) -> void {
  const auto Place = Data.Crashes.find(Fingerprint);
  const auto IsSuspect =
      Place != Data.Crashes.end() && Place->second.State == suspicion::suspect;
  if (IsSuspect)
    clear(Context, Fingerprint, Place->second, "completed in isolation");
}

} // namespace

auto execute(catalogue_data &Data, command_context &Context,
             const report_crash &Body) -> command_result {
  if (Context.DryRun)
    return {};
  for (const auto Fingerprint : Body.Crashed)
    addCrash(Data, Context, Body, Fingerprint);
  for (const auto Fingerprint : Body.Cleared)
    clearSuspect(Data, Context, Fingerprint);
  return {};
}

auto execute(catalogue_data &Data, command_context &Context,
             const lift_quarantine &Body) -> command_result {
  const auto Place = Data.Crashes.find(Body.Fingerprint);
  if (Place == Data.Crashes.end() || !isShared(Place->second.State))
    return command_result::of(errc::unknown_entry,
                              quarantineKey(Body.Fingerprint));
  if (Context.DryRun)
    return {};
  clear(Context, Body.Fingerprint, Place->second,
        "lifted by " + Context.Command.Issuer + ": " + Body.Reason);
  return command_result::of(errc::ok, "lifted");
}

} // namespace acacianotch
