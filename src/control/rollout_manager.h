/// \file Advances the rollouts of services on the leader.
#pragma once

#include "control/control_service.h"
#include "controller/rollout_evaluator.h"

#include <memory>

namespace acacianotch {

/// Evaluates the running rollouts periodically and issues the commands that
/// advance or stop them.
class rollout_manager {
public:
  /// A bad version may get \p ExposureShare of its service's requests.
  rollout_manager(event_loop &Loop, control_service &Service,
                  double ExposureShare,
                  rollout_evaluator_settings Settings = {});

private:
  auto tick() -> void;
  [[nodiscard]] auto commandFor(const service_rollout &Rollout,
                                const rollout_decision &Decision) const
      -> command_body;
  [[nodiscard]] auto planLoad(const service_rollout &Rollout) const
      -> candidate_load;
  auto submit(const service_rollout &Rollout, const rollout_decision &Decision)
      -> void;

  control_service &Service;
  double ExposureShare;
  rollout_evaluator_settings Settings;
  bool CommandPending = false; ///< A command has no result yet.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  std::unique_ptr<loop_timer> Timer;
};

} // namespace acacianotch
