/// \file Mean of a latency of one backend server, to compare it with its peers.
#include "controller/peer_signal.h"

#include <algorithm>
#include <cmath>

namespace acacianotch {

auto peer_signal::logOf(duration Time) -> double {
  return std::log(std::max(1.0, static_cast<double>(Time.count())));
}

auto peer_signal::begin(std::uint64_t Number, time_point Now) -> void {
  Waiting.push_back({Number, Now});
}

auto peer_signal::end(std::uint64_t Number, time_point Now)
    -> std::optional<duration> {
  const auto Found =
      std::find_if(Waiting.begin(), Waiting.end(), [&](const waiting &Attempt) {
        return Attempt.Number == Number;
      });
  if (Found == Waiting.end())
    return std::nullopt;
  const auto Time = Now - Found->Since;
  Waiting.erase(Found);
  return Time;
}

auto peer_signal::age(std::uint64_t Number, time_point Now) const
    -> std::optional<duration> {
  for (const auto &Attempt : Waiting)
    if (Attempt.Number == Number)
      return Now - Attempt.Since;
  return std::nullopt;
}

auto peer_signal::observe(duration Time) -> void { add(Mean, logOf(Time)); }

// Uses logarithms because latencies are skewed: a single long prompt must not
// make a backend server look slow.
auto peer_signal::add(estimate &Estimate, double Log) const -> void {
  if (Estimate.Samples++ == 0)
    Estimate.MeanLog = Log;
  else
    Estimate.MeanLog += Weight * (Log - Estimate.MeanLog);
}

auto peer_signal::withOverdue(double Median, time_point Now) const -> estimate {
  auto Estimate = Mean;
  if (Estimate.Samples == 0)
    Estimate.MeanLog = Median;
  for (const auto &Attempt : Waiting) {
    const auto Log = logOf(Now - Attempt.Since);
    if (Log <= std::max(Estimate.MeanLog, Median))
      break;
    Estimate.MeanLog += Weight * (Log - Estimate.MeanLog);
    ++Estimate.Samples;
  }
  return Estimate;
}

} // namespace acacianotch
