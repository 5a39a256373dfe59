/// \file Which model of a ladder answers, and when a larger one is asked.
#include "controller/model_ladder.h"

#include <cmath>

namespace acacianotch {

namespace {

/// Assumed before anything is known: the largest model answers nearly all that
/// the smallest cannot, the steps between little of it.
constexpr double LargestGain = 60;
constexpr double OtherGain = 15;
/// Requests that the assumption counts for.
constexpr double PriorCount = 10;
/// Past requests that count; older ones fade, because versions change.
constexpr double MaxCount = 400;
/// A confidence at an end of the scale was cut off there.
constexpr std::uint32_t HighestConfidence = 100;

auto cutOff(std::uint32_t Confidence) -> bool {
  return Confidence == 0 || Confidence >= HighestConfidence;
}

} // namespace

auto model_ladder::learn(const std::string &Smaller,
                         std::uint32_t SmallerConfidence,
                         const std::string &Larger,
                         std::uint32_t LargerConfidence) -> void {
  if (cutOff(SmallerConfidence) || cutOff(LargerConfidence))
    return;
  auto &Mean = Gains[{Smaller, Larger}];
  Mean.Sum += static_cast<double>(LargerConfidence) - SmallerConfidence;
  Mean.Count += 1;
  if (Mean.Count <= MaxCount)
    return;
  Mean.Sum *= MaxCount / Mean.Count;
  Mean.Count = MaxCount;
}

auto model_ladder::gain(const std::string &Smaller, const std::string &Larger,
                        bool IsLargest) const -> double {
  const auto Assumed = IsLargest ? LargestGain : OtherGain;
  const auto Place = Gains.find({Smaller, Larger});
  if (Place == Gains.end())
    return Assumed;
  const auto &Mean = Place->second;
  return (Mean.Sum + PriorCount * Assumed) / (Mean.Count + PriorCount);
}

auto model_ladder::wrongShare(double Confidence) const -> double {
  const auto Deviations =
      (Confidence - Settings.EvenConfidence) / Settings.ConfidenceNoise;
  return std::erfc(Deviations / std::sqrt(2.0)) / 2;
}

auto model_ladder::inDoubt(const ladder_answer &Answer) const -> bool {
  return Answer.Step + 1 < Answer.Steps && Answer.MayRepeat &&
         Answer.Confidence && *Answer.Confidence < Settings.MinConfidence &&
         Answer.ObjectiveShare <= Settings.LatestShare;
}

// The cost of the run that is dropped is spent either way.
auto model_ladder::next(const ladder_answer &Answer) const
    -> std::optional<std::size_t> {
  if (!inDoubt(Answer))
    return std::nullopt;
  const auto Last = Answer.Steps - 1;
  if (Answer.Models.size() != Answer.Steps || Answer.Models[Last].Price <= 0)
    return Last;
  auto Best = (1 - wrongShare(*Answer.Confidence)) * Answer.Worth;
  if (Answer.ObjectiveShare > 1)
    Best *= Settings.LateShare;
  std::optional<std::size_t> Chosen;
  for (auto Step = Answer.Step + 1; Step <= Last; ++Step) {
    const auto &Model = Answer.Models[Step];
    const auto Gain =
        gain(Answer.Models[Answer.Step].Name, Model.Name, Step == Last);
    const auto Timely = Model.InTime + (1 - Model.InTime) * Settings.LateShare;
    const auto Worth =
        (1 - wrongShare(*Answer.Confidence + Gain)) * Timely * Answer.Worth -
        Model.Price;
    if (Worth <= Best)
      continue;
    Best = Worth;
    Chosen = Step;
  }
  return Chosen;
}

} // namespace acacianotch
