/// \file One kind of time observed on one backend server, to compare peers by.
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace acacianotch {

/// Weighted mean of the logarithm of a time, with the attempts that still wait
/// for their next observation.
class peer_signal {
public:
  /// Mean and number of samples behind it.
  struct estimate {
    double MeanLog = 0.0;      ///< Logarithm of microseconds.
    std::uint32_t Samples = 0; ///< Samples, overdue ones included.
  };

  /// \p SampleWeight is the weight of one sample.
  explicit peer_signal(double SampleWeight) : Weight(SampleWeight) {}

  /// Starts to wait for an observation of attempt \p Number.
  auto begin(std::uint64_t Number, time_point Now) -> void;

  /// Stops waiting. \return the time waited; nothing if it did not wait.
  auto end(std::uint64_t Number, time_point Now) -> std::optional<duration>;

  /// \return how long attempt \p Number has waited, if it waits.
  [[nodiscard]] auto age(std::uint64_t Number, time_point Now) const
      -> std::optional<duration>;

  /// Adds one observation.
  auto observe(duration Time) -> void;

  /// \return the mean of the samples so far.
  [[nodiscard]] auto current() const -> const estimate & { return Mean; }

  /// \return the mean with each waiting attempt counted at its age if that is
  /// above the mean and above \p Median: a straggler is found before it
  /// answers.
  [[nodiscard]] auto withOverdue(double Median, time_point Now) const
      -> estimate;

  /// Forgets all samples.
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
  std::vector<waiting> Waiting; // In the order of Since.
};

} // namespace acacianotch
