/// \file Fake rating service with noise, delay and failures.
#pragma once

#include "controller/cascade_records.h"
#include "core/clock_type.h"
#include "core/random_type.h"

#include <cmath>
#include <cstdint>

namespace acacianotch::bench {

/// How the service behaves.
enum class rating_mode : std::uint8_t {
  normal,      ///< Verdicts with noise.
  unavailable, ///< No reply.
  inverted,    ///< Passes bad answers and fails good ones.
  all_pass,    ///< Passes everything.
  all_fail,    ///< Fails everything.
};

/// Settings of the service.
struct rating_service_settings {
  double Noise = 0.02;  ///< Probability of a wrong verdict.
  double Failure = 0;   ///< Probability of no verdict.
  double MeanDelay = 1; ///< Seconds; exponentially distributed.
  double TimeLimit = 5; ///< Timeout of the caller in seconds.
  double Cost = 60;     ///< Micro-units per rating.
  double Target = 0.88; ///< Quality target of the route.

  /// \return the share of ratings that do not arrive in normal mode.
  [[nodiscard]] auto missingShare() const -> double {
    const double Late = std::exp(-TimeLimit / MeanDelay);
    return 1 - ((1 - Failure) * (1 - Late));
  }

  /// \return the probability that a correct service passes the answer.
  [[nodiscard]] auto passRate(bool Good) const -> double {
    return Good ? 1 - Noise : Noise;
  }
};

/// A verdict and the time until the caller receives it.
struct rating_reply {
  rating_outcome Outcome = rating_outcome::missing;
  duration Delay{};
};

inline auto seconds(double Value) -> duration {
  return duration(static_cast<std::int64_t>(Value * 1e6));
}

/// Rates one answer.
inline auto rate(const rating_service_settings &Settings, rating_mode Mode,
                 bool Good, seeded_random &Random) -> rating_reply {
  const double Delay = -Settings.MeanDelay * std::log(1 - randomUnit(Random));
  const bool Fails = randomUnit(Random) < Settings.Failure;
  bool Passes = randomUnit(Random) < Settings.passRate(Good);
  if (Mode == rating_mode::unavailable || Fails || Delay > Settings.TimeLimit)
    return {rating_outcome::missing, seconds(Settings.TimeLimit)};
  if (Mode == rating_mode::inverted)
    Passes = !Passes;
  if (Mode == rating_mode::all_pass)
    Passes = true;
  if (Mode == rating_mode::all_fail)
    Passes = false;
  return {Passes ? rating_outcome::passed : rating_outcome::failed,
          seconds(Delay)};
}

} // namespace acacianotch::bench
