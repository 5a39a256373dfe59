/// \file Estimated time to first token by model and prompt length.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace acacianotch {

/// Fits time = base + slope x prefill work to the recent answers of each model.
/// The times include queueing at the backend servers, so the estimate follows
/// their load.
class first_token_time {
public:
  /// Records that \p Model sent its first token \p Seconds after the request,
  /// whose prompt has \p Tokens tokens.
  auto observe(const std::string &Model, std::uint32_t Tokens, double Seconds)
      -> void;

  /// \return the expected time in seconds; nothing with too few answers.
  [[nodiscard]] auto expect(const std::string &Model,
                            std::uint32_t Tokens) const
      -> std::optional<double>;

private:
  /// Exponentially decayed sums of a least squares fit.
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
