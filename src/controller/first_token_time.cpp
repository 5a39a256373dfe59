/// \file How long models take until their first token, by prompt length.
#include "controller/first_token_time.h"

#include <algorithm>

namespace acacianotch {

namespace {

/// Weight of older answers at each new one: about the last 100 count, which is
/// a few seconds of one gateway's traffic.
constexpr double Decay = 0.99;
constexpr double LeastCount = 8;
/// Prompts in thousands of tokens keep the sums in one range.
constexpr double Thousand = 1000;
/// Thousands of prompt tokens at which attention, which grows with the square
/// of the length, takes as long as the rest of the work.
constexpr double AttentionThousands = 64;

/// \return the work of reading a prompt, in thousands of tokens of a short
/// one.
auto workOf(std::uint32_t Tokens) -> double {
  const auto Length = Tokens / Thousand;
  return Length * (1 + Length / AttentionThousands);
}

} // namespace

auto first_token_time::observe(const std::string &Model, std::uint32_t Tokens,
                               double Seconds) -> void {
  auto &Fit = Fits[Model];
  const auto X = workOf(Tokens);
  for (auto *Sum : {&Fit.Count, &Fit.X, &Fit.Y, &Fit.XX, &Fit.XY})
    *Sum *= Decay;
  Fit.Count += 1;
  Fit.X += X;
  Fit.Y += Seconds;
  Fit.XX += X * X;
  Fit.XY += X * Seconds;
}

auto first_token_time::expect(const std::string &Model,
                              std::uint32_t Tokens) const
    -> std::optional<double> {
  const auto Place = Fits.find(Model);
  if (Place == Fits.end() || Place->second.Count < LeastCount)
    return std::nullopt;
  const auto &Fit = Place->second;
  const auto Spread = Fit.Count * Fit.XX - Fit.X * Fit.X;
  // Without prompts of different lengths only the mean is known.
  const auto Slope =
      Spread < 1e-6
          ? 0.0
          : std::max(0.0, (Fit.Count * Fit.XY - Fit.X * Fit.Y) / Spread);
  const auto Base = std::max(0.0, (Fit.Y - Slope * Fit.X) / Fit.Count);
  return Base + Slope * workOf(Tokens);
}

} // namespace acacianotch
