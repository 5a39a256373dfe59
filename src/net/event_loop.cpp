/// \file Integration of the kj event queue into libevent.
#include "net/event_loop.h"

#include <deque>
#include <sys/time.h>
#include <utility>

namespace acacianotch {

namespace {

/// Turns of the kj queue before libevent looks for I/O again.
constexpr unsigned KjTurnsPerRun = 256;

auto toTimeval(duration Delay) -> timeval {
  constexpr std::int64_t MicrosecondsPerSecond = 1'000'000;
  const auto Count = std::max<std::int64_t>(Delay.count(), 0);
  return {Count / MicrosecondsPerSecond, Count % MicrosecondsPerSecond};
}

/// Lets kj wait for libevent, and runs the kj queue when it has work.
class libevent_port final : public kj::EventPort {
public:
  explicit libevent_port(event_base *TheBase)
      : Base(TheBase),
        Wakeup(event_new(TheBase, -1, EV_PERSIST, onWakeup, this)) {}

  auto attach(kj::EventLoop &TheLoop) -> void { Loop = &TheLoop; }

  auto wait() -> bool override {
    event_base_loop(Base, EVLOOP_ONCE);
    return false;
  }

  auto poll() -> bool override {
    event_base_loop(Base, EVLOOP_NONBLOCK);
    return false;
  }

  auto setRunnable(bool Runnable) -> void override {
    if (Runnable)
      event_active(Wakeup.get(), EV_TIMEOUT, 0);
  }

  auto wake() const -> void override {}

private:
  // A queue that stays busy is continued from a zero timer and not from an
  // active event, because libevent drains active events before it polls for
  // I/O; a busy peer could starve all others.
  static auto onWakeup(evutil_socket_t /*Socket*/, short /*Events*/,
                       void *Argument) -> void {
    auto &Port = *static_cast<libevent_port *>(Argument);
    Port.Loop->run(KjTurnsPerRun);
    if (!Port.Loop->isRunnable())
      return;
    const timeval Now{0, 0};
    event_add(Port.Wakeup.get(), &Now);
  }

  event_base *Base;
  kj::EventLoop *Loop = nullptr;
  event_handle Wakeup;
};

/// Fulfils a promise after a delay; cancelling the promise removes the timer.
/// libevent runs timers before the kj queue handles what the same turn has
/// read, so the promise waits for another turn: an answer that arrived while
/// the process did not run comes before the end of the time for it.
class delay_adapter {
public:
  delay_adapter(kj::PromiseFulfiller<void> &TheFulfiller, event_base *Base,
                duration Delay)
      : Fulfiller(TheFulfiller), Event(evtimer_new(Base, onTimeout, this)) {
    const auto Interval = toTimeval(Delay);
    event_add(Event.get(), &Interval);
  }

private:
  static auto onTimeout(evutil_socket_t /*Socket*/, short /*Events*/,
                        void *Argument) -> void {
    auto &Delay = *static_cast<delay_adapter *>(Argument);
    if (std::exchange(Delay.Passed, true))
      return Delay.Fulfiller.fulfill();
    const timeval Now{0, 0};
    event_add(Delay.Event.get(), &Now);
  }

  kj::PromiseFulfiller<void> &Fulfiller;
  event_handle Event;
  bool Passed = false;
};

// A callback may destroy its own timer, so it is kept alive while it runs.
auto runShared(evutil_socket_t /*Socket*/, short /*Events*/, void *Argument)
    -> void {
  const auto Callback =
      *static_cast<std::shared_ptr<std::function<void()>> *>(Argument);
  (*Callback)();
}

struct base_deleter {
  auto operator()(event_base *Base) const -> void { event_base_free(Base); }
};

} // namespace

loop_timer::loop_timer(event_base *Base, std::function<void()> TheCallback,
                       bool Repeats)
    : Callback(std::make_shared<std::function<void()>>(std::move(TheCallback))),
      Event(event_new(Base, -1, Repeats ? EV_PERSIST : 0, runShared,
                      &Callback)) {}

auto loop_timer::start(duration Delay) -> void {
  const auto Interval = toTimeval(Delay);
  event_add(Event.get(), &Interval);
}

auto loop_timer::stop() -> void { event_del(Event.get()); }

struct event_loop::state {
  explicit state(event_base *TheBase)
      : Base(TheBase), Port(TheBase), KjLoop(Port), WaitScope(KjLoop),
        Deferred(
            TheBase, [this] { runDeferred(); }, false) {
    Port.attach(KjLoop);
  }

  auto runDeferred() -> void {
    auto Batch = std::exchange(DeferredCallbacks, {});
    for (auto &Callback : Batch)
      Callback();
  }

  std::unique_ptr<event_base, base_deleter> Base;
  libevent_port Port;
  kj::EventLoop KjLoop;
  kj::WaitScope WaitScope;
  std::deque<std::function<void()>> DeferredCallbacks;
  loop_timer Deferred;
  std::vector<event_handle> Signals;
  std::deque<std::shared_ptr<std::function<void()>>> SignalCallbacks;
};

auto event_loop::create() -> result<std::unique_ptr<event_loop>> {
  auto *Base = event_base_new();
  if (Base == nullptr)
    return failure::of(errc::internal, "libevent offers no event base");
  return std::unique_ptr<event_loop>(
      new event_loop(std::make_unique<state>(Base)));
}

event_loop::event_loop(std::unique_ptr<state> TheState)
    : State(std::move(TheState)) {}

event_loop::~event_loop() = default;

auto event_loop::base() const -> event_base * { return State->Base.get(); }

auto event_loop::run() -> void {
  event_base_loop(base(), EVLOOP_NO_EXIT_ON_EMPTY);
}

auto event_loop::stop() -> void { event_base_loopbreak(base()); }

auto event_loop::poll() -> void { event_base_loop(base(), EVLOOP_NONBLOCK); }

auto event_loop::turn() -> void { event_base_loop(base(), EVLOOP_ONCE); }

auto event_loop::onSignal(int Signal, std::function<void()> Callback) -> void {
  auto &Stored = State->SignalCallbacks.emplace_back(
      std::make_shared<std::function<void()>>(std::move(Callback)));
  auto *Event = evsignal_new(base(), Signal, runShared, &Stored);
  event_add(Event, nullptr);
  State->Signals.emplace_back(Event);
}

auto event_loop::repeating(std::function<void()> Callback)
    -> std::unique_ptr<loop_timer> {
  return std::make_unique<loop_timer>(base(), std::move(Callback), true);
}

auto event_loop::oneShot(std::function<void()> Callback)
    -> std::unique_ptr<loop_timer> {
  return std::make_unique<loop_timer>(base(), std::move(Callback), false);
}

auto event_loop::delay(duration Delay) -> kj::Promise<void> {
  return kj::newAdaptedPromise<void, delay_adapter>(base(), Delay);
}

auto event_loop::defer(std::function<void()> Callback) -> void {
  // libevent takes back a timer that is due when it is started again, so that
  // callbacks deferred in each iteration would put off all of them for ever.
  const auto Started = !State->DeferredCallbacks.empty();
  State->DeferredCallbacks.push_back(std::move(Callback));
  if (!Started)
    State->Deferred.start(duration::zero());
}

} // namespace acacianotch
