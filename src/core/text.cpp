/// \file Text helpers.
#include "core/text_func.h"

#include <algorithm>
#include <cctype>
#include <limits>
#include <numeric>
#include <utility>

namespace acacianotch {

auto lowerCase(std::string_view Text) -> std::string {
  std::string Lower(Text);
  std::transform(
      Lower.begin(), Lower.end(), Lower.begin(),
      [](unsigned char Byte) { return static_cast<char>(std::tolower(Byte)); });
  return Lower;
}

auto editDistance(std::string_view Left, std::string_view Right)
    -> std::size_t {
  std::vector<std::size_t> Row(Right.size() + 1);
  std::iota(Row.begin(), Row.end(), std::size_t{0});
  for (std::size_t I = 0; I < Left.size(); ++I) {
    auto Diagonal = std::exchange(Row[0], I + 1);
    for (std::size_t J = 0; J < Right.size(); ++J) {
      const std::size_t Cost = Left[I] == Right[J] ? 0 : 1;
      const auto Substitute = Diagonal + Cost;
      Diagonal = Row[J + 1];
      Row[J + 1] = std::min({Substitute, Diagonal + 1, Row[J] + 1});
    }
  }
  return Row.back();
}

auto nearest(std::string_view Text,
             const std::vector<std::string_view> &Candidates)
    -> std::string_view {
  std::string_view Best;
  auto BestDistance = std::numeric_limits<std::size_t>::max();
  for (const auto Candidate : Candidates) {
    const auto Distance = editDistance(Text, Candidate);
    if (Distance >= BestDistance)
      continue;
    BestDistance = Distance;
    Best = Candidate;
  }
  return Best;
}

auto oneLine(std::string_view Text, std::size_t Limit) -> std::string {
  std::string Line(Text.substr(0, Limit));
  const auto Printable = [](char Character) {
    return Character >= ' ' && Character <= '~';
  };
  for (auto &Character : Line)
    if (!Printable(Character))
      Character = '?';
  return Text.size() > Limit ? Line + "..." : Line;
}

} // namespace acacianotch
