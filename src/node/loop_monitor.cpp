/// \file Detection of work that holds up the event loop.
#include "node/loop_monitor.h"

#include "core/log_func.h"

#include <utility>

namespace acacianotch {

namespace {

constexpr duration CheckInterval = std::chrono::milliseconds(100);
/// Half of the shortest leader lease.
constexpr duration ReportedDelay = std::chrono::milliseconds(100);

} // namespace

loop_monitor::loop_monitor(event_loop &Loop)
    : Timer(Loop.repeating([this] { check(); })), LastRun(steady_clock::now()),
      LastSuspended(suspendedTime()) {
  Timer->start(CheckInterval);
}

auto loop_monitor::check() -> void {
  const auto Now = steady_clock::now();
  const auto Total = suspendedTime();
  const auto Suspended = Total - std::exchange(LastSuspended, Total);
  const auto Delay =
      Now - std::exchange(LastRun, Now) - CheckInterval - Suspended;
  if (Suspended >= ReportedDelay)
    logWarning(log_category::net, "the VM was suspended",
               {{"ms", Suspended / std::chrono::milliseconds(1)}});
  if (Delay >= ReportedDelay)
    logWarning(log_category::net, "the event loop was held up",
               {{"ms", Delay / std::chrono::milliseconds(1)}});
}

} // namespace acacianotch
