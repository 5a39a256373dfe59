/// \file Detection of work that holds up the event loop.
#pragma once

#include "net/event_loop.h"

#include <memory>

namespace acacianotch {

/// Logs each time the event loop has run no timer for much longer than
/// requested: heartbeats, leases and timeouts are late by as much. Logs each
/// suspension of the VM as well.
class loop_monitor {
public:
  explicit loop_monitor(event_loop &Loop);

private:
  auto check() -> void;

  std::unique_ptr<loop_timer> Timer;
  time_point LastRun;
  duration LastSuspended; ///< Total at the last check.
};

} // namespace acacianotch
