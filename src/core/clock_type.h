/// \file Monotonic time, and the clock concept that decision code uses.
#pragma once

#include <chrono>
#include <concepts>

namespace acacianotch {

using duration = std::chrono::microseconds;

/// Monotonic time in microseconds; comparable only within one process.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Source of monotonic time.
template <typename type>
concept clock_source = requires(const type &Clock) {
  { Clock.now() } -> std::same_as<time_point>;
};

/// The operating system's monotonic clock.
struct steady_clock {
  [[nodiscard]] static auto now() -> time_point {
    return std::chrono::time_point_cast<duration>(
        std::chrono::steady_clock::now());
  }
};

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
