/// \file Graceful shutdown on a signal.
#pragma once

#include "net/event_loop.h"

#include <functional>
#include <memory>

namespace acacianotch {

/// Ends the loop once the role has nothing open, or at the deadline.
class graceful_shutdown {
public:
  /// \p Begin stops new work; \p Idle tells whether nothing is open.
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
  int IdleChecks = 0; ///< Checks in a row that found no work.
};

} // namespace acacianotch
