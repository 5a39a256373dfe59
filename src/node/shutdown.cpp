/// \file Graceful shutdown on a signal.
#include "node/shutdown.h"

#include "core/log_func.h"

#include <csignal>

namespace acacianotch {

namespace {

constexpr duration CheckInterval = std::chrono::milliseconds(20);
// Readiness turns false at once, but a balancer asks only now and then and may
// send requests until it has noticed; they get a refusal that says "not run".
constexpr duration LeastDelay = std::chrono::milliseconds(200);

// Work counts as ended before its last message has left the process, so one
// interval passes between the end of all work and the end of the process.
constexpr int IdleChecksToStop = 2;

} // namespace

graceful_shutdown::graceful_shutdown(event_loop &TheLoop, duration TheDeadline,
                                     std::function<void()> TheBegin,
                                     std::function<bool()> TheIdle)
    : Loop(TheLoop), Deadline(TheDeadline), Begin(std::move(TheBegin)),
      Idle(std::move(TheIdle)), Timer(TheLoop.repeating([this] { check(); })) {
  Loop.onSignal(SIGTERM, [this] { begin(); });
  Loop.onSignal(SIGINT, [this] { begin(); });
  // Settings are read at start only; the signal must not end the process.
  Loop.onSignal(SIGHUP, [] {
    logInfo(log_category::settings,
            "settings changed; they take effect at the next start");
  });
}

auto graceful_shutdown::begin() -> void {
  if (std::exchange(Begun, true))
    return;
  BegunAt = steady_clock::now();
  logInfo(log_category::settings, "shutting down");
  Begin();
  Timer->start(CheckInterval);
}

auto graceful_shutdown::check() -> void {
  const auto Elapsed = steady_clock::now() - BegunAt;
  if (Elapsed < LeastDelay)
    return;
  IdleChecks = Idle() ? IdleChecks + 1 : 0;
  if (IdleChecks < IdleChecksToStop && Elapsed < Deadline)
    return;
  if (IdleChecks == 0)
    logWarning(log_category::settings,
               "the shutdown deadline passed with work open");
  Loop.stop();
}

} // namespace acacianotch
