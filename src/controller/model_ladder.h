/// \file Which model of a ladder answers, and when a larger one is asked.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>

namespace acacianotch {

/// Settings of a ladder. Confidences are 0 to 100.
struct model_ladder_settings {
  /// Answers whose model is at least this sure are passed on.
  std::uint32_t MinConfidence = 70;
  /// Share of the latency objective after which no larger model is asked: the
  /// rest is left for its first token.
  double LatestShare = 1.0;
  /// Confidence at which an answer is as likely right as wrong.
  double EvenConfidence = 50;
  /// Standard deviation of a stated confidence around the true one.
  double ConfidenceNoise = 10;
  /// Worth of an answer that is late, as a share of one in time.
  double LateShare = 0.3;
};

/// One model of a route's ladder.
struct ladder_model {
  std::string Name;
  double Price = 0;  ///< Of this run, with what it costs other requests.
  double InTime = 1; ///< Probability that its first token comes in time.
};

/// What is known when the head of an answer arrives.
struct ladder_answer {
  std::size_t Step = 0;  ///< Model that answers; 0 is the smallest.
  std::size_t Steps = 1; ///< Models of the route.
  std::optional<std::uint32_t> Confidence;
  double ObjectiveShare = 0; ///< Share of the latency objective that is over.
  bool MayRepeat = false;    ///< Attempts and budget allow another run.
  double Worth = 1;          ///< Of a right answer, in the unit of the prices.
  std::span<const ladder_model> Models{}; ///< Empty if prices are not known.
};

/// Starts with the smallest model and asks the one with the greatest
/// expected worth, less its cost, if the answer is not sure. How much more
/// a larger model can do is learnt from the confidences of both on the same
/// requests.
class model_ladder {
public:
  explicit model_ladder(model_ladder_settings Values = {}) : Settings(Values) {}

  /// \return whether a larger model may answer better, whatever it costs.
  [[nodiscard]] auto inDoubt(const ladder_answer &Answer) const -> bool;

  /// \return the model that should answer in place of this one, if any.
  [[nodiscard]] auto next(const ladder_answer &Answer) const
      -> std::optional<std::size_t>;

  /// Notes the confidences of two models on one request.
  auto learn(const std::string &Smaller, std::uint32_t SmallerConfidence,
             const std::string &Larger, std::uint32_t LargerConfidence) -> void;

  /// \return the confidence that \p Larger is expected to have beyond that of
  /// \p Smaller; \p IsLargest tells what to assume before anything is known.
  [[nodiscard]] auto gain(const std::string &Smaller, const std::string &Larger,
                          bool IsLargest) const -> double;

private:
  struct mean {
    double Sum = 0;
    double Count = 0;
  };

  [[nodiscard]] auto wrongShare(double Confidence) const -> double;

  model_ladder_settings Settings;
  std::map<std::pair<std::string, std::string>, mean> Gains;
};

} // namespace acacianotch
