/// \file Which model of a ladder answers, and when a larger one is asked.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

namespace acacianotch {

/// Settings of a ladder.
struct model_ladder_settings {
  /// Answers whose model is less sure than this, 0 to 100, are asked again.
  std::uint32_t MinConfidence = 45;
  /// Share of the latency objective after which no larger model is asked: the
  /// rest is left for its first token.
  double LatestShare = 0.5;
};

/// What is known when the head of an answer arrives.
struct ladder_answer {
  std::size_t Step = 0;  ///< Model that answers; 0 is the smallest.
  std::size_t Steps = 1; ///< Models of the route.
  std::optional<std::uint32_t> Confidence;
  double ObjectiveShare = 0; ///< Share of the latency objective that is over.
  bool MayRepeat = false;    ///< Attempts and budget allow another run.
};

/// Starts with the smallest model and goes straight to the largest one if that
/// is not sure: the steps between cost most of what the largest costs.
class model_ladder {
public:
  explicit model_ladder(model_ladder_settings Values = {}) : Settings(Values) {}

  /// \return the first model for a route with \p Steps models.
  [[nodiscard]] static auto first(std::size_t /*Steps*/) -> std::size_t {
    return 0;
  }

  /// \return the model that should answer in place of this one, if any.
  [[nodiscard]] auto next(const ladder_answer &Answer) const
      -> std::optional<std::size_t> {
    const auto Last = Answer.Steps - 1;
    if (Answer.Step >= Last || !Answer.MayRepeat || !Answer.Confidence)
      return std::nullopt;
    if (*Answer.Confidence >= Settings.MinConfidence ||
        Answer.ObjectiveShare > Settings.LatestShare)
      return std::nullopt;
    return Last;
  }

private:
  model_ladder_settings Settings;
};

} // namespace acacianotch
