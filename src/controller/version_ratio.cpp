/// \file Likelihood ratios of canary evidence.
#include "controller/version_test.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace acacianotch {

namespace {

using histogram = std::array<double, arm_counters::Buckets>;

// Requests and ratings over which the predecessor's behaviour counts.
constexpr double LongMemory = 4000;
// The same for a recent copy, which follows a change of load, a common fault or
// a fault of the rating service that meets both arms.
constexpr double RecentRequests = 80;
// Fewer ratings than requests arrive, so they must count faster.
constexpr double RecentRatings = 30;
constexpr double LeastErrorRate = 0.005;
constexpr double RateLimit = 0.98;
constexpr double LogGrowth = 0.22314355131420976; // ln 1.25
// Share of the distribution that may lie anywhere. It bounds what a single
// outlier can prove.
constexpr double Anywhere = 0.03;

struct rate_count {
  double Part = 0;
  double Whole = 0;

  [[nodiscard]] auto rate() const -> double {
    return (Part + 0.5) / (Whole + 1);
  }
  [[nodiscard]] auto deviation(double Rate) const -> double {
    return std::sqrt(Rate * (1 - Rate) / (Whole + 1));
  }
};

/// \return the predecessor's rate, moved by one standard deviation in the
/// direction \p Sign so that few observations do not claim too much. The recent
/// rate replaces the long one if it has clearly moved in that direction.
auto cautiousRate(rate_count Long, rate_count Recent, double Sign) -> double {
  constexpr double ClearDeviations = 3;
  const double Rate = Long.rate();
  const double Move = Sign * (Recent.rate() - Rate);
  const bool Moved = Move > ClearDeviations * Recent.deviation(Rate);
  const auto &Used = Moved ? Recent : Long;
  return Used.rate() + (Sign * Used.deviation(Used.rate()));
}

auto bernoulliLog(double Equal, double Bad, std::uint64_t Trials,
                  std::uint64_t Successes) -> double {
  const auto Hits = static_cast<double>(Successes);
  const auto Misses = static_cast<double>(Trials - Successes);
  return (Hits * std::log(Bad / Equal)) +
         (Misses * std::log((1 - Bad) / (1 - Equal)));
}

/// Rates of an equal version, one worse by the margin and one much worse.
struct rate_hypotheses {
  double Equal = 0;
  double Bad = 0;
  double Worse = 0;
};

auto errorRates(const version_test_settings &Settings,
                const predecessor_record &Known) -> rate_hypotheses {
  const double Equal =
      std::clamp(cautiousRate({Known.Long.Errors, Known.Long.Requests},
                              {Known.Recent.Errors, Known.Recent.Requests}, 1),
                 LeastErrorRate, RateLimit);
  const double Bad =
      std::min(Equal + Settings.ErrorMargin, (1 + RateLimit) / 2);
  return {Equal, Bad, (1 + Bad) / 2};
}

auto passRates(const version_test_settings &Settings,
               const predecessor_record &Known) -> rate_hypotheses {
  const double Equal =
      std::clamp(cautiousRate({Known.Long.Passed, Known.Long.Rated},
                              {Known.Recent.Passed, Known.Recent.Rated}, -1),
                 1 - RateLimit, 1 - LeastErrorRate);
  const double Bad = std::max(Equal - Settings.PassMargin, (1 - RateLimit) / 2);
  return {Equal, Bad, Bad / 2};
}

/// \return the distribution of \p Counts, smoothed over neighbours.
auto smoothed(const histogram &Counts) -> histogram {
  constexpr std::array Kernel{0.1, 0.2, 0.4, 0.2, 0.1};
  histogram Shares{};
  const double Total =
      std::max(std::accumulate(Counts.begin(), Counts.end(), 0.0), 1e-9);
  const std::size_t Last = Counts.size() - 1;
  for (std::size_t Bucket = 0; Bucket <= Last; ++Bucket)
    for (std::size_t Step = 0; Step < Kernel.size(); ++Step) {
      // The kernel is centred on its third value.
      const auto To = std::clamp<std::size_t>(Bucket + Step, 2, Last + 2) - 2;
      Shares[To] += Kernel[Step] * Counts[Bucket] / Total;
    }
  for (double &Share : Shares)
    Share = ((1 - Anywhere) * Share) +
            (Anywhere / static_cast<double>(Shares.size()));
  return Shares;
}

auto firstTokenLog(const version_test_settings &Settings,
                   const predecessor_record &Known, const arm_counters &Delta)
    -> double {
  const auto Equal = smoothed(Known.Long.FirstToken);
  const auto Recent = smoothed(Known.Recent.FirstToken);
  const auto Shift = static_cast<std::size_t>(
      std::lround(std::log(Settings.FirstTokenFactor) / LogGrowth));
  double Sum = 0;
  for (std::size_t Bucket = 0; Bucket < Equal.size(); ++Bucket) {
    const auto Count = static_cast<double>(Delta.FirstToken[Bucket]);
    const double Bad = Bucket >= Shift ? Equal[Bucket - Shift] : Equal.back();
    // A time that the predecessor shows now or showed lately speaks for an
    // equal version.
    Sum += Count * std::log(Bad / std::max(Equal[Bucket], Recent[Bucket]));
  }
  return Sum;
}

} // namespace

