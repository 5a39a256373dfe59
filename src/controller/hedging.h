/// \file Hedging: a second attempt for a request with a late first token.
#pragma once

#include "board/backend_board.h"
#include "controller/quantile_sketch.h"
#include "controller/traffic_budget.h"
#include "core/clock_type.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace acacianotch {

/// Settings of hedging.
struct hedging_settings {
  double BudgetShare = 0.05;          ///< Hedges per request.
  double BudgetBurst = 20.0;          ///< Maximum unused hedges kept.
  double Quantile = 0.95;             ///< Share of requests not hedged.
  double MaxMedians = 8.0;            ///< Maximum delay, in medians.
  duration MinDelay{5'000};           ///< Minimum delay.
  std::uint64_t MinSamples = 50;      ///< Samples before the first hedge.
  std::uint64_t RefreshInterval = 32; ///< Samples per update of the delay.
};

/// Decides when to hedge the requests of one pool.
class hedging {
public:
  explicit hedging(hedging_settings Values = {})
      : Settings(Values), Budget(Values.BudgetShare, Values.BudgetBurst) {}

  /// Counts a request towards the budget for hedges.
  auto requestStarted() -> void { Budget.firstAttempt(); }

  /// Records the time between the start of a request and its first token.
  auto observe(duration FirstToken) -> void {
    Times.add(FirstToken);
    if (Times.samples() % Settings.RefreshInterval == 0)
      refresh();
  }

  /// \return how long to wait for the first token before hedging; nothing if
  /// the request is not idempotent or there are too few samples.
  [[nodiscard]] auto delay(bool Idempotent) const -> std::optional<duration> {
    if (!Idempotent || Times.samples() < Settings.MinSamples)
      return std::nullopt;
    return Delay;
  }

  /// Charges the budget if a hedge may be sent now. Call when the delay has
  /// elapsed without a first token. \return whether it may be sent.
  [[nodiscard]] auto tryHedge(bool Idempotent) -> bool {
    return Idempotent && Budget.tryAcquire();
  }

private:
  // If a tenth of the backend servers is slow, the high quantile is the time of
  // a slow server. The median is not affected by them and bounds the delay. The
  // bound is wide because a prompt without a cached prefix takes several times
  // the median; a bound of 3 medians spends the budget on such prompts.
  auto refresh() -> void {
    const auto Upper = Times.quantile(Settings.Quantile);
    const auto Median = static_cast<double>(Times.quantile(0.5).count());
    const auto Bound =
        duration{static_cast<duration::rep>(Settings.MaxMedians * Median)};
    Delay = std::max(Settings.MinDelay, std::min(Upper, Bound));
  }

  hedging_settings Settings;
  traffic_budget Budget;
  quantile_sketch Times;
  duration Delay{0};
};

/// The attempts of one request; the first that sends a token wins.
class attempt_race {
public:
  /// One attempt.
  struct attempt {
    backend_handle Backend;   ///< Where it runs.
    std::uint32_t Number = 0; ///< Counts from 0 within the request.
    bool Open = true;         ///< Neither failed nor reported as a loser.
  };

  /// Adds an attempt. \return its number.
  auto add(backend_handle Backend) -> std::uint32_t {
    const auto Number = static_cast<std::uint32_t>(Attempts.size());
    Attempts.push_back({Backend, Number, true});
    return Number;
  }

  /// Records a token of attempt \p Number, which wins if none has won before.
  /// \return whether its tokens are sent to the caller.
  auto firstToken(std::uint32_t Number) -> bool {
    if (!Winner)
      Winner = Number;
    return Winner == Number;
  }

  /// Marks an attempt as failed. \return whether the request fails with it: it
  /// had won, or no attempt is open any more.
  auto failed(std::uint32_t Number) -> bool {
    Attempts[Number].Open = false;
    if (Winner)
      return Winner == Number;
    return std::none_of(Attempts.begin(), Attempts.end(),
                        [](const attempt &Attempt) { return Attempt.Open; });
  }

  /// \return the open attempts that lost and must be cancelled, each only once.
  [[nodiscard]] auto takeLosers() -> std::vector<attempt> {
    std::vector<attempt> Losers;
    if (!Winner)
      return Losers;
    for (auto &Attempt : Attempts) {
      if (!Attempt.Open || Attempt.Number == *Winner)
        continue;
      Losers.push_back(Attempt);
      Attempt.Open = false;
    }
    return Losers;
  }

  /// \return all attempts so far.
  [[nodiscard]] auto attempts() const -> const std::vector<attempt> & {
    return Attempts;
  }

private:
  std::vector<attempt> Attempts;
  std::optional<std::uint32_t> Winner;
};

} // namespace acacianotch
