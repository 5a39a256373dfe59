/// \file What a right answer to a request is worth.
#include "controller/answer_worth.h"

#include <algorithm>
#include <cmath>

namespace acacianotch {

namespace {

/// Past requests of a route that count; older ones fade.
constexpr double MaxCount = 1000;

} // namespace

auto answer_worth::estimate(const std::string &Route, std::uint32_t Rank,
                            std::uint32_t PromptTokens,
                            std::uint32_t OutputTokens) -> double {
  const auto Size = PromptTokens + Settings.TokensPerOutput * OutputTokens;
  auto &Mean = Sizes[Route];
  if (Mean.Count >= MaxCount)
    Mean.Sum *= (MaxCount - 1) / Mean.Count;
  Mean.Sum += Size;
  Mean.Count = std::min(Mean.Count + 1, MaxCount);
  const auto Relative = Mean.Sum > 0 ? Size * Mean.Count / Mean.Sum : 1.0;
  const auto Scale =
      Settings.FixedPart +
      (1 - Settings.FixedPart) * std::min(Relative, Settings.MaxSize);
  return Settings.TopRank * std::pow(Settings.RankShare, Rank) * Scale;
}

} // namespace acacianotch
