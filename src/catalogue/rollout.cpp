/// \file Rules of a stored rollout.
#include "catalogue/rollout_type.h"

#include "catalogue/entry_type.h"

namespace acacianotch {

auto rollout::share() const -> double {
  if (State == rollout_state::aborted)
    return 0;
  if (State == rollout_state::done)
    return 1;
  return Stage < Stages.size() ? Stages[Stage].Share : 0;
}

auto validateRollout(const rollout &Rollout) -> result<void> {
  if (!validName(Rollout.Model) || !validName(Rollout.From) ||
      !validName(Rollout.To))
    return failure::of(errc::bad_request, "a name has invalid characters");
  if (Rollout.From == Rollout.To)
    return failure::of(errc::bad_request, "both versions are the same");
  if (Rollout.Stage >= Rollout.Stages.size())
    return failure::of(errc::bad_request, "the stage does not exist");
  double Last = 0;
  for (const auto &Stage : Rollout.Stages) {
    if (Stage.Share <= Last)
      return failure::of(errc::bad_request, "the shares must grow");
    Last = Stage.Share;
  }
  return {};
}

} // namespace acacianotch
