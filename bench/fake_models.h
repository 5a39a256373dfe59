/// \file Fake requests and models: an answer passes with a probability that
/// depends on the model's skill and the request's difficulty.
#pragma once

#include "board/cascade_board.h"
#include "core/random_type.h"

#include <array>
#include <cmath>
#include <string>
#include <vector>

namespace acacianotch::bench {

/// \return a number from the standard normal distribution.
inline auto drawNormal(seeded_random &Random) -> double {
  std::normal_distribution<double> Normal;
  return Normal(Random);
}

/// Log-normal token counts.
struct token_distribution {
  double Median = 0; ///< Tokens.
  double Sigma = 0;  ///< Standard deviation of the natural logarithm.

  [[nodiscard]] auto draw(seeded_random &Random) const -> double {
    return Median * std::exp(Sigma * drawNormal(Random));
  }
  [[nodiscard]] auto mean() const -> double {
    return Median * std::exp(Sigma * Sigma / 2);
  }
};

/// Requests with the same features.
struct request_kind {
  std::string Class;
  bool Long = false;
  bool Streaming = false;
  double Share = 0;      ///< Of all requests.
  double Difficulty = 0; ///< Mean; the standard deviation is 1.
  token_distribution Input;
  token_distribution Output;
};

/// A model with its price in micro-units per 1,000 tokens.
struct fake_model {
  std::string Name;
  double Skill = 0;
  double InputCost = 0;
  double OutputCost = 0;

  /// \return the probability that an answer is good.
  [[nodiscard]] auto goodRate(double Difficulty) const -> double {
    constexpr double Steepness = 2.5;
    return 1 / (1 + std::exp(-Steepness * (Skill - Difficulty)));
  }

  /// \return the cost of one request in micro-units.
  [[nodiscard]] auto cost(double Input, double Output) const -> double {
    return ((Input * InputCost) + (Output * OutputCost)) / 1000;
  }
};

constexpr std::size_t ModelCount = 3;

/// One request with its random properties.
struct fake_request {
  std::size_t Kind = 0;
  double Input = 0;                    ///< Tokens.
  double Output = 0;                   ///< Tokens.
  std::array<bool, ModelCount> Good{}; ///< Whether each model answers well.
};

/// Models and request kinds of a route.
struct fake_route {
  std::array<fake_model, ModelCount> Models{{{"small", 1.2, 100, 300},
                                             {"medium", 2.0, 500, 1500},
                                             {"large", 3.2, 2000, 6000}}};
  std::vector<request_kind> Kinds{
      {"chat", false, true, 0.25, -0.4, {400, 0.6}, {250, 0.6}},
      {"chat", false, false, 0.10, -0.2, {400, 0.6}, {250, 0.6}},
      {"draft", false, true, 0.15, 0.2, {900, 0.5}, {600, 0.5}},
      {"draft", true, false, 0.10, 0.6, {900, 0.5}, {2800, 0.3}},
      {"explain", false, false, 0.35, 0.1, {600, 0.5}, {200, 0.5}},
      {"explain", true, true, 0.05, 0.8, {1500, 0.5}, {2500, 0.3}}};

  /// \return a request whose difficulty is raised by \p Shift.
  [[nodiscard]] auto draw(seeded_random &Random, double Shift) const
      -> fake_request {
    fake_request Request;
    double Point = randomUnit(Random);
    while (Request.Kind + 1 < Kinds.size() &&
           Point >= Kinds[Request.Kind].Share)
      Point -= Kinds[Request.Kind++].Share;
    const auto &Kind = Kinds[Request.Kind];
    Request.Input = Kind.Input.draw(Random);
    Request.Output = Kind.Output.draw(Random);
    const double Difficulty = Kind.Difficulty + Shift + drawNormal(Random);
    for (std::size_t Model = 0; Model < ModelCount; ++Model)
      Request.Good[Model] =
          randomUnit(Random) < Models[Model].goodRate(Difficulty);
    return Request;
  }

  /// Calls \p Visit(weight, difficulty) for sample points of the difficulty
  /// distribution of \p Kind; the weights sum to 1.
  template <typename function>
  static auto integrate(const request_kind &Kind, double Shift, function Visit)
      -> void {
    constexpr int Points = 161;
    constexpr double Range = 4; // standard deviations
    double Total = 0;
    const auto At = [](int Point) {
      return Range * ((2.0 * Point / (Points - 1)) - 1);
    };
    for (int Point = 0; Point < Points; ++Point)
      Total += std::exp(-At(Point) * At(Point) / 2);
    for (int Point = 0; Point < Points; ++Point)
      Visit(std::exp(-At(Point) * At(Point) / 2) / Total,
            Kind.Difficulty + Shift + At(Point));
  }
};

} // namespace acacianotch::bench
