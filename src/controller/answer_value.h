/// \file Value of a correct answer to a request.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace acacianotch {

/// Settings of the value of a correct answer, in the unit of model prices.
struct answer_value_settings {
  /// Value of an answer of mean size on a route of the most urgent rank.
  double TopRankValue = 5;
  /// Value of each further rank relative to the previous one.
  double RankFactor = 0.4;
  /// Share of the value that does not grow with the size of the request.
  double FixedShare = 0.3;
  /// Upper limit of the size, as a multiple of the mean size on the route.
  double MaxRelativeSize = 4;
  /// Number of prompt tokens that count as much as one generated token.
  double PromptTokensPerOutputToken = 10;
};

/// Estimates the value of answers from the rank of the route and the size of
/// the request relative to the mean of its route. Contracts pay by rank and
/// size; the routing document states only the rank.
class answer_value {
public:
  answer_value() = default;
  explicit answer_value(answer_value_settings Values) : Settings(Values) {}

  /// Adds a request to the mean size of its route.
  /// \return the value of a correct answer to it.
  [[nodiscard]] auto estimate(const std::string &Route, std::uint32_t Rank,
                              std::uint32_t PromptTokens,
                              std::uint32_t OutputTokens) -> double;

private:
  struct mean {
    double Sum = 0;
    double Count = 0;
  };

  answer_value_settings Settings;
  std::map<std::string, mean> Sizes; ///< By route.
};

} // namespace acacianotch
