/// \file Learnt mean service time.
#pragma once

#include "core/clock_type.h"

#include <cmath>

namespace acacianotch {

/// Exponentially weighted mean of service times, starting from a prior.
class service_time {
public:
  explicit service_time(duration Prior)
      : Mean(static_cast<double>(Prior.count())) {}

  /// Adds one observation.
  auto add(duration Observed) -> void {
    constexpr double Weight = 1.0 / 32.0;
    Mean += Weight * (static_cast<double>(Observed.count()) - Mean);
  }

  /// \return the mean.
  [[nodiscard]] auto mean() const -> duration {
    return duration{std::llround(Mean)};
  }

private:
  double Mean;
};

} // namespace acacianotch
