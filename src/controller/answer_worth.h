/// \file What a right answer to a request is worth.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace acacianotch {

/// Worth of a right answer, in the unit of the models' prices.
struct answer_worth_settings {
  /// Worth of an answer on a route of the most urgent rank.
  double TopRank = 5;
  /// Worth of each further rank as a share of the one before.
  double RankShare = 0.4;
  /// Part of the worth that does not grow with the size of the request.
  double FixedPart = 0.3;
  /// Largest size that counts, in means of the route.
  double MaxSize = 4;
  /// Prompt tokens that count as much as one generated token.
  double TokensPerOutput = 10;
};

/// Knows the mean size of the requests of each route. Contracts pay for answers
/// by rank and size; the routing document states only the rank.
class answer_worth {
public:
  answer_worth() = default;
  explicit answer_worth(answer_worth_settings Values) : Settings(Values) {}

  /// Notes a request and \return the worth of a right answer to it.
  [[nodiscard]] auto estimate(const std::string &Route, std::uint32_t Rank,
                              std::uint32_t PromptTokens,
                              std::uint32_t OutputTokens) -> double;

private:
  struct mean {
    double Sum = 0;
    double Count = 0;
  };

  answer_worth_settings Settings;
  std::map<std::string, mean> Sizes; ///< By route.
};

} // namespace acacianotch
