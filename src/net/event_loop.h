/// \file The one event loop of a process: libevent with the kj queue inside.
#pragma once

#include "core/clock_type.h"
#include "core/result.h"

#include <event2/event.h>
#include <kj/async.h>

#include <functional>
#include <memory>
#include <vector>

namespace acacianotch {

/// Deletes an event when its owner goes.
struct event_deleter {
  auto operator()(event *Event) const -> void { event_free(Event); }
};
using event_handle = std::unique_ptr<event, event_deleter>;

/// A callback that runs once or repeatedly; it stops when destroyed.
class loop_timer {
public:
  loop_timer(event_base *Base, std::function<void()> Callback, bool Repeats);
  loop_timer(const loop_timer &) = delete;
  auto operator=(const loop_timer &) -> loop_timer & = delete;

  /// Runs the callback after \p Delay; replaces an earlier start.
  auto start(duration Delay) -> void;

  /// Prevents the callback from running until the next start().
  auto stop() -> void;

private:
  std::shared_ptr<std::function<void()>> Callback;
  event_handle Event;
};

/// Runs libevent, and the kj event queue from within it, on one thread. There
/// is at most one per thread.
class event_loop {
public:
  /// \return the loop; `internal` if libevent cannot be set up.
  [[nodiscard]] static auto create() -> result<std::unique_ptr<event_loop>>;

  ~event_loop();
  event_loop(const event_loop &) = delete;
  auto operator=(const event_loop &) -> event_loop & = delete;

  /// \return libevent's base, for libraries that need it.
  [[nodiscard]] auto base() const -> event_base *;

  /// Runs until stop().
  auto run() -> void;

  /// Makes run() return after the current callback.
  auto stop() -> void;

  /// Handles what is ready now without waiting; for tests.
  auto poll() -> void;

  /// Waits for one event at most, then handles what is ready; for tests.
  auto turn() -> void;

  /// Runs \p Callback whenever the process gets \p Signal.
  auto onSignal(int Signal, std::function<void()> Callback) -> void;

  /// \return a timer that runs \p Callback every time its delay has passed.
  [[nodiscard]] auto repeating(std::function<void()> Callback)
      -> std::unique_ptr<loop_timer>;

  /// \return a timer that runs \p Callback once for each start().
  [[nodiscard]] auto oneShot(std::function<void()> Callback)
      -> std::unique_ptr<loop_timer>;

  /// \return a promise that is fulfilled after \p Delay.
  [[nodiscard]] auto delay(duration Delay) -> kj::Promise<void>;

  /// Runs \p Callback after the current one has returned.
  auto defer(std::function<void()> Callback) -> void;

private:
  struct state;
  explicit event_loop(std::unique_ptr<state> State);

  std::unique_ptr<state> State;
};

} // namespace acacianotch
