/// \file Commands that change rollouts and their evidence.
#include "catalogue/command_func.h"
#include "catalogue/state_fields.h"
#include "catalogue/update_type.h"

#include <algorithm>

namespace acacianotch {

namespace {

auto conflict(const rollout &Current, std::string Detail) -> command_result {
  return command_result::of(errc::revision_conflict, std::move(Detail),
                            writeValue(Current));
}

auto modelOf(const std::string &Id) -> std::string {
  return Id.substr(0, Id.rfind('#'));
}

/// \return the model's last rollout if it has this id.
auto findRollout(catalogue_data &Data, const std::string &Id) -> rollout * {
  const auto Place = Data.Rollouts.find(modelOf(Id));
  const auto Found = Place != Data.Rollouts.end() && Place->second.Id == Id;
  return Found ? &Place->second : nullptr;
}

auto isActive(const catalogue_data &Data, const version_ref &Version) -> bool {
  const auto Place = Data.Entries.find({entry_kind::version, Version.text()});
  return Place != Data.Entries.end() &&
         std::get<version_body>(Place->second.Body).State ==
             version_state::active;
}

auto touch(command_context &Context, rollout &Rollout) -> void {
  Rollout.Revision = Context.revisionHere();
  Rollout.Issuer = Context.Command.Issuer;
  Context.Changed.push_back(rolloutKey(Rollout.Model));
}

auto keepPast(catalogue_data &Data, const rollout &Last) -> void {
  auto &Past = Data.PastRollouts;
  if (Past.size() == RolloutsKept)
    Past.erase(Past.begin());
  Past.push_back(Last);
}

auto plan(const command_context &Context, const start_rollout &Body)
    -> rollout {
  rollout Rollout;
  Rollout.Id = Body.Model + "#" + std::to_string(Context.Index);
  Rollout.Model = Body.Model;
  Rollout.From = Body.From;
  Rollout.To = Body.To;
  Rollout.Stages = Body.Stages;
  Rollout.Margin = Body.Margin;
  Rollout.StageMs = Context.NowMs;
  return Rollout;
}

/// A rollout starts from the version that serves now: another predecessor
/// would move the rest of the traffic to it.
auto checkStart(catalogue_data &Data, const command_context &Context,
                const start_rollout &Body) -> command_result {
  if (auto Done = validateRollout(plan(Context, Body)); !Done)
    return command_result::of(Done.error().Code, Done.error().Detail);
  const auto Last = Data.Rollouts.find(Body.Model);
  if (Last != Data.Rollouts.end() && Last->second.open())
    return conflict(Last->second, "another rollout of the model is open");
  if (!isActive(Data, {Body.Model, Body.To}))
    return command_result::of(errc::unknown_model,
                              "the new version is not active");
  const auto Serving = servingVersion(Data, Body.Model);
  if (!Serving.empty() && Serving != Body.From)
    return command_result::of(errc::revision_conflict,
                              "the model is served by version '" + Serving +
                                  "'",
                              {{"serving", Serving}});
  return {};
}

auto checkState(const catalogue_data &Data, const rollout &Rollout,
                const set_rollout_state &Body) -> command_result {
  if (Body.State != rollout_state::running &&
      Body.State != rollout_state::paused &&
      Body.State != rollout_state::aborted)
    return command_result::of(errc::bad_request,
                              "key 'state': running, paused or aborted");
  if (!Rollout.open())
    return conflict(Rollout, "the rollout has ended");
  if (Body.State != rollout_state::running)
    return {};
  if (Body.Expected != Rollout.Revision)
    return conflict(Rollout, "resuming needs the current revision");
  if (!isActive(Data, {Rollout.Model, Rollout.To}))
    return command_result::of(errc::version_withdrawn, Rollout.To);
  return {};
}

auto requestsOf(const catalogue_data &Data, const rollout &Rollout)
    -> std::uint64_t {
  const auto Evidence = Data.Evidence.find(Rollout.Model);
  if (Evidence == Data.Evidence.end())
    return 0;
  const auto Total = Evidence->second.Totals.find(Rollout.To);
  return Total == Evidence->second.Totals.end() ? 0 : Total->second.Requests;
}

auto checkAdvance(const catalogue_data &Data, const command_context &Context,
                  const rollout &Rollout, const advance_rollout &Body)
    -> command_result {
  if (Rollout.State != rollout_state::running)
    return conflict(Rollout, "the rollout is not running");
  if (Rollout.Stage != Body.Stage)
    return conflict(Rollout, "the rollout is in another stage");
  const auto &Stage = Rollout.Stages[Rollout.Stage];
  if (Context.NowMs < Rollout.StageMs + Stage.MinDurationMs)
    return command_result::of(errc::bad_request, "the stage has not lasted "
                                                 "its least time");
  if (requestsOf(Data, Rollout) < Stage.MinRequests)
    return command_result::of(errc::bad_request,
                              "the stage needs more requests as evidence");
  return {};
}

auto addCounters(version_counters &Sum, const version_counters &More) -> void {
  Sum.Version = More.Version;
  Sum.Requests += More.Requests;
  Sum.Errors += More.Errors;
  Sum.Slow += More.Slow;
  Sum.Rated += More.Rated;
  Sum.Passed += More.Passed;
  Sum.FirstTokenUs += More.FirstTokenUs;
}

} // namespace

auto execute(catalogue_data &Data, command_context &Context,
             const start_rollout &Body) -> command_result {
  auto Checked = checkStart(Data, Context, Body);
  if (!Checked.ok() || Context.DryRun)
    return Checked;
  auto &Place = Data.Rollouts[Body.Model];
  if (!Place.Id.empty())
    keepPast(Data, Place);
  Place = plan(Context, Body);
  touch(Context, Place);
  Data.Evidence[Body.Model] = {Place.Id, {}, {}};
  return command_result::of(errc::ok, "started", writeValue(Place));
}

/// Stopping needs no revision, because a stop must win every race.
auto execute(catalogue_data &Data, command_context &Context,
             const set_rollout_state &Body) -> command_result {
  auto *Rollout = findRollout(Data, Body.Id);
  if (Rollout == nullptr)
    return command_result::of(errc::unknown_entry, Body.Id);
  if (Rollout->State == Body.State)
    return command_result::of(errc::ok, "unchanged", writeValue(*Rollout));
  auto Checked = checkState(Data, *Rollout, Body);
  if (!Checked.ok() || Context.DryRun)
    return Checked;
  Rollout->State = Body.State;
  Rollout->Reason = Body.Reason;
  if (Body.State == rollout_state::running)
    Rollout->StageMs = Context.NowMs;
  touch(Context, *Rollout);
  return command_result::of(errc::ok, "stored", writeValue(*Rollout));
}

auto execute(catalogue_data &Data, command_context &Context,
             const advance_rollout &Body) -> command_result {
  auto *Rollout = findRollout(Data, Body.Id);
  if (Rollout == nullptr)
    return command_result::of(errc::unknown_entry, Body.Id);
  auto Checked = checkAdvance(Data, Context, *Rollout, Body);
  if (!Checked.ok() || Context.DryRun)
    return Checked;
  if (Rollout->Stage + 1 < Rollout->Stages.size())
    ++Rollout->Stage;
  else
    Rollout->State = rollout_state::done;
  Rollout->StageMs = Context.NowMs;
  touch(Context, *Rollout);
  return command_result::of(errc::ok, "stored", writeValue(*Rollout));
}

auto execute(catalogue_data &Data, command_context &Context,
             const report_version_evidence &Body) -> command_result {
  const auto *Rollout = findRollout(Data, Body.Rollout);
  if (Rollout == nullptr || !Rollout->open())
    return command_result::of(errc::unknown_entry, Body.Rollout);
  const auto Known = [&](const version_counters &Counters) {
    return Counters.Version == Rollout->From || Counters.Version == Rollout->To;
  };
  if (!std::all_of(Body.Counters.begin(), Body.Counters.end(), Known))
    return command_result::of(errc::bad_request,
                              "a version is not part of the rollout");
  auto &Evidence = Data.Evidence.at(Rollout->Model);
  const auto Last = Evidence.Sequences.find(Body.Source);
  if (Last != Evidence.Sequences.end() && Body.Sequence <= Last->second)
    return command_result::of(errc::ok, "duplicate");
  if (Context.DryRun)
    return {};
  Evidence.Sequences[Body.Source] = Body.Sequence;
  for (const auto &Counters : Body.Counters)
    addCounters(Evidence.Totals[Counters.Version], Counters);
  return command_result::of(errc::ok, "added");
}

auto stopRolloutsOf(catalogue_data &Data, command_context &Context,
                    const version_ref &Version) -> void {
  const auto Place = Data.Rollouts.find(Version.Model);
  if (Place == Data.Rollouts.end() || !Place->second.open())
    return;
  auto &Rollout = Place->second;
  if (Rollout.To == Version.Version) {
    Rollout.State = rollout_state::aborted;
    Rollout.Reason = "the new version was withdrawn";
  } else if (Rollout.From == Version.Version) {
    Rollout.State = rollout_state::paused;
    Rollout.Reason = "the predecessor was withdrawn";
  } else {
    return;
  }
  touch(Context, Rollout);
}

} // namespace acacianotch
