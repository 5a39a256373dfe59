/// \file Estimated time to first token by model and prompt length.
#include "controller/first_token_time.h"

#include <algorithm>

namespace acacianotch {

namespace {

/// Factor on the weight of all earlier answers at each new one: the estimate
/// follows about the last 100 answers, a few seconds of one gateway's traffic.
constexpr double Decay = 0.99;
constexpr double MinSamples = 8;
/// Prompt lengths in thousands of tokens keep the sums of similar magnitude.
constexpr double TokensPerKilotoken = 1000;
/// Prompt length at which attention, which grows with the square of the length,
/// takes as long as the rest of the prefill.
constexpr double AttentionCrossoverKilotokens = 64;

/// \return the prefill work of a prompt, in units of the work of 1,000 tokens
/// of a short prompt.
auto prefillWork(std::uint32_t Tokens) -> double {
  const auto Length = Tokens / TokensPerKilotoken;
  return Length * (1 + Length / AttentionCrossoverKilotokens);
}

} // namespace

auto first_token_time::observe(const std::string &Model, std::uint32_t Tokens,
                               double Seconds) -> void {
  auto &Fit = Fits[Model];
  const auto X = prefillWork(Tokens);
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
  const auto Found = Fits.find(Model);
  if (Found == Fits.end() || Found->second.Count < MinSamples)
    return std::nullopt;
  const auto &Fit = Found->second;
  const auto Determinant = Fit.Count * Fit.XX - Fit.X * Fit.X;
  // The slope is undefined if all prompts have the same length; the mean is
  // used then.
  const auto Slope =
      Determinant < 1e-6
          ? 0.0
          : std::max(0.0, (Fit.Count * Fit.XY - Fit.X * Fit.Y) / Determinant);
  const auto Base = std::max(0.0, (Fit.Y - Slope * Fit.X) / Fit.Count);
  return Base + Slope * prefillWork(Tokens);
}

} // namespace acacianotch
