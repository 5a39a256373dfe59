/// \file Likelihood ratios of the evidence on a canary.
#include "controller/version_test.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace acacianotch {

namespace {

using histogram = std::array<double, arm_counters::Buckets>;

// Requests and ratings in the long window of the predecessor's evidence.
constexpr double LongWindow = 4000;
// Requests in the recent window, which follows a change of load, a common fault
// or a fault of the rating service that affects both arms.
constexpr double RecentRequestWindow = 80;
// Ratings in the recent window. Fewer ratings than requests arrive, so that a
// window of the same size would follow too slowly.
constexpr double RecentRatingWindow = 30;
constexpr double MinErrorRate = 0.005;
constexpr double MaxRate = 0.98;
constexpr double LogBucketGrowth = 0.22314355131420976; // ln 1.25
// Share of the distribution that is spread over all buckets. It limits the
// evidence from a single outlier.
constexpr double UniformShare = 0.03;

/// Events among observations.
struct rate_count {
  double Events = 0;
  double Observations = 0;

  [[nodiscard]] auto rate() const -> double {
    return (Events + 0.5) / (Observations + 1);
  }
  [[nodiscard]] auto deviation(double Rate) const -> double {
    return std::sqrt(Rate * (1 - Rate) / (Observations + 1));
  }
};

/// \return the predecessor's rate, moved by one standard deviation in the
/// direction \p Sign to allow for the uncertainty of few observations. The
/// recent rate replaces the long one if it has clearly moved in that direction.
auto conservativeRate(rate_count Long, rate_count Recent, double Sign)
    -> double {
  constexpr double ClearDeviations = 3;
  const double Rate = Long.rate();
  const double Move = Sign * (Recent.rate() - Rate);
  const bool Moved = Move > ClearDeviations * Recent.deviation(Rate);
  const auto &Used = Moved ? Recent : Long;
  return Used.rate() + (Sign * Used.deviation(Used.rate()));
}

/// \return the log likelihood ratio of the rate \p Bad against \p Equal.
auto bernoulliLogRatio(double Equal, double Bad, std::uint64_t Trials,
                       std::uint64_t Successes) -> double {
  const auto SuccessCount = static_cast<double>(Successes);
  const auto FailureCount = static_cast<double>(Trials - Successes);
  return (SuccessCount * std::log(Bad / Equal)) +
         (FailureCount * std::log((1 - Bad) / (1 - Equal)));
}

/// Rates of an equal version, of one that is worse by the margin, and of one
/// that is much worse.
struct rate_hypotheses {
  double Equal = 0;
  double Bad = 0;
  double Worse = 0;
};

auto errorRates(const version_test_settings &Settings,
                const predecessor_record &Predecessor) -> rate_hypotheses {
  const double Equal = std::clamp(
      conservativeRate({Predecessor.Long.Errors, Predecessor.Long.Requests},
                       {Predecessor.Recent.Errors, Predecessor.Recent.Requests},
                       1),
      MinErrorRate, MaxRate);
  const double Bad = std::min(Equal + Settings.ErrorMargin, (1 + MaxRate) / 2);
  return {Equal, Bad, (1 + Bad) / 2};
}

auto passRates(const version_test_settings &Settings,
               const predecessor_record &Predecessor) -> rate_hypotheses {
  const double Equal =
      std::clamp(conservativeRate(
                     {Predecessor.Long.Passed, Predecessor.Long.Rated},
                     {Predecessor.Recent.Passed, Predecessor.Recent.Rated}, -1),
                 1 - MaxRate, 1 - MinErrorRate);
  const double Bad = std::max(Equal - Settings.PassMargin, (1 - MaxRate) / 2);
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
    Share = ((1 - UniformShare) * Share) +
            (UniformShare / static_cast<double>(Shares.size()));
  return Shares;
}

auto firstTokenLogRatio(const version_test_settings &Settings,
                        const predecessor_record &Predecessor,
                        const arm_counters &Delta) -> double {
  const auto Equal = smoothed(Predecessor.Long.FirstToken);
  const auto Recent = smoothed(Predecessor.Recent.FirstToken);
  const auto Shift = static_cast<std::size_t>(
      std::lround(std::log(Settings.FirstTokenFactor) / LogBucketGrowth));
  double Sum = 0;
  for (std::size_t Bucket = 0; Bucket < Equal.size(); ++Bucket) {
    const auto Count = static_cast<double>(Delta.FirstToken[Bucket]);
    const double Bad = Bucket >= Shift ? Equal[Bucket - Shift] : Equal.back();
    // A time that is usual for the predecessor in either window is evidence for
    // an equal version.
    Sum += Count * std::log(Bad / std::max(Equal[Bucket], Recent[Bucket]));
  }
  return Sum;
}

} // namespace

