/// \file Hedging: a second attempt for work that is late with its first token.
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
  double BudgetSaved = 20.0;          ///< Hedges saved up in quiet times.
  double Quantile = 0.95;             ///< Share of requests that is not late.
  double MaxMedians = 8.0;            ///< Bound of the delay in medians.
  duration MinDelay{5'000};           ///< Least delay.
  std::uint64_t MinSamples = 50;      ///< Samples before the first hedge.
  std::uint64_t RefreshInterval = 32; ///< Samples between two new delays.
};

/// Decides when to hedge the requests of one pool.
class hedging {
public:
  explicit hedging(hedging_settings Values = {})
      : Settings(Values), Budget(Values.BudgetShare, Values.BudgetSaved) {}

  /// Counts a request; hedges are a share of these.
  auto requestStarted() -> void { Budget.firstAttempt(); }

  /// Learns from the time between the start of a request and its first token.
  auto observe(duration FirstToken) -> void {
    Times.add(FirstToken);
    if (Times.samples() % Settings.RefreshInterval == 0)
      refresh();
  }

  /// \return how long to wait for the first token before hedging; nothing for
  /// work that must not run twice or while too little is known.
  [[nodiscard]] auto delay(bool Idempotent) const -> std::optional<duration> {
    if (!Idempotent || Times.samples() < Settings.MinSamples)
      return std::nullopt;
    return Delay;
  }

  /// \return whether the hedge may be sent now, and charges the budget. Call
  /// when the delay has passed without a first token.
  [[nodiscard]] auto tryHedge(bool Idempotent) -> bool {
    return Idempotent && Budget.tryTake();
  }

private:
  // With a tenth of the backend servers slow, the high quantile is a slow
  // server's time; the median is not moved by them and bounds the delay. The
  // bound is wide because a prompt without a cached prefix takes several times
  // the median; at 3 medians such prompts used up the budget.
  auto refresh() -> void {
    const auto Late = Times.quantile(Settings.Quantile);
    const auto Median = static_cast<double>(Times.quantile(0.5).count());
    const auto Bound =
        duration{static_cast<duration::rep>(Settings.MaxMedians * Median)};
    Delay = std::max(Settings.MinDelay, std::min(Late, Bound));
  }

  hedging_settings Settings;
  traffic_budget Budget;
  quantile_sketch Times;
  duration Delay{0};
};

/// The attempts of one request, of which the first to give a token wins.
class attempt_race {
public:
  /// One attempt.
  struct attempt {
    backend_handle Backend;   ///< Where it runs.
    std::uint32_t Number = 0; ///< Counts from 0 within the request.
    bool Open = true;         ///< Neither lost nor failed.
  };

  /// Adds an attempt. \return its number.
  auto add(backend_handle Backend) -> std::uint32_t {
    const auto Number = static_cast<std::uint32_t>(Attempts.size());
    Attempts.push_back({Backend, Number, true});
    return Number;
  }

  /// \return whether attempt \p Number may deliver to the caller: it wins if
  /// none has won before.
  auto firstToken(std::uint32_t Number) -> bool {
    if (!Winner)
      Winner = Number;
    return Winner == Number;
  }

  /// Marks an attempt as failed. \return whether no open attempt is left, so
  /// that the failure is the request's.
  auto failed(std::uint32_t Number) -> bool {
    Attempts[Number].Open = false;
    if (Winner)
      return Winner == Number;
    return std::none_of(Attempts.begin(), Attempts.end(),
                        [](const attempt &Attempt) { return Attempt.Open; });
  }

  /// \return the open attempts that lost, to be cancelled; each only once.
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
