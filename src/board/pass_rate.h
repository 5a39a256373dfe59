/// \file Estimate of the share of answers that pass their rating.
#pragma once

#include <algorithm>
#include <cmath>

namespace acacianotch {

/// Pass rate that discounts old ratings. The mean over a long window is
/// precise; means over two shorter windows detect a change, upon which the
/// longer windows restart from the one that detected it.
class pass_rate {
public:
  /// Adds one rating.
  /// \return whether a change was detected.
  auto add(bool Passed) -> bool {
    const double Value = Passed ? 1 : 0;
    Long.add(Value, LongWindow);
    Middle.add(Value, MiddleWindow);
    Short.add(Value, ShortWindow);
    ++Ratings;
    if (differs(Short, ShortWindow)) {
      Middle = Short;
      Long = Short;
      return true;
    }
    if (!differs(Middle, MiddleWindow))
      return false;
    Long = Middle;
    return true;
  }

  /// Reduces the weight of the estimate to at most \p Weight ratings and
  /// restarts the detection of changes.
  auto limitWeight(double Weight) -> void {
    Long.Weight = std::min(Long.Weight, Weight);
    Middle = {Long.Mean, 0};
    Short = {Long.Mean, 0};
  }

  /// Scales the weight of the estimate by \p Factor.
  auto decay(double Factor) -> void { Long.Weight *= Factor; }

  /// \return the estimated rate.
  [[nodiscard]] auto mean() const -> double { return Long.Mean; }

  /// \return the effective number of ratings behind the estimate.
  [[nodiscard]] auto weight() const -> double { return Long.Weight; }

  /// \return the number of ratings added.
  [[nodiscard]] auto ratings() const -> double { return Ratings; }

private:
  struct discounted_mean {
    double Mean = 0;
    double Weight = 0;

    auto add(double Value, double Limit) -> void {
      Weight = std::max(std::min(Weight + 1, Limit), 1.0);
      Mean += (Value - Mean) / Weight;
    }
  };

  static constexpr double LongWindow = 8000;  // ratings
  static constexpr double MiddleWindow = 400; // ratings
  static constexpr double ShortWindow = 100;  // ratings
  // Gives about one false detection in 10,000 independent windows.
  static constexpr double ChangeDeviations = 4;

  [[nodiscard]] auto differs(const discounted_mean &Recent, double Limit) const
      -> bool {
    if (Recent.Weight < Limit || Long.Weight < 2 * Limit)
      return false;
    const double Rate = std::clamp(Long.Mean, 0.02, 0.98);
    const double Deviation = std::sqrt(Rate * (1 - Rate) / (2 * Limit));
    return std::abs(Recent.Mean - Long.Mean) > ChangeDeviations * Deviation;
  }

  discounted_mean Long;
  discounted_mean Middle;
  discounted_mean Short;
  double Ratings = 0;
};

} // namespace acacianotch
