/// \file Approximate quantiles of recent durations.
#pragma once

#include "core/clock_type.h"

#include <array>
#include <cstdint>

namespace acacianotch {

/// Histogram with logarithmic buckets and exponentially decaying samples.
class quantile_sketch {
public:
  /// Adds one observation.
  auto add(duration Observed) -> void;

  /// \return the quantile \p Share of the recent samples, rounded up by at most
  /// one bucket (9%); 0 without samples.
  [[nodiscard]] auto quantile(double Share) const -> duration;

  /// \return total number of samples added.
  [[nodiscard]] auto samples() const -> std::uint64_t { return Samples; }

private:
  static constexpr std::size_t BucketCount = 256;
  auto decay() -> void;

  std::array<float, BucketCount> Buckets{};
  float Total = 0.0F;
  std::uint64_t Samples = 0;
};

} // namespace acacianotch
