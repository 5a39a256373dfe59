/// \file Graceful shutdown on a signal.
#include "node/shutdown.h"

#include "core/log_func.h"

#include <csignal>

namespace acacianotch {

namespace {

constexpr duration IdleCheckInterval = std::chrono::milliseconds(20);
// Readiness turns false at once, but a load balancer polls it at intervals and
// sends requests until its next poll. Until then the process keeps running and
// rejects them with the verdict `not_run`.
constexpr duration MinShutdownDelay = std::chrono::milliseconds(200);

// Work counts as ended before its last message has been sent, so the process
// keeps running for one more check interval after all work has ended.
constexpr int IdleChecksToStop = 2;

} // namespace

graceful_shutdown::graceful_shutdown(event_loop &TheLoop, duration TheDeadline,
                                     std::function<void()> TheBegin,
                                     std::function<bool()> TheIdle)
    : Loop(TheLoop), Deadline(TheDeadline), Begin(std::move(TheBegin)),
      Idle(std::move(TheIdle)), Timer(TheLoop.repeating([this] { check(); })) {
  Loop.onSignal(SIGTERM, [this] { begin(); });
  Loop.onSignal(SIGINT, [this] { begin(); });
  // Settings are read only at start-up, but SIGHUP must not end the process.
  Loop.onSignal(SIGHUP, [] {
    logInfo(log_category::settings,
            "ignoring SIGHUP: changed settings take effect at the next start");
  });
}

auto graceful_shutdown::begin() -> void {
  if (std::exchange(Begun, true))
    return;
  BegunAt = steady_clock::now();
  logInfo(log_category::settings, "shutting down");
  Begin();
  Timer->start(IdleCheckInterval);
}

auto graceful_shutdown::check() -> void {
  const auto Elapsed = steady_clock::now() - BegunAt;
  if (Elapsed < MinShutdownDelay)
    return;
  IdleChecks = Idle() ? IdleChecks + 1 : 0;
  if (IdleChecks < IdleChecksToStop && Elapsed < Deadline)
    return;
  if (IdleChecks == 0)
    logWarning(log_category::settings,
               "shutdown deadline exceeded with work still in progress");
  Loop.stop();
}

} // namespace acacianotch
