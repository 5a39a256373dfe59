/// \file Selection of the stage of a model cascade that answers a request.
#include "controller/model_ladder.h"

#include <cmath>

namespace acacianotch {

namespace {

/// Prior of the confidence gain: the largest model answers nearly all requests
/// that the smallest cannot, the models between them few of these.
constexpr double LargestModelPriorGain = 60;
constexpr double OtherModelPriorGain = 15;
/// Weight of the prior in requests.
constexpr double PriorCount = 10;
/// Effective number of past requests in a mean; older ones are discounted,
/// because model versions change.
constexpr double MaxCount = 400;
/// Confidences at an end of the scale are clipped.
constexpr std::uint32_t MaxConfidence = 100;

auto isClipped(std::uint32_t Confidence) -> bool {
  return Confidence == 0 || Confidence >= MaxConfidence;
}

} // namespace

auto model_ladder::learn(const std::string &Smaller,
                         std::uint32_t SmallerConfidence,
                         const std::string &Larger,
                         std::uint32_t LargerConfidence) -> void {
  if (isClipped(SmallerConfidence) || isClipped(LargerConfidence))
    return;
  auto &Mean = Gains[{Smaller, Larger}];
  Mean.Sum += static_cast<double>(LargerConfidence) - SmallerConfidence;
  Mean.Count += 1;
  if (Mean.Count <= MaxCount)
    return;
  Mean.Sum *= MaxCount / Mean.Count;
  Mean.Count = MaxCount;
}

auto model_ladder::confidenceGain(const std::string &Smaller,
                                  const std::string &Larger,
                                  bool IsLargest) const -> double {
  const auto PriorGain =
      IsLargest ? LargestModelPriorGain : OtherModelPriorGain;
  const auto Found = Gains.find({Smaller, Larger});
  if (Found == Gains.end())
    return PriorGain;
  const auto &Mean = Found->second;
  return (Mean.Sum + PriorCount * PriorGain) / (Mean.Count + PriorCount);
}

auto model_ladder::errorProbability(double Confidence) const -> double {
  const auto Deviations =
      (Confidence - Settings.EvenOddsConfidence) / Settings.ConfidenceDeviation;
  return std::erfc(Deviations / std::sqrt(2.0)) / 2;
}

auto model_ladder::inDoubt(const ladder_answer &Answer) const -> bool {
  return Answer.Step + 1 < Answer.Steps && Answer.MayRepeat &&
         Answer.Confidence && *Answer.Confidence < Settings.MinConfidence &&
         Answer.ObjectiveShare <= Settings.MaxElapsedShare;
}

// The cost of the run that is discarded is spent either way.
auto model_ladder::next(const ladder_answer &Answer) const
    -> std::optional<std::size_t> {
  if (!inDoubt(Answer))
    return std::nullopt;
  const auto Last = Answer.Steps - 1;
  if (Answer.Models.size() != Answer.Steps || Answer.Models[Last].Price <= 0)
    return Last;
  auto BestValue = (1 - errorProbability(*Answer.Confidence)) * Answer.Worth;
  if (Answer.ObjectiveShare > 1)
    BestValue *= Settings.LateValueShare;
  std::optional<std::size_t> Chosen;
  for (auto Step = Answer.Step + 1; Step <= Last; ++Step) {
    const auto &Model = Answer.Models[Step];
    const auto Gain = confidenceGain(Answer.Models[Answer.Step].Name,
                                     Model.Name, Step == Last);
    const auto LatenessFactor =
        Model.InTimeProbability +
        (1 - Model.InTimeProbability) * Settings.LateValueShare;
    const auto ExpectedValue =
        (1 - errorProbability(*Answer.Confidence + Gain)) * LatenessFactor *
            Answer.Worth -
        Model.Price;
    if (ExpectedValue <= BestValue)
      continue;
    BestValue = ExpectedValue;
    Chosen = Step;
  }
  return Chosen;
}

} // namespace acacianotch
