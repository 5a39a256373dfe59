/// \file Selection of the stage of a model cascade that answers a request.
#include "controller/model_cascade.h"

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
/// Upper end of the scale. Confidences of 0 and of this value may be clipped,
/// so that gains calculated from them would be biased.
constexpr std::uint32_t MaxConfidence = 100;

auto isClipped(std::uint32_t Confidence) -> bool {
  return Confidence == 0 || Confidence >= MaxConfidence;
}

} // namespace

auto model_cascade::recordConfidences(const std::string &Smaller,
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

auto model_cascade::confidenceGain(const std::string &Smaller,
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

auto model_cascade::errorProbability(double Confidence) const -> double {
  const auto Deviations =
      (Confidence - Settings.EvenOddsConfidence) / Settings.ConfidenceDeviation;
  return std::erfc(Deviations / std::sqrt(2.0)) / 2;
}

auto model_cascade::mayEscalate(const cascade_answer &Answer) const -> bool {
  return Answer.Stage + 1 < Answer.Stages && Answer.MayRepeat &&
         Answer.Confidence && *Answer.Confidence < Settings.MinConfidence &&
         Answer.ElapsedShare <= Settings.MaxElapsedShare;
}

// Ignores the cost of the run that is discarded, because it is spent in either
// case.
auto model_cascade::next(const cascade_answer &Answer) const
    -> std::optional<std::size_t> {
  if (!mayEscalate(Answer))
    return std::nullopt;
  const auto Last = Answer.Stages - 1;
  if (Answer.Models.size() != Answer.Stages || Answer.Models[Last].Price <= 0)
    return Last;
  auto BestValue =
      (1 - errorProbability(*Answer.Confidence)) * Answer.AnswerValue;
  if (Answer.ElapsedShare > 1)
    BestValue *= Settings.LateValueShare;
  std::optional<std::size_t> Chosen;
  for (auto Stage = Answer.Stage + 1; Stage <= Last; ++Stage) {
    const auto &Model = Answer.Models[Stage];
    const auto Gain = confidenceGain(Answer.Models[Answer.Stage].Name,
                                     Model.Name, Stage == Last);
    const auto LatenessFactor =
        Model.InTimeProbability +
        (1 - Model.InTimeProbability) * Settings.LateValueShare;
    const auto ExpectedValue =
        (1 - errorProbability(*Answer.Confidence + Gain)) * LatenessFactor *
            Answer.AnswerValue -
        Model.Price;
    if (ExpectedValue <= BestValue)
      continue;
    BestValue = ExpectedValue;
    Chosen = Stage;
  }
  return Chosen;
}

} // namespace acacianotch
