/// \file Advances the rollouts of services on the leader.
#include "control/rollout_manager.h"

#include "core/log_func.h"

#include <algorithm>

namespace acacianotch {

namespace {

/// Shorter than the interval of the gateways' reports, so that a bad rollout is
/// stopped right after a report.
constexpr duration TickInterval = std::chrono::milliseconds(100);

} // namespace

rollout_manager::rollout_manager(event_loop &Loop, control_service &TheService,
                                 double TheExposureShare,
                                 rollout_evaluator_settings TheSettings)
    : Service(TheService), ExposureShare(TheExposureShare),
      Settings(TheSettings), Timer(Loop.repeating([this] { tick(); })) {
  Timer->start(TickInterval);
}

auto rollout_manager::tick() -> void {
  if (CommandPending || !Service.confirmedEpoch())
    return;
  const auto &Data = Service.state().data();
  for (const auto &[Name, Rollout] : Data.ServiceRollouts) {
    if (Rollout.State != rollout_state::running)
      continue;
    const auto Evidence = Data.ServiceEvidence.find(Name);
    if (Evidence == Data.ServiceEvidence.end())
      continue;
    const auto Decision =
        evaluateRollout(Settings, Rollout, Evidence->second, Service.nowMs());
    if (Decision.Step != rollout_step::keep)
      return submit(Rollout, Decision);
  }
}

auto rollout_manager::commandFor(const service_rollout &Rollout,
                                 const rollout_decision &Decision) const
    -> command_body {
  if (Decision.Step == rollout_step::open)
    return open_service_rollout{Rollout.Service, Rollout.To, planLoad(Rollout)};
  if (Decision.Step == rollout_step::shift)
    return shift_service_rollout{Rollout.Service, Rollout.To};
  return end_service_rollout{Rollout.Service, Rollout.To,
                             Decision.Step == rollout_step::stop
                                 ? rollout_state::aborted
                                 : rollout_state::done,
                             Decision.Reason};
}

auto rollout_manager::planLoad(const service_rollout &Rollout) const
    -> candidate_load {
  const auto Servers =
      Service.nodeSubscriptions().backends().countPredecessors(Rollout);
  const auto Load = planCandidateLoad(ExposureShare, Servers);
  logInfo(log_category::version, "planned the load of a new version",
          {{"service", Rollout.Service},
           {"to", Rollout.To},
           {"predecessor_servers", Servers},
           {"share", Load.Share},
           {"servers", Load.Servers}});
  return Load;
}

auto rollout_manager::submit(const service_rollout &Rollout,
                             const rollout_decision &Decision) -> void {
  logInfo(log_category::version, "issuing a rollout command",
          {{"service", Rollout.Service},
           {"to", Rollout.To},
           {"step", RolloutStepNames.name(Decision.Step)},
           {"reason", Decision.Reason}});
  CommandPending = true;
  command Command;
  Command.Issuer = "rollout keeper";
  Command.Body = commandFor(Rollout, Decision);
  const auto SetDone = [this, Guard = std::weak_ptr<bool>(Alive)] {
    if (Guard.lock())
      CommandPending = false;
  };
  Service.execute(std::move(Command))
      .then([SetDone](const command_result &) { SetDone(); })
      .detach([SetDone](kj::Exception &&Exception) {
        logWarning(log_category::version, "a rollout command failed",
                   {{"error", Exception.getDescription().cStr()}});
        SetDone();
      });
}

} // namespace acacianotch
