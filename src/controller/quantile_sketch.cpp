/// \file Approximate quantiles of recent durations.
#include "controller/quantile_sketch.h"

#include <algorithm>
#include <cmath>

namespace acacianotch {

namespace {

// 8 buckets per doubling, from 1 microsecond to 2^32 microseconds.
constexpr double BucketsPerDoubling = 8.0;
constexpr std::uint64_t DecayInterval = 1'024;
constexpr float DecayFactor = 0.5F;

auto upperBound(std::size_t Bucket) -> duration {
  const auto Exponent = static_cast<double>(Bucket + 1) / BucketsPerDoubling;
  return duration{std::llround(std::exp2(Exponent))};
}

} // namespace

auto quantile_sketch::add(duration Observed) -> void {
  const auto Micros = std::max(1.0, static_cast<double>(Observed.count()));
  const auto Bucket =
      static_cast<std::size_t>(std::log2(Micros) * BucketsPerDoubling);
  Buckets[std::min(Bucket, BucketCount - 1)] += 1.0F;
  Total += 1.0F;
  if (++Samples % DecayInterval == 0)
    decay();
}

auto quantile_sketch::decay() -> void {
  for (auto &Bucket : Buckets)
    Bucket *= DecayFactor;
  Total *= DecayFactor;
}

auto quantile_sketch::quantile(double Share) const -> duration {
  if (Samples == 0)
    return duration{0};
  const auto Wanted = static_cast<float>(Share) * Total;
  float Sum = 0.0F;
  for (std::size_t Index = 0; Index < BucketCount; ++Index) {
    Sum += Buckets[Index];
    if (Sum >= Wanted && Sum > 0.0F)
      return upperBound(Index);
  }
  return upperBound(BucketCount - 1);
}

} // namespace acacianotch
