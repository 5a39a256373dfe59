/// \file Monotonic time, and the clock concept that decision code uses.
#pragma once

#include <chrono>
#include <concepts>
#include <ctime>

namespace acacianotch {

using duration = std::chrono::microseconds;

struct steady_clock;

/// Monotonic time in microseconds; comparable only within one process.
using time_point = std::chrono::time_point<steady_clock, duration>;

/// Source of monotonic time.
template <typename type>
concept clock_source = requires(const type &Clock) {
  { Clock.now() } -> std::same_as<time_point>;
};

/// \return the time of one of the operating system's clocks.
[[nodiscard]] inline auto readClock(clockid_t Clock) -> duration {
  timespec Time{};
  ::clock_gettime(Clock, &Time);
  return std::chrono::duration_cast<duration>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec));
}

/// The operating system's monotonic clock that goes on while the VM is
/// suspended, as the clocks of its peers do. std::chrono::steady_clock stands
/// still meanwhile, so that leases and deadlines would outlive their time.
struct steady_clock {
  [[nodiscard]] static auto now() -> time_point {
    return time_point(readClock(CLOCK_BOOTTIME));
  }
};

/// \return the time for which the VM has been suspended since it was booted.
[[nodiscard]] inline auto suspendedTime() -> duration {
  const auto Running = readClock(CLOCK_MONOTONIC);
  return readClock(CLOCK_BOOTTIME) - Running;
}

/// A clock that moves only when told to, for tests and benchmarks.
class virtual_clock {
public:
  [[nodiscard]] auto now() const -> time_point { return Time; }

  /// Moves the clock forward by \p Step.
  auto advance(duration Step) -> void { Time += Step; }

  /// Moves the clock to \p When.
  auto set(time_point When) -> void { Time = When; }

private:
  time_point Time{};
};

static_assert(clock_source<steady_clock> && clock_source<virtual_clock>);

} // namespace acacianotch
