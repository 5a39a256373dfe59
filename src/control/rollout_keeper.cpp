/// \file Drives the rollouts of services on the leader.
#include "control/rollout_keeper.h"

#include "core/log_func.h"

#include <algorithm>

namespace acacianotch {

namespace {

/// Shorter than the interval of the gateways' reports, so that a stop follows a
/// report at once.
constexpr duration TickInterval = std::chrono::milliseconds(100);

auto orderOf(const service_rollout &Rollout, const rollout_judgement &Judgement)
    -> command_body {
  if (Judgement.Step == rollout_step::open)
    return open_service_rollout{Rollout.Service, Rollout.To};
  if (Judgement.Step == rollout_step::shift)
    return shift_service_rollout{Rollout.Service, Rollout.To};
  return end_service_rollout{Rollout.Service, Rollout.To,
                             Judgement.Step == rollout_step::stop
                                 ? rollout_state::aborted
                                 : rollout_state::done,
                             Judgement.Reason};
}

} // namespace

rollout_keeper::rollout_keeper(event_loop &Loop, control_service &TheService,
                               rollout_judge_settings TheSettings)
    : Service(TheService), Settings(TheSettings),
      Timer(Loop.repeating([this] { tick(); })) {
  Timer->start(TickInterval);
}

auto rollout_keeper::tick() -> void {
  if (Ordering || !Service.confirmedEpoch())
    return;
  const auto &Data = Service.state().data();
  for (const auto &[Name, Rollout] : Data.ServiceRollouts) {
    if (Rollout.State != rollout_state::running)
      continue;
    const auto Evidence = Data.ServiceEvidence.find(Name);
    if (Evidence == Data.ServiceEvidence.end())
      continue;
    const auto Judgement =
        judgeRollout(Settings, Rollout, Evidence->second, Service.nowMs());
    if (Judgement.Step != rollout_step::keep)
      return order(Rollout, Judgement);
  }
}

auto rollout_keeper::order(const service_rollout &Rollout,
                           const rollout_judgement &Judgement) -> void {
  logInfo(log_category::version, "rollout step",
          {{"service", Rollout.Service},
           {"to", Rollout.To},
           {"step", RolloutStepNames.name(Judgement.Step)},
           {"reason", Judgement.Reason}});
  Ordering = true;
  command Command;
  Command.Issuer = "rollout keeper";
  Command.Body = orderOf(Rollout, Judgement);
  Service.execute(encodeCommand(Command))
      .then([this, Guard = std::weak_ptr<bool>(Alive)](const command_result &) {
        if (Guard.lock())
          Ordering = false;
      })
      .detach([](kj::Exception &&Exception) {
        logWarning(log_category::version, "a rollout order failed",
                   {{"error", Exception.getDescription().cStr()}});
      });
}

} // namespace acacianotch
