/// \file Admission of requests that reach a process before it can serve them.
#pragma once

#include "core/clock_type.h"
#include "core/enum_table.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace acacianotch {

/// Why a request is held until the process can serve, or why not.
enum class startup_verdict : std::uint8_t {
  invalid,
  held,
  window_over,     ///< The process started too long ago.
  too_little_time, ///< The request would be held in vain.
  full,            ///< Too many requests, or too many bytes, are held.
};

/// Texts of the verdicts in logs.
inline constexpr enum_table<startup_verdict, 4> StartupVerdictNames{{{
    {startup_verdict::held, "held until the gateway can serve"},
    {startup_verdict::window_over, "the start takes too long to wait for"},
    {startup_verdict::too_little_time, "too little time to wait for the start"},
    {startup_verdict::full, "too many requests wait for the start"},
}}};

/// Limits of the requests that are held.
struct startup_limits {
  duration MaxSinceStart{0}; ///< No request is held longer; 0 to hold none.
  std::size_t MaxBytes = 2ULL * 1024 * 1024;
  std::size_t MaxRequests = 512;
};

/// Facts about a request, and about those that are held already.
struct startup_request {
  std::optional<duration> TimeLeft; ///< Until the deadline, if there is one.
  std::size_t Bytes = 0;
  std::size_t HeldBytes = 0;
  std::size_t HeldRequests = 0;
};

/// Whether, and until when, a request is held.
struct startup_decision {
  startup_verdict Verdict = startup_verdict::invalid;
  time_point HoldUntil{}; ///< If held.
};

/// Decides which requests wait for the end of the process's start, and when the
/// callers of the others should return. The object's creation is the start.
template <clock_source clock> class startup_admission {
public:
  /// \p ClockRef must outlive the object.
  startup_admission(const clock &ClockRef, startup_limits TheLimits)
      : Clock(&ClockRef), Limits(TheLimits), StartedAt(Clock->now()) {}

  [[nodiscard]] auto decide(const startup_request &Request) const
      -> startup_decision {
    const auto Now = Clock->now();
    const auto WindowEnd = StartedAt + Limits.MaxSinceStart;
    if (Now >= WindowEnd)
      return {startup_verdict::window_over};
    auto HoldUntil = WindowEnd;
    if (Request.TimeLeft)
      HoldUntil = std::min(HoldUntil, Now + *Request.TimeLeft / HoldDivisor);
    if (HoldUntil <= std::max(Now, StartedAt + EarliestServing))
      return {startup_verdict::too_little_time};
    if (Request.HeldRequests >= Limits.MaxRequests ||
        Request.HeldBytes > Limits.MaxBytes ||
        Request.Bytes > Limits.MaxBytes - Request.HeldBytes)
      return {startup_verdict::full};
    return {startup_verdict::held, HoldUntil};
  }

  /// \return the time until the process is expected to serve.
  [[nodiscard]] auto retryAfter() const -> duration {
    const auto Elapsed = sinceStart();
    if (Elapsed < UsualServing)
      return std::max<duration>(UsualServing - Elapsed, MinRetryAfter);
    return std::min<duration>(Elapsed / 2, MaxRetryAfter);
  }

  [[nodiscard]] auto sinceStart() const -> duration {
    return Clock->now() - StartedAt;
  }

private:
  /// A caller waits for a Retry-After of up to a third of its time left, so
  /// that a request held for as long leaves it no less than a refusal would.
  static constexpr int HoldDivisor = 3;
  /// After a loss of all processes gateways get the routing document 0.5 to 0.9
  /// s after their start. A request that must be refused sooner is held in
  /// vain, which costs its caller more than an immediate refusal.
  static constexpr duration EarliestServing = std::chrono::milliseconds(500);
  static constexpr duration UsualServing = std::chrono::milliseconds(900);
  /// Just before the usual time, a shorter Retry-After would make callers
  /// return more than once.
  static constexpr duration MinRetryAfter = std::chrono::milliseconds(100);
  /// After the usual time nothing but the elapsed time tells how long the start
  /// takes, so half of it is expected to follow. The bound is the Retry-After
  /// of gateways that hold no requests.
  static constexpr duration MaxRetryAfter = std::chrono::milliseconds(1200);

  const clock *Clock;
  startup_limits Limits;
  time_point StartedAt;
};

} // namespace acacianotch
