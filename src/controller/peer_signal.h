/// \file Mean of a latency of one backend server, to compare it with its peers.
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace acacianotch {

/// Exponentially weighted mean of the logarithm of a latency, with the attempts
/// that wait for their next observation.
class peer_signal {
public:
  /// Mean and the number of its samples.
  struct estimate {
    double MeanLog = 0.0;      ///< Logarithm of microseconds.
    std::uint32_t Samples = 0; ///< Samples, including overdue ones.
  };

  /// \p SampleWeight is the weight of one sample.
  explicit peer_signal(double SampleWeight) : Weight(SampleWeight) {}

  /// Starts the timer of attempt \p Number.
  auto begin(std::uint64_t Number, time_point Now) -> void;

  /// Stops the timer of attempt \p Number. \return its elapsed time; nothing if
  /// it was not running.
  auto end(std::uint64_t Number, time_point Now) -> std::optional<duration>;

  /// \return elapsed time of attempt \p Number, if its timer is running.
  [[nodiscard]] auto age(std::uint64_t Number, time_point Now) const
      -> std::optional<duration>;

  /// Adds one observation.
  auto observe(duration Time) -> void;

  /// \return the mean of the observations.
  [[nodiscard]] auto current() const -> const estimate & { return Mean; }

  /// \return the mean with one more sample for each attempt whose elapsed time
  /// is above both the mean and \p Median, so that a straggler is detected
  /// before it answers. \p Median is a logarithm of microseconds.
  [[nodiscard]] auto withOverdue(double Median, time_point Now) const
      -> estimate;

  /// Discards all samples.
  auto reset() -> void { Mean = {}; }

  /// \return the logarithm of \p Time in microseconds.
  [[nodiscard]] static auto logOf(duration Time) -> double;

private:
  struct waiting {
    std::uint64_t Number;
    time_point Since;
  };

  auto add(estimate &Estimate, double Log) const -> void;

  double Weight;
  estimate Mean;
  std::vector<waiting> Waiting; // Ordered by Since.
};

} // namespace acacianotch
