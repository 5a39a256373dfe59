/// \file Estimate of the share of answers that the rating service passes.
#pragma once

#include <algorithm>
#include <cmath>

namespace acacianotch {

/// Discounted pass rate. A long memory gives precision; two shorter ones detect
/// a change, upon which the longer ones restart from the one that showed it.
class pass_rate {
public:
  /// Adds one rating.
  /// \return whether a change was detected.
  auto add(bool Passed) -> bool {
    const double Value = Passed ? 1 : 0;
    Long.add(Value, LongWeight);
    Middle.add(Value, MiddleWeight);
    Short.add(Value, ShortWeight);
    ++Ratings;
    if (differs(Short, ShortWeight)) {
      Middle = Short;
      Long = Short;
      return true;
    }
    if (!differs(Middle, MiddleWeight))
      return false;
    Long = Middle;
    return true;
  }

  /// Keeps at most \p Weight ratings' worth of what is known.
  auto forget(double Weight) -> void {
    Long.Weight = std::min(Long.Weight, Weight);
    Middle = {Long.Mean, 0};
    Short = {Long.Mean, 0};
  }

  /// Scales the weight of what is known by \p Factor.
  auto age(double Factor) -> void { Long.Weight *= Factor; }

  /// \return the estimated rate.
  [[nodiscard]] auto mean() const -> double { return Long.Mean; }

  /// \return the number of ratings that the estimate is worth.
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

  static constexpr double LongWeight = 8000;  // ratings
  static constexpr double MiddleWeight = 400; // ratings
  static constexpr double ShortWeight = 100;  // ratings
  // About one false restart in 10,000 independent windows.
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
