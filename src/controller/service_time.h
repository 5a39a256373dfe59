/// \file Estimate of the mean service time.
#pragma once

#include "core/clock_type.h"

#include <algorithm>
#include <cmath>

namespace acacianotch {

/// Exponentially weighted mean of service times, initialised with a prior.
class service_time {
public:
  explicit service_time(duration Prior)
      : Mean(micros(Prior)), MeanLog(std::log(micros(Prior))) {}

  /// Adds one observation.
  auto add(duration Observed) -> void {
    constexpr double Weight = 1.0 / 32.0;
    Mean += Weight * (micros(Observed) - Mean);
    MeanLog += Weight * (std::log(micros(Observed)) - MeanLog);
  }

  /// \return the arithmetic mean, to estimate the time of a queue.
  [[nodiscard]] auto mean() const -> duration {
    return duration{std::llround(Mean)};
  }

  /// \return the geometric mean, to estimate the time of a single request; it
  /// is robust against a few very slow ones.
  [[nodiscard]] auto geometricMean() const -> duration {
    return duration{std::llround(std::exp(MeanLog))};
  }

private:
  static auto micros(duration Time) -> double {
    return std::max(1.0, static_cast<double>(Time.count()));
  }

  double Mean;
  double MeanLog;
};

} // namespace acacianotch