auto discounted_counters::add(const arm_counters &Delta, double RequestLimit,
                              double RatingLimit) -> void {
  const auto KeptShare = [](double Old, std::uint64_t New, double Limit) {
    const double Room = std::max(Limit - static_cast<double>(New), 0.0);
    return Old > Room ? Room / Old : 1.0;
  };
  const double KeptRequests = KeptShare(Requests, Delta.Requests, RequestLimit);
  const double KeptRatings = KeptShare(Rated, Delta.Rated, RatingLimit);
  Requests = (Requests * KeptRequests) + static_cast<double>(Delta.Requests);
  Errors = (Errors * KeptRequests) + static_cast<double>(Delta.Errors);
  Rated = (Rated * KeptRatings) + static_cast<double>(Delta.Rated);
  Passed = (Passed * KeptRatings) + static_cast<double>(Delta.Passed);
  for (std::size_t Index = 0; Index < FirstToken.size(); ++Index)
    FirstToken[Index] = (FirstToken[Index] * KeptRequests) +
                        static_cast<double>(Delta.FirstToken[Index]);
}

auto predecessor_record::add(const arm_counters &Delta) -> void {
  Long.add(Delta, LongWindow, LongWindow);
  Recent.add(Delta, RecentRequestWindow, RecentRatingWindow);
}

auto batchRatio(const version_test_settings &Settings,
                const predecessor_record &Predecessor,
                const arm_counters &Delta) -> batch_ratio {
  constexpr double MinRated = 30; // predecessor ratings
  const auto At = [](test_metric Metric) {
    return static_cast<std::size_t>(Metric);
  };
  batch_ratio Ratio;
  const auto Set = [&](test_metric Metric, std::uint64_t Count, double Log) {
    Ratio.Count[At(Metric)] = Count;
    Ratio.Log[At(Metric)] = Log;
  };
  const auto Errors = errorRates(Settings, Predecessor);
  const auto ErrorLogRatio = [&](double Rate) {
    return bernoulliLogRatio(Errors.Equal, Rate, Delta.Requests, Delta.Errors);
  };
  Set(test_metric::errors, Delta.Requests, ErrorLogRatio(Errors.Bad));
  Set(test_metric::many_errors, Delta.Requests, ErrorLogRatio(Errors.Worse));
  if (Predecessor.Long.Requests > Predecessor.Long.Errors)
    Set(test_metric::first_token, Delta.Requests - Delta.Errors,
        firstTokenLogRatio(Settings, Predecessor, Delta));
  if (Predecessor.Long.Rated < MinRated)
    return Ratio;
  const auto Passes = passRates(Settings, Predecessor);
  const auto PassLogRatio = [&](double Rate) {
    return bernoulliLogRatio(Passes.Equal, Rate, Delta.Rated, Delta.Passed);
  };
  Set(test_metric::ratings, Delta.Rated, PassLogRatio(Passes.Bad));
  Set(test_metric::poor_ratings, Delta.Rated, PassLogRatio(Passes.Worse));
  return Ratio;
}

} // namespace acacianotch
