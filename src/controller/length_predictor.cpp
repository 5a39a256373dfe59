/// \file Prediction of answer lengths, to classify long work.
#include "controller/length_predictor.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace acacianotch {

namespace {

constexpr std::size_t MinCapacity = 16;
// Number of answers at which a record has the same weight as the prediction of
// the level above it.
constexpr double ParentWeight = 8;
// Limit on the weight of a mean in answers, so that it follows changes.
constexpr double MaxWeight = 200;

using level_keys = std::array<std::uint64_t, 3>;

/// \return the keys of all levels, the most general one first.
auto keysOf(const length_features &Features) -> level_keys {
  const auto Hash = [](std::string_view Text, std::uint64_t Seed) {
    return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
  };
  const auto ByClass = Hash(Features.Class, 1);
  const auto ByAccount = Hash(Features.Account.Text, ByClass);
  // Limits of the same magnitude share a key: callers with the same kind of
  // request set nearly the same limit.
  const auto Magnitude = std::bit_width(Features.MaxTokens.value_or(0));
  const auto ByLimit =
      XXH3_64bits_withSeed(&Magnitude, sizeof Magnitude, ByAccount);
  return {ByClass, ByAccount, ByLimit};
}

} // namespace

auto length_predictor::create(length_settings Settings)
    -> result<length_predictor> {
  if (Settings.Capacity < MinCapacity)
    return failure::of(errc::bad_settings, "capacity must be at least 16");
  if (!(Settings.InitialTokens >= 0 && Settings.InitialTokens < 1e9))
    return failure::of(errc::bad_settings,
                       "initial token estimate is out of range");
  return length_predictor(Settings);
}

auto length_predictor::predict(const length_features &Features) const
    -> length_prediction {
  double Tokens = Settings.InitialTokens;
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
  // The class is used last, so that it is evicted last.
  for (auto Key = Keys.rbegin(); Key != Keys.rend(); ++Key) {
    auto &Record = Board.findOrInsert(*Key);
    Record.Weight = std::min(Record.Weight + 1, MaxWeight);
    Record.Tokens += (OutputTokens - Record.Tokens) / Record.Weight;
  }
}

} // namespace acacianotch
