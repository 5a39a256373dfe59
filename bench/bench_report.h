/// \file Spread of a measure over seeds, as JSON.
#pragma once

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

namespace acacianotch::bench {

/// Values of one measure, one per seed.
class spread {
public:
  auto add(double Value) -> void { Values.push_back(Value); }

  [[nodiscard]] auto mean() const -> double {
    double Sum = 0;
    for (const double Value : Values)
      Sum += Value;
    return Sum / static_cast<double>(Values.size());
  }

  /// \return the smallest value that \p Share of the values do not exceed.
  [[nodiscard]] auto quantile(double Share) const -> double {
    auto Sorted = Values;
    std::sort(Sorted.begin(), Sorted.end());
    const auto Rank = std::ceil(Share * static_cast<double>(Sorted.size()));
    return Sorted[static_cast<std::size_t>(std::max(Rank, 1.0)) - 1];
  }

  [[nodiscard]] auto min() const -> double { return quantile(0); }
  [[nodiscard]] auto max() const -> double { return quantile(1); }

  [[nodiscard]] auto json() const -> nlohmann::json {
    const auto Round = [](double Value) {
      return std::round(Value * 1e4) / 1e4;
    };
    return {{"mean", Round(mean())},       {"min", Round(min())},
            {"p50", Round(quantile(0.5))}, {"p95", Round(quantile(0.95))},
            {"max", Round(max())},         {"seeds", Values.size()}};
  }

private:
  std::vector<double> Values;
};

} // namespace acacianotch::bench
