/// \file Long work on the event loop, divided into steps.
#pragma once

#include "net/event_loop.h"

#include <functional>
#include <memory>
#include <utility>

namespace acacianotch {

/// Calls \p Step once in each turn of \p Loop until it returns true, and then
/// \p OnDone. I/O and timers are handled between the steps. Ends without a call
/// when \p Owner is gone.
inline auto runStepped(event_loop &Loop, std::weak_ptr<const void> Owner,
                       std::function<bool()> Step, std::function<void()> OnDone)
    -> void {
  Loop.defer([&Loop, Owner = std::move(Owner), Step = std::move(Step),
              OnDone = std::move(OnDone)]() mutable {
    if (Owner.expired())
      return;
    if (Step())
      return OnDone();
    runStepped(Loop, std::move(Owner), std::move(Step), std::move(OnDone));
  });
}

} // namespace acacianotch
