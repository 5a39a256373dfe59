/// \file Selection of the stage of a model cascade that answers a request.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>

namespace acacianotch {

/// Settings of a model cascade. Confidences are 0 to 100.
struct model_cascade_settings {
  /// Answers with at least this confidence are delivered.
  std::uint32_t MinConfidence = 70;
  /// Elapsed share of the latency objective after which no escalation starts;
  /// the rest is reserved for the first token of the larger model.
  double MaxElapsedShare = 1.0;
  /// Confidence at which an answer is correct with a probability of one half.
  double EvenOddsConfidence = 50;
  /// Standard deviation of a reported confidence around the true one.
  double ConfidenceDeviation = 10;
  /// Value of a late answer as a share of the value of one in time.
  double LateValueShare = 0.3;
};

/// One stage of a route's cascade.
struct cascade_model {
  std::string Name; ///< Model of the stage.
  double Price = 0; ///< Of this run, including its cost for other requests.
  double InTimeProbability = 1; ///< That its first token is in time.
};

/// State of a request when the head of an answer arrives.
struct cascade_answer {
  std::size_t Stage = 0;  ///< Stage that answers; 0 has the smallest model.
  std::size_t Stages = 1; ///< Number of stages of the route.
  std::optional<std::uint32_t> Confidence; ///< As reported by the model.
  double ElapsedShare = 0; ///< Elapsed share of the latency objective.
  bool MayRepeat = false;  ///< Whether attempts and budget allow another run.
  double AnswerValue = 1;  ///< Of a correct answer, in the unit of the prices.
  std::span<const cascade_model> Models{}; ///< Empty if prices are not known.
};

/// Starts with the smallest model. If its answer is uncertain, it escalates to
/// the stage with the highest expected value less its price. The expected gain
/// in confidence is estimated from the confidences of both models on the same
/// requests.
class model_cascade {
public:
  explicit model_cascade(model_cascade_settings Values = {})
      : Settings(Values) {}

  /// \return whether the answer is uncertain and may be escalated, regardless
  /// of prices.
  [[nodiscard]] auto mayEscalate(const cascade_answer &Answer) const -> bool;

  /// \return the stage to escalate to, if any.
  [[nodiscard]] auto next(const cascade_answer &Answer) const
      -> std::optional<std::size_t>;

  /// Records the confidences of two models on one request.
  auto recordConfidences(const std::string &Smaller,
                         std::uint32_t SmallerConfidence,
                         const std::string &Larger,
                         std::uint32_t LargerConfidence) -> void;

  /// \return the expected confidence of \p Larger less that of \p Smaller.
  /// \p IsLargest selects the prior that applies before any observation.
  [[nodiscard]] auto confidenceGain(const std::string &Smaller,
                                    const std::string &Larger,
                                    bool IsLargest) const -> double;

private:
  struct mean {
    double Sum = 0;
    double Count = 0;
  };

  /// \return the probability that an answer with \p Confidence is wrong.
  [[nodiscard]] auto errorProbability(double Confidence) const -> double;

  model_cascade_settings Settings;
  /// Confidence gains by smaller and larger model.
  std::map<std::pair<std::string, std::string>, mean> Gains;
};

} // namespace acacianotch
