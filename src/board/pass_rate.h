/// \file Estimate of the share of answers that the rating service passes.
#pragma once

#include <algorithm>
#include <cmath>

namespace acacianotch {

/// Discounted pass rate. A long memory gives precision; a short one detects a
/// change, upon which the long memory restarts from the short one.
class pass_rate {
public:
  pass_rate() = default;

  /// Starts from \p Mean as if it came from \p Weight ratings.
  pass_rate(double Mean, double Weight) : Long{Mean, Weight}, Short{Mean, 0} {}

  /// Adds one rating.
  auto add(bool Passed) -> void {
    const double Value = Passed ? 1 : 0;
    Long.add(Value, LongWeight);
    Short.add(Value, ShortWeight);
    ++Ratings;
    if (changed())
      Long = Short;
  }

  /// \return the estimated rate.
  [[nodiscard]] auto mean() const -> double { return Long.Mean; }

  /// \return the number of ratings that the estimate is worth.
  [[nodiscard]] auto weight() const -> double { return Long.Weight; }

  /// \return the number of ratings added.
  [[nodiscard]] auto ratings() const -> double { return Ratings; }

  /// \return the variance of the estimate.
  [[nodiscard]] auto variance() const -> double {
    // One imaginary pass and failure keep the variance above 0 when all
    // ratings agree.
    const double Smooth = ((Long.Mean * Long.Weight) + 1) / (Long.Weight + 2);
    return Smooth * (1 - Smooth) / (Long.Weight + 1);
  }

private:
  struct discounted_mean {
    double Mean = 0;
    double Weight = 0;

    auto add(double Value, double Limit) -> void {
      Weight = std::min(Weight + 1, Limit);
      Mean += (Value - Mean) / Weight;
    }
  };

  static constexpr double LongWeight = 3000; // ratings
  static constexpr double ShortWeight = 100; // ratings
  // Four standard deviations: about one false restart in 10,000 independent
  // short windows.
  static constexpr double ChangeDeviations = 4;

  [[nodiscard]] auto changed() const -> bool {
    if (Short.Weight < ShortWeight || Long.Weight < 2 * ShortWeight)
      return false;
    const double Rate = std::clamp(Long.Mean, 0.02, 0.98);
    const double Deviation = std::sqrt(Rate * (1 - Rate) / (2 * ShortWeight));
    return std::abs(Short.Mean - Long.Mean) > ChangeDeviations * Deviation;
  }

  discounted_mean Long;
  discounted_mean Short;
  double Ratings = 0;
};

} // namespace acacianotch
