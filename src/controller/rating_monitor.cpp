/// \file Detects a rating service that is gone or wrong.
#include "controller/rating_monitor.h"

#include <algorithm>
#include <cmath>

namespace acacianotch {

namespace {

constexpr double MissingWindow = 100; // ratings
constexpr double AbsentShare = 0.6;   // of ratings missing
constexpr double PresentShare = 0.45; // of ratings missing
constexpr double ShiftWindow = 60;    // ratings
// A drift of difficulty does not move the mean of all models this far within
// one window; inverted or constant ratings do.
constexpr double WrongShift = 0.35;
constexpr double PlausibleShift = 0.15;
// Probability of a run of equal ratings below 1e-7 (natural logarithm).
constexpr double WrongSurprise = 16;
constexpr double LeastRun = 20; // ratings
// Keeps a learnt rate near 1 from making a single failure count as proof.
constexpr double RateLimit = 0.02;

auto observeRun(rating_record &Record, bool Passed, double Expected) -> void {
  if (Record.Run == 0 || Passed != Record.RunPassed) {
    Record.Run = 0;
    Record.RunSurprise = 0;
    Record.RunPassed = Passed;
  }
  const double Rate = std::clamp(Expected, RateLimit, 1 - RateLimit);
  Record.Run += 1;
  Record.RunSurprise -= std::log(Passed ? Rate : 1 - Rate);
}

auto observeShift(rating_record &Record, bool Passed, double Expected) -> void {
  Record.WindowWeight = std::min(Record.WindowWeight + 1, ShiftWindow);
  const double Difference = (Passed ? 1 : 0) - Expected;
  Record.Shift += (Difference - Record.Shift) / Record.WindowWeight;
}

auto implausible(const rating_record &Record) -> bool {
  const bool Constant =
      Record.Run >= LeastRun && Record.RunSurprise > WrongSurprise;
  const bool Shifted = Record.WindowWeight >= ShiftWindow / 2 &&
                       std::abs(Record.Shift) > WrongShift;
  return Constant || Shifted;
}

auto plausible(const rating_record &Record) -> bool {
  return Record.WindowWeight >= ShiftWindow && Record.Run < LeastRun &&
         std::abs(Record.Shift) < PlausibleShift;
}

auto nextHealth(const rating_record &Record) -> rating_health {
  if (Record.MissingShare > AbsentShare)
    return rating_health::absent;
  switch (Record.Health) {
  case rating_health::absent:
    return Record.MissingShare < PresentShare ? rating_health::trusted
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
  // The next verdict rests on ratings that arrive from now on.
  Record.WindowWeight = 0;
  Record.Shift = 0;
  Record.Run = 0;
  Record.RunSurprise = 0;
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
  // Two-sided cumulative sum test. At a variance of 0.1 per rating, a false
  // alarm comes about once in a million ratings.
  constexpr double Slack = 0.015;
  constexpr double Limit = 45;
  const double Residual = (Passed ? 1 : 0) - Estimate;
  Record.Rise = std::max(0.0, Record.Rise + Residual - Slack);
  Record.Fall = std::max(0.0, Record.Fall - Residual - Slack);
  if (Record.Rise < Limit && Record.Fall < Limit)
    return false;
  Record.Rise = 0;
  Record.Fall = 0;
  return true;
}

} // namespace acacianotch