auto discounted_counters::add(const arm_counters &Delta, double RequestLimit,
                              double RatingLimit) -> void {
  const auto Kept = [](double Old, std::uint64_t New, double Limit) {
    const double Room = std::max(Limit - static_cast<double>(New), 0.0);
    return Old > Room ? Room / Old : 1.0;
  };
  const double KeptRequests = Kept(Requests, Delta.Requests, RequestLimit);
  const double KeptRatings = Kept(Rated, Delta.Rated, RatingLimit);
  Requests = (Requests * KeptRequests) + static_cast<double>(Delta.Requests);
  Errors = (Errors * KeptRequests) + static_cast<double>(Delta.Errors);
  Rated = (Rated * KeptRatings) + static_cast<double>(Delta.Rated);
  Passed = (Passed * KeptRatings) + static_cast<double>(Delta.Passed);
  for (std::size_t Index = 0; Index < FirstToken.size(); ++Index)
    FirstToken[Index] = (FirstToken[Index] * KeptRequests) +
                        static_cast<double>(Delta.FirstToken[Index]);
}

auto predecessor_record::add(const arm_counters &Delta) -> void {
  Long.add(Delta, LongMemory, LongMemory);
  Recent.add(Delta, RecentRequests, RecentRatings);
}

auto batchRatio(const version_test_settings &Settings,
                const predecessor_record &Known, const arm_counters &Delta)
    -> batch_ratio {
  constexpr double LeastRated = 30; // predecessor ratings
  const auto At = [](test_metric Metric) {
    return static_cast<std::size_t>(Metric);
  };
  batch_ratio Ratio;
  const auto Set = [&](test_metric Metric, std::uint64_t Count, double Log) {
    Ratio.Count[At(Metric)] = Count;
    Ratio.Log[At(Metric)] = Log;
  };
  const auto Errors = errorRates(Settings, Known);
  const auto ErrorLog = [&](double Rate) {
    return bernoulliLog(Errors.Equal, Rate, Delta.Requests, Delta.Errors);
  };
  Set(test_metric::errors, Delta.Requests, ErrorLog(Errors.Bad));
  Set(test_metric::many_errors, Delta.Requests, ErrorLog(Errors.Worse));
  if (Known.Long.Requests > Known.Long.Errors)
    Set(test_metric::first_token, Delta.Requests - Delta.Errors,
        firstTokenLog(Settings, Known, Delta));
  if (Known.Long.Rated < LeastRated)
    return Ratio;
  const auto Passes = passRates(Settings, Known);
  const auto PassLog = [&](double Rate) {
    return bernoulliLog(Passes.Equal, Rate, Delta.Rated, Delta.Passed);
  };
  Set(test_metric::ratings, Delta.Rated, PassLog(Passes.Bad));
  Set(test_metric::poor_ratings, Delta.Rated, PassLog(Passes.Worse));
  return Ratio;
}

} // namespace acacianotch
