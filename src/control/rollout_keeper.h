/// \file Drives the rollouts of services on the leader.
#pragma once

#include "control/control_service.h"
#include "controller/rollout_judge.h"

#include <memory>

namespace acacianotch {

/// Judges each running rollout again and again and orders its next step.
class rollout_keeper {
public:
  rollout_keeper(event_loop &Loop, control_service &Service,
                 rollout_judge_settings Settings = {});

private:
  auto tick() -> void;
  auto order(const service_rollout &Rollout, const rollout_judgement &Judgement)
      -> void;

  control_service &Service;
  rollout_judge_settings Settings;
  bool Ordering = false; ///< An order is not answered yet.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  std::unique_ptr<loop_timer> Timer;
};

} // namespace acacianotch
