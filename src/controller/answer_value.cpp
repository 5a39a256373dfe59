/// \file Value of a correct answer to a request.
#include "controller/answer_value.h"

#include <algorithm>
#include <cmath>

namespace acacianotch {

namespace {

/// Effective number of past requests in the mean of a route; older ones are
/// discounted.
constexpr double MaxCount = 1000;

} // namespace

auto answer_value::estimate(const std::string &Route, std::uint32_t Rank,
                            std::uint32_t PromptTokens,
                            std::uint32_t OutputTokens) -> double {
  const auto Size =
      PromptTokens + Settings.PromptTokensPerOutputToken * OutputTokens;
  auto &Mean = Sizes[Route];
  if (Mean.Count >= MaxCount)
    Mean.Sum *= (MaxCount - 1) / Mean.Count;
  Mean.Sum += Size;
  Mean.Count = std::min(Mean.Count + 1, MaxCount);
  const auto RelativeSize = Mean.Sum > 0 ? Size * Mean.Count / Mean.Sum : 1.0;
  const auto Scale = Settings.FixedShare +
                     (1 - Settings.FixedShare) *
                         std::min(RelativeSize, Settings.MaxRelativeSize);
  return Settings.TopRankValue * std::pow(Settings.RankFactor, Rank) * Scale;
}

} // namespace acacianotch
