/// \file Health of the rating service: detects missing and implausible ratings.
#include "controller/rating_monitor.h"

#include <algorithm>
#include <cmath>

namespace acacianotch {

namespace {

constexpr double MissingWindow = 100; // ratings
// Share of missing ratings above which the service counts as absent, and below
// which it counts as recovered.
constexpr double AbsentMissingShare = 0.6;
constexpr double RecoveredMissingShare = 0.45;
constexpr double ShiftWindow = 60; // ratings
// Deviation of the pass rate from its expectation. Changes of difficulty do not
// shift the mean of all models this far within one window; inverted or constant
// ratings do.
constexpr double ImplausibleShift = 0.35;
constexpr double PlausibleShift = 0.15;
// Negative natural logarithm of the probability of a run of equal ratings; 16
// is a probability of about 1e-7.
constexpr double ImplausibleSurprisal = 16;
constexpr double MinRun = 20; // ratings
// Limits the expected rate, so that a single failure is no proof when an
// estimate is close to 1.
constexpr double MinExpectedRate = 0.02;

auto observeRun(rating_record &Record, bool Passed, double Expected) -> void {
  if (Record.Run == 0 || Passed != Record.RunPassed) {
    Record.Run = 0;
    Record.RunSurprisal = 0;
    Record.RunPassed = Passed;
  }
  const double Rate =
      std::clamp(Expected, MinExpectedRate, 1 - MinExpectedRate);
  Record.Run += 1;
  Record.RunSurprisal -= std::log(Passed ? Rate : 1 - Rate);
}

auto observeShift(rating_record &Record, bool Passed, double Expected) -> void {
  Record.WindowWeight = std::min(Record.WindowWeight + 1, ShiftWindow);
  const double Difference = (Passed ? 1 : 0) - Expected;
  Record.Shift += (Difference - Record.Shift) / Record.WindowWeight;
}

auto implausible(const rating_record &Record) -> bool {
  const bool Constant =
      Record.Run >= MinRun && Record.RunSurprisal > ImplausibleSurprisal;
  const bool Shifted = Record.WindowWeight >= ShiftWindow / 2 &&
                       std::abs(Record.Shift) > ImplausibleShift;
  return Constant || Shifted;
}

auto plausible(const rating_record &Record) -> bool {
  return Record.WindowWeight >= ShiftWindow && Record.Run < MinRun &&
         std::abs(Record.Shift) < PlausibleShift;
}

auto nextHealth(const rating_record &Record) -> rating_health {
  if (Record.MissingShare > AbsentMissingShare)
    return rating_health::absent;
  switch (Record.Health) {
  case rating_health::absent:
    return Record.MissingShare < RecoveredMissingShare ? rating_health::trusted
                                                       : rating_health::absent;
  case rating_health::wrong:
    return plausible(Record) ? rating_health::trusted : rating_health::wrong;
  default:
    return implausible(Record) ? rating_health::wrong : rating_health::trusted;
  }
}

auto updateHealth(rating_record &Record) -> void {
  const auto Health = nextHealth(Record);
  if (Health == Record.Health)
    return;
  Record.Health = Health;
  // The next change of health is based only on ratings that arrive after this
  // one.
  Record.WindowWeight = 0;
  Record.Shift = 0;
  Record.Run = 0;
  Record.RunSurprisal = 0;
}

} // namespace

auto observeArrival(rating_record &Record, bool Arrived) -> void {
  const double Missing = Arrived ? 0 : 1;
  Record.MissingShare += (Missing - Record.MissingShare) / MissingWindow;
  updateHealth(Record);
}

auto observeVerdict(rating_record &Record, bool Passed, double Expected)
    -> void {
  observeRun(Record, Passed, Expected);
  observeShift(Record, Passed, Expected);
  updateHealth(Record);
}

auto observeDrift(rating_record &Record, bool Passed, double Estimate) -> bool {
  // Two-sided CUSUM test. At a variance of 0.1 per rating, it gives about one
  // false alarm in a million ratings.
  constexpr double Slack = 0.015;
  constexpr double Limit = 45;
  const double Residual = (Passed ? 1 : 0) - Estimate;
  Record.PositiveCusum = std::max(0.0, Record.PositiveCusum + Residual - Slack);
  Record.NegativeCusum = std::max(0.0, Record.NegativeCusum - Residual - Slack);
  if (Record.PositiveCusum < Limit && Record.NegativeCusum < Limit)
    return false;
  Record.PositiveCusum = 0;
  Record.NegativeCusum = 0;
  return true;
}

} // namespace acacianotch
