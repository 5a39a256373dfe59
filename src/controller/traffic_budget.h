/// \file Budget for extra attempts as a share of traffic.
#pragma once

#include <algorithm>

namespace acacianotch {

/// Allows extra attempts (retries or hedges) in proportion to first attempts,
/// so that they never multiply the load when many requests fail at once.
class traffic_budget {
public:
  /// \p ExtraShare extra attempts per first attempt; at most \p MaxSaved are
  /// saved up in quiet times.
  explicit traffic_budget(double ExtraShare, double MaxSaved = 10.0)
      : Share(ExtraShare), Limit(MaxSaved), Saved(MaxSaved) {}

  /// Counts a first attempt.
  auto firstAttempt() -> void { Saved = std::min(Limit, Saved + Share); }

  /// \return whether an extra attempt may be made now, and charges it.
  [[nodiscard]] auto tryTake() -> bool {
    if (Saved < 1.0)
      return false;
    Saved -= 1.0;
    return true;
  }

private:
  double Share;
  double Limit;
  double Saved;
};

} // namespace acacianotch
