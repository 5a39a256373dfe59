/// \file Random source concept and the generator that the project uses.
#pragma once

#include <concepts>
#include <cstdint>
#include <random>

namespace acacianotch {

/// Source of uniformly distributed 64-bit numbers.
template <typename type>
concept random_source = requires(type &Random) {
  { Random() } -> std::same_as<std::uint64_t>;
};

/// Seeded generator; the same seed gives the same sequence.
class seeded_random {
public:
  using result_type = std::uint64_t;

  explicit seeded_random(std::uint64_t Seed) : Engine(Seed) {}

  static constexpr auto min() -> result_type { return 0; }
  static constexpr auto max() -> result_type { return ~result_type{0}; }

  auto operator()() -> result_type { return Engine(); }

private:
  std::mt19937_64 Engine;
};

/// \return a number in [0, Bound); \p Bound must not be 0.
template <random_source source>
[[nodiscard]] auto randomBelow(source &Random, std::uint64_t Bound)
    -> std::uint64_t {
  return Random() % Bound;
}

/// \return a number in [0, 1).
template <random_source source>
[[nodiscard]] auto randomUnit(source &Random) -> double {
  constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
  return static_cast<double>(Random() >> 11U) * Scale;
}

} // namespace acacianotch
