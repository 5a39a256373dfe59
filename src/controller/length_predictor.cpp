/// \file Prediction of answer lengths, to mark long work.
#include "controller/length_predictor.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace acacianotch {

namespace {

constexpr std::size_t LeastCapacity = 16;
// Answers after which a record counts as much as the level before it.
constexpr double ParentWeight = 8;
// Answers over which a mean forgets.
constexpr double Memory = 200;

using level_keys = std::array<std::uint64_t, 3>;

/// Keys from the most general level to the most specific one.
auto keysOf(const length_features &Features) -> level_keys {
  const auto Hash = [](std::string_view Text, std::uint64_t Seed) {
    return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
  };
  const auto ByClass = Hash(Features.Class, 1);
  const auto ByAccount = Hash(Features.Account.Text, ByClass);
  // Callers that set a limit for one purpose use nearly the same value.
  const auto Magnitude = std::bit_width(Features.MaxTokens.value_or(0));
  const auto ByLimit =
      XXH3_64bits_withSeed(&Magnitude, sizeof Magnitude, ByAccount);
  return {ByClass, ByAccount, ByLimit};
}

} // namespace

auto length_predictor::create(length_settings Settings)
    -> result<length_predictor> {
  if (Settings.Capacity < LeastCapacity)
    return failure::of(errc::bad_settings, "capacity must be at least 16");
  if (!(Settings.FirstGuess >= 0 && Settings.FirstGuess < 1e9))
    return failure::of(errc::bad_settings, "first guess is out of range");
  return length_predictor(Settings);
}

auto length_predictor::predict(const length_features &Features) const
    -> length_prediction {
  double Tokens = Settings.FirstGuess;
  for (const auto Key : keysOf(Features)) {
    const auto *Record = Board.find(Key);
    if (Record == nullptr)
      continue;
    Tokens = ((Record->Tokens * Record->Weight) + (Tokens * ParentWeight)) /
             (Record->Weight + ParentWeight);
  }
  if (Features.MaxTokens)
    Tokens = std::min(Tokens, static_cast<double>(*Features.MaxTokens));
  return {Tokens, Tokens > LongWorkTokens};
}

auto length_predictor::observe(const length_features &Features,
                               std::uint32_t OutputTokens) -> void {
  const auto Keys = keysOf(Features);
  // The class is used last, so that it is the last to be dropped.
  for (auto Key = Keys.rbegin(); Key != Keys.rend(); ++Key) {
    auto &Record = Board.use(*Key);
    Record.Weight = std::min(Record.Weight + 1, Memory);
    Record.Tokens += (OutputTokens - Record.Tokens) / Record.Weight;
  }
}

} // namespace acacianotch
