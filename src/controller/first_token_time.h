/// \file How long models take until their first token, by prompt length.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace acacianotch {

/// Fits time = base + slope x work of the prompt to recent answers of each
/// model. Queueing at the backend servers is part of the times, so the estimate
/// follows load.
class first_token_time {
public:
  /// Notes that \p Model sent its first token \p Seconds after it was asked.
  auto observe(const std::string &Model, std::uint32_t Tokens, double Seconds)
      -> void;

  /// \return the expected seconds; nothing before there are enough answers.
  [[nodiscard]] auto expect(const std::string &Model,
                            std::uint32_t Tokens) const
      -> std::optional<double>;

private:
  /// Decayed sums of a least squares fit.
  struct sums {
    double Count = 0;
    double X = 0;
    double Y = 0;
    double XX = 0;
    double XY = 0;
  };

  std::map<std::string, sums> Fits;
};

} // namespace acacianotch
