/// \file Budget for retries and hedges as a share of traffic.
#pragma once

#include <algorithm>

namespace acacianotch {

/// Token bucket that allows extra attempts (retries or hedges) in proportion to
/// first attempts, so that they cannot multiply the load when many requests
/// fail at once.
class traffic_budget {
public:
  /// Allows \p ExtraShare extra attempts per first attempt. At most \p MaxBurst
  /// unused ones are kept.
  explicit traffic_budget(double ExtraShare, double MaxBurst = 10.0)
      : Share(ExtraShare), Burst(MaxBurst), Credits(MaxBurst) {}

  /// Counts a first attempt.
  auto firstAttempt() -> void { Credits = std::min(Burst, Credits + Share); }

  /// Charges an extra attempt if one is allowed now. \return whether it is.
  [[nodiscard]] auto tryAcquire() -> bool {
    if (Credits < 1.0)
      return false;
    Credits -= 1.0;
    return true;
  }

private:
  double Share;
  double Burst;
  double Credits;
};

} // namespace acacianotch
