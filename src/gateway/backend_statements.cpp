/// \file What backend servers state about new work, applied to the directory.
#include "gateway/backend_directory.h"

#include "core/log_func.h"

#include <algorithm>

namespace acacianotch {

namespace {

/// The end of a stated pause is spread over this share of it, so that gateways
/// do not come back at the same moment; the spread is limited.
constexpr double PauseSpreadShare = 0.25;
constexpr duration MaxPauseSpread = std::chrono::seconds(1);

} // namespace

auto backend_directory::recordStatements(backend_handle Handle,
                                         const answer_facts &Facts) -> void {
  auto *Backend = find(Handle);
  // It may be the answer of a server that has taken over the address.
  if (Backend == nullptr || Facts.Misdirected)
    return;
  const auto Now = steady_clock::now();
  if (Facts.Leaving)
    recordLeaving(Handle);
  if (Facts.ColdFor)
    Cold.markCold(Backend->Key, Now + *Facts.ColdFor, Now + *Facts.ColdFor);
  if (!Facts.RetryAfter) {
    if (!Facts.NotRun)
      Intake.recordAccepted(Backend->instance(), Now);
    return updateIntake(*Backend);
  }
  const auto Largest =
      std::min<duration>(std::chrono::duration_cast<duration>(
                             PauseSpreadShare * *Facts.RetryAfter),
                         MaxPauseSpread);
  const auto Range = static_cast<std::uint64_t>(Largest.count()) + 1;
  const duration Spread(static_cast<duration::rep>(randomBelow(Random, Range)));
  Intake.recordRejection(Backend->instance(), *Facts.RetryAfter, Spread, Now);
  logInfo(log_category::placement, "backend server asks for a pause",
          {{"backend", Backend->Record.Id},
           {"service", Backend->Record.Service},
           {"retry_after_ms", *Facts.RetryAfter / std::chrono::milliseconds(1)},
           {"spread_ms", Spread / std::chrono::milliseconds(1)}});
  updateIntake(*Backend);
  closeUnusedChannels(*Backend);
}

auto backend_directory::recordLeaving(backend_handle Handle) -> void {
  auto *Backend = find(Handle);
  if (Backend == nullptr ||
      !Intake.recordLeaving(Backend->instance(), steady_clock::now()))
    return;
  logInfo(log_category::placement, "backend server states that it leaves",
          {{"backend", Backend->Record.Id},
           {"service", Backend->Record.Service},
           {"listed_as_leaving", Backend->Record.Leaving}});
  markLeaving(*Backend);
  closeUnusedChannels(*Backend);
}

auto backend_directory::recordSent(backend_handle Handle) -> void {
  auto *Backend = find(Handle);
  if (Backend == nullptr)
    return;
  const auto Now = steady_clock::now();
  Intake.recordSent(Backend->instance(), Now);
  Cold.recordSent(Backend->Key, Now);
  updateIntake(*Backend);
}

auto backend_directory::updateIntake(known_backend &Backend) -> void {
  const auto Closed = !Intake.admits(Backend.instance(), steady_clock::now());
  if (std::exchange(Backend.IntakeClosed, Closed) == Closed)
    return;
  if (Closed)
    Board.eject(Backend.Handle);
  else
    Board.restore(Backend.Handle);
}

/// Closes connections without a request, and those whose request has not been
/// sent, which is then placed anew.
auto backend_directory::closeUnusedChannels(known_backend &Backend) -> void {
  for (const auto &Channel : std::exchange(Backend.IdleChannels, {}))
    Channel->cancel();
  for (const auto &Weak : std::exchange(Backend.NewChannels, {}))
    if (const auto Channel = Weak.lock())
      Loop.defer([Channel] { Channel->failIfUnsent(); });
}

auto backend_directory::pauseLeft(const std::string &Service) const
    -> std::optional<duration> {
  const auto Now = steady_clock::now();
  std::optional<duration> Least;
  for (const auto &[Id, Backend] : Backends) {
    if (Backend->Record.Service != Service || Backend->Record.Leaving)
      continue;
    const auto Left = Intake.pauseLeft(Backend->instance(), Now);
    if (!Left)
      return std::nullopt;
    Least = std::min(Least.value_or(*Left), *Left);
  }
  return Least;
}

auto backend_directory::intakeCounts(std::string_view Service) const
    -> intake_counts {
  const auto Now = steady_clock::now();
  intake_counts Counts;
  for (const auto &[Id, Backend] : Backends) {
    if (!Service.empty() && Backend->Record.Service != Service)
      continue;
    switch (Intake.state(Backend->instance(), Now)) {
    case intake_state::leaving:
      ++Counts.Leaving;
      break;
    case intake_state::paused:
      ++Counts.Paused;
      break;
    case intake_state::resuming:
      ++Counts.Resuming;
      break;
    case intake_state::open:
    case intake_state::invalid:
      ++Counts.Open;
      break;
    }
  }
  return Counts;
}

} // namespace acacianotch
