/// \file Graceful shutdown on a signal.
#pragma once

#include "net/event_loop.h"

#include <functional>
#include <memory>

namespace acacianotch {

/// Stops the event loop after SIGTERM or SIGINT, once the role is idle or the
/// deadline has passed.
class graceful_shutdown {
public:
  /// \p Begin makes the role reject new work; \p Idle returns whether it has no
  /// work in progress.
  graceful_shutdown(event_loop &Loop, duration Deadline,
                    std::function<void()> Begin, std::function<bool()> Idle);

  /// \return whether a signal has been received.
  [[nodiscard]] auto begun() const -> bool { return Begun; }

private:
  auto begin() -> void;
  auto check() -> void;

  event_loop &Loop;
  duration Deadline;
  std::function<void()> Begin;
  std::function<bool()> Idle;
  std::unique_ptr<loop_timer> Timer;
  time_point BegunAt{};
  bool Begun = false;
  int IdleChecks = 0; ///< Consecutive checks that found the role idle.
};

} // namespace acacianotch
