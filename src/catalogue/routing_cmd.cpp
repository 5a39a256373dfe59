/// \file Commands that change the routing document and service rollouts.
#include "catalogue/command_func.h"

#include <algorithm>
#include <utility>

namespace acacianotch {

namespace {

/// Bounds what a rollout adds to the catalogue of each node, 16 KB; sessions
/// beyond it keep their version only at the gateways that know them.
constexpr std::size_t MaxHeldSessions = 2048;
/// Versions whose servers may still be listed after their rollouts.
constexpr std::size_t MaxWithdrawn = 16;

auto rolloutConflict(const service_rollout &Current, std::string Detail)
    -> command_result {
  return command_result::of(errc::revision_conflict, std::move(Detail),
                            writeValue(Current));
}

auto touch(command_context &Context, const std::string &Service) -> void {
  Context.Changed.push_back(std::string(ServiceRolloutPrefix) + Service);
}

auto findRollout(catalogue_data &Data, const std::string &Service,
                 const std::string &To) -> service_rollout * {
  const auto Place = Data.ServiceRollouts.find(Service);
  const auto Found =
      Place != Data.ServiceRollouts.end() && Place->second.To == To;
  return Found ? &Place->second : nullptr;
}

auto findRunning(catalogue_data &Data, const std::string &Service,
                 const std::string &To) -> service_rollout * {
  auto *Rollout = findRollout(Data, Service, To);
  const auto Running =
      Rollout != nullptr && Rollout->State == rollout_state::running;
  return Running ? Rollout : nullptr;
}

auto addCounts(std::vector<arm_counts> &Rows, const arm_counts &More) -> void {
  const auto Place =
      std::find_if(Rows.begin(), Rows.end(), [&](const arm_counts &Row) {
        return Row.Arm == More.Arm && Row.Route == More.Route;
      });
  if (Place == Rows.end()) {
    Rows.push_back(More);
    return;
  }
  Place->add(More);
}

/// Carries over which version serves and which ones were rolled back.
auto inheritVersions(service_rollout &Rollout, const service_rollout &Former)
    -> void {
  const auto Done = Former.State == rollout_state::done;
  Rollout.From = Done ? Former.To : Former.From;
  Rollout.Withdrawn = Former.Withdrawn;
  if (!Done)
    Rollout.Withdrawn.push_back(Former.To);
  std::erase(Rollout.Withdrawn, Rollout.To);
  if (Rollout.Withdrawn.size() > MaxWithdrawn)
    Rollout.Withdrawn.erase(Rollout.Withdrawn.begin());
}

auto addSession(std::vector<std::uint64_t> &Sorted, std::uint64_t Session)
    -> void {
  const auto Place = std::lower_bound(Sorted.begin(), Sorted.end(), Session);
  const auto Known = Place != Sorted.end() && *Place == Session;
  if (!Known && Sorted.size() < MaxHeldSessions)
    Sorted.insert(Place, Session);
}

} // namespace

// A lower number was overtaken, and other content under the number held must
// never be in force. Both leave the state as it is and are acknowledged.
auto execute(catalogue_data &Data, command_context &Context,
             const publish_routing &Body) -> command_result {
  if (Data.Routing && Body.Number <= Data.Routing->Number)
    return command_result::of(errc::ok, "unchanged");
  if (Context.DryRun)
    return {};
  Data.Routing = routing_document{Body.Number, Body.Text};
  Context.Changed.emplace_back(RoutingKey);
  return command_result::of(errc::ok, "stored");
}

auto execute(catalogue_data &Data, command_context &Context,
             const start_service_rollout &Body) -> command_result {
  const auto Place = Data.ServiceRollouts.find(Body.Service);
  if (Place != Data.ServiceRollouts.end()) {
    if (Place->second.To == Body.To)
      return command_result::of(errc::ok, "unchanged",
                                writeValue(Place->second));
    if (Place->second.State == rollout_state::running)
      return rolloutConflict(Place->second,
                             "another rollout of the service is running");
  }
  if (Context.DryRun)
    return {};
  service_rollout Rollout;
  Rollout.Service = Body.Service;
  Rollout.To = Body.To;
  Rollout.StartedMs = Context.NowMs;
  Rollout.DurationMs = Body.DurationMs;
  Rollout.Collecting = true;
  if (Place != Data.ServiceRollouts.end())
    inheritVersions(Rollout, Place->second);
  Data.ServiceRollouts[Body.Service] = Rollout;
  Data.ServiceEvidence[Body.Service] = {Body.To, {}, {}, {}, 0};
  touch(Context, Body.Service);
  return command_result::of(errc::ok, "started", writeValue(Rollout));
}

auto execute(catalogue_data &Data, command_context &Context,
             const end_service_rollout &Body) -> command_result {
  auto *Rollout = findRollout(Data, Body.Service, Body.To);
  if (Rollout == nullptr)
    return command_result::of(errc::unknown_entry, Body.Service);
  if (Body.State != rollout_state::done && Body.State != rollout_state::aborted)
    return command_result::of(errc::bad_request, "key 'state': done, aborted");
  if (Rollout->State != rollout_state::running)
    return Rollout->State == Body.State
               ? command_result::of(errc::ok, "unchanged", writeValue(*Rollout))
               : rolloutConflict(*Rollout, "the rollout has ended");
  if (Context.DryRun)
    return {};
  Rollout->State = Body.State;
  Rollout->Reason = Body.Reason;
  touch(Context, Body.Service);
  return command_result::of(errc::ok, "stored", writeValue(*Rollout));
}

// The sequence drops a report that is sent again.
auto execute(catalogue_data &Data, command_context &Context,
             const report_service_evidence &Body) -> command_result {
  const auto *Rollout = findRunning(Data, Body.Service, Body.To);
  if (Rollout == nullptr)
    return command_result::of(errc::unknown_entry, Body.Service);
  if (Context.DryRun)
    return {};
  auto &Evidence = Data.ServiceEvidence[Body.Service];
  auto &Last = Evidence.Sequences[Body.Source];
  if (Body.Sequence <= Last)
    return command_result::of(errc::ok, "duplicate");
  Last = Body.Sequence;
  for (const auto &Counts : Body.Counts)
    addCounts(Evidence.Counts, Counts);
  if (Body.Listed && Evidence.ListedMs == 0)
    Evidence.ListedMs = Context.NowMs;
  if (Rollout->Collecting)
    for (const auto Session : Body.Sessions)
      addSession(Evidence.Sessions, Session);
  return command_result::of(errc::ok, "added");
}

auto execute(catalogue_data &Data, command_context &Context,
             const shift_service_rollout &Body) -> command_result {
  auto *Rollout = findRunning(Data, Body.Service, Body.To);
  if (Rollout == nullptr)
    return command_result::of(errc::unknown_entry, Body.Service);
  if (Context.DryRun || Rollout->Shifted)
    return {};
  Rollout->Shifted = true;
  Rollout->ShiftedMs = Context.NowMs;
  touch(Context, Body.Service);
  return command_result::of(errc::ok, "stored", writeValue(*Rollout));
}

auto execute(catalogue_data &Data, command_context &Context,
             const open_service_rollout &Body) -> command_result {
  auto *Rollout = findRunning(Data, Body.Service, Body.To);
  if (Rollout == nullptr)
    return command_result::of(errc::unknown_entry, Body.Service);
  if (Context.DryRun || !Rollout->Collecting)
    return {};
  auto &Sessions = Data.ServiceEvidence[Body.Service].Sessions;
  Rollout->Collecting = false;
  Rollout->Held = std::exchange(Sessions, {});
  Rollout->Load = Body.Load;
  touch(Context, Body.Service);
  return command_result::of(errc::ok, "stored", writeValue(*Rollout));
}

} // namespace acacianotch
