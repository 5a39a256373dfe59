/// \file Outlier detection: backend servers slower than their peers.
#pragma once

#include "board/backend_board.h"
#include "core/clock_type.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace acacianotch {

/// Settings of outlier detection.
struct outlier_settings {
  double EjectFactor = 3.0;         ///< Times the peers' median.
  duration MinExcess{20'000};       ///< Smaller differences are ignored.
  double MaxEjectedShare = 0.3;     ///< Share of peers ejected as slow.
  std::uint32_t MinPeers = 3;       ///< Peers with samples for a median.
  std::uint32_t MinSamples = 4;     ///< Samples, ended or overdue.
  std::uint32_t MaxFailures = 3;    ///< Failures in a row until ejection.
  std::uint32_t GoodProbes = 3;     ///< Probes in a row until return.
  duration Ejection{5'000'000};     ///< First ejection; doubles each time.
  duration MaxEjection{60'000'000}; ///< Longest ejection.
};

/// One observed attempt, from its start to its first token.
struct observed_attempt {
  backend_handle Backend;   ///< Where it runs.
  std::uint64_t Number = 0; ///< Unique within the detector.
};

/// Ejects backend servers of one pool whose first tokens take longer than
/// those of their peers, and returns them after successful probes. It relies
/// on the entry's own observations because load reports of a straggler come
/// late. Call tick() every 20 to 100 ms.
template <clock_source clock> class outlier_detector {
public:
  outlier_detector(const clock &ClockRef, backend_board &BoardRef,
                   outlier_settings Values = {})
      : Clock(&ClockRef), Board(&BoardRef), Settings(Values) {}

  /// Sets the pool's members of this entry.
  auto setPeers(std::vector<backend_handle> Handles) -> void {
    std::unordered_map<std::uint32_t, peer> Kept;
    for (const auto Handle : Handles) {
      const auto Found = Peers.find(Handle.Index);
      const bool Known = Found != Peers.end() && Found->second.Handle == Handle;
      if (!Known)
        Kept.emplace(Handle.Index, peer{Handle});
      else
        Kept.insert(Peers.extract(Found));
    }
    for (auto &[Index, Peer] : Peers)
      if (Peer.EjectedUntil)
        restore(Peer);
    Peers = std::move(Kept);
  }

  /// Marks an attempt as sent.
  auto started(backend_handle Backend) -> observed_attempt {
    const observed_attempt Attempt{Backend, ++LastNumber};
    if (auto *Peer = find(Backend))
      Peer->Pending.push_back({Attempt.Number, Clock->now()});
    return Attempt;
  }

  /// Marks the first token of an attempt.
  auto firstToken(const observed_attempt &Attempt) -> void {
    auto *Peer = find(Attempt.Backend);
    const auto Since = removePending(Peer, Attempt.Number);
    if (!Since)
      return;
    Peer->Failures = 0;
    const auto Time = logTime(Clock->now() - *Since);
    if (Peer->Probe == Attempt.Number)
      return probeEnded(*Peer, Time <= MedianLog + 0.5 * threshold());
    observe(Peer->MeanLog, Time);
    ++Peer->Samples;
  }

  /// Forgets an attempt that ended without a first token and without fault of
  /// the backend server: cancelled, or rejected as `not_run`.
  auto abandoned(const observed_attempt &Attempt) -> void {
    auto *Peer = find(Attempt.Backend);
    if (!removePending(Peer, Attempt.Number))
      return;
    if (Peer->Probe == Attempt.Number)
      Peer->Probe = 0;
  }

  /// Marks an attempt as failed by the backend server or its agent.
  auto failed(const observed_attempt &Attempt) -> void {
    auto *Peer = find(Attempt.Backend);
    if (!removePending(Peer, Attempt.Number))
      return;
    if (Peer->Probe == Attempt.Number)
      return probeEnded(*Peer, false);
    if (++Peer->Failures >= Settings.MaxFailures && mayEject())
      eject(*Peer);
  }

  /// Ejects a backend server whose agent cannot be reached. The cap does not
  /// apply: no work can go there anyway.
  auto unreachable(backend_handle Backend) -> void {
    auto *Peer = find(Backend);
    if (Peer != nullptr && !Peer->EjectedUntil)
      eject(*Peer);
  }

  /// Compares the peers, ejects outliers and ends overdue probes.
  auto tick() -> void {
    updateMedian();
    for (auto &[Index, Peer] : Peers) {
      if (Peer.EjectedUntil)
        endOverdueProbe(Peer);
      else if (isOutlier(Peer) && mayEject())
        eject(Peer);
    }
  }

  /// \return an ejected backend server that is due for a probe. The entry
  /// sends it a copy of an idempotent request, calls probeStarted(), discards
  /// the answer and cancels the copy at its first token or after probeLimit().
  [[nodiscard]] auto probeDue() const -> std::optional<backend_handle> {
    if (Ejected == 0)
      return std::nullopt;
    for (const auto &[Index, Peer] : Peers)
      if (Peer.EjectedUntil && Peer.Probe == 0 && reachableFact(Peer) &&
          *Peer.EjectedUntil <= Clock->now())
        return Peer.Handle;
    return std::nullopt;
  }

  /// Marks a probe as sent.
  auto probeStarted(backend_handle Backend) -> observed_attempt {
    const auto Attempt = started(Backend);
    if (auto *Peer = find(Backend))
      Peer->Probe = Attempt.Number;
    return Attempt;
  }

  /// \return the time after which a probe counts as slow.
  [[nodiscard]] auto probeLimit() const -> duration {
    return duration{
        static_cast<duration::rep>(std::exp(MedianLog + threshold()))};
  }

  /// \return number of backend servers ejected now.
  [[nodiscard]] auto ejected() const -> std::uint32_t { return Ejected; }

private:
  struct pending {
    std::uint64_t Number;
    time_point Since;
  };
  struct peer {
    backend_handle Handle;
    double MeanLog = 0.0; // Weighted mean of the logarithm of microseconds.
    std::uint32_t Samples = 0;
    std::uint32_t Failures = 0;
    std::uint32_t Ejections = 0;
    std::uint32_t GoodProbes = 0;
    std::uint64_t Probe = 0; // Attempt number of the probe in flight.
    std::optional<time_point> EjectedUntil;
    time_point ReturnedAt{};
    std::deque<pending> Pending;
  };

  static auto logTime(duration Time) -> double {
    return std::log(std::max(1.0, static_cast<double>(Time.count())));
  }

  // Logarithms, because times to first token are skewed: one long prompt must
  // not look like a slow backend server.
  static auto observe(double &MeanLog, double Time) -> void {
    constexpr double Weight = 1.0 / 8.0;
    MeanLog = MeanLog == 0.0 ? Time : MeanLog + Weight * (Time - MeanLog);
  }

  [[nodiscard]] auto threshold() const -> double {
    return std::log(Settings.EjectFactor);
  }

  [[nodiscard]] auto find(backend_handle Backend) -> peer * {
    const auto Found = Peers.find(Backend.Index);
    if (Found == Peers.end() || Found->second.Handle != Backend)
      return nullptr;
    return &Found->second;
  }

  [[nodiscard]] auto reachableFact(const peer &Peer) const -> bool {
    const auto *Row = Board->row(Peer.Handle);
    return Row != nullptr && !Row->Gone && !Row->Facts.Leaving;
  }

  static auto removePending(peer *Peer, std::uint64_t Number)
      -> std::optional<time_point> {
    if (Peer == nullptr)
      return std::nullopt;
    const auto Found = std::find_if(
        Peer->Pending.begin(), Peer->Pending.end(),
        [&](const pending &Pending) { return Pending.Number == Number; });
    if (Found == Peer->Pending.end())
      return std::nullopt;
    const auto Since = Found->Since;
    Peer->Pending.erase(Found);
    return Since;
  }

  auto updateMedian() -> void {
    std::vector<double> Means;
    for (const auto &[Index, Peer] : Peers)
      if (!Peer.EjectedUntil && Peer.Samples > 0)
        Means.push_back(Peer.MeanLog);
    if (Means.size() < Settings.MinPeers)
      return;
    const auto Middle =
        std::next(Means.begin(), static_cast<std::ptrdiff_t>(Means.size() / 2));
    std::nth_element(Means.begin(), Middle, Means.end());
    MedianLog = *Middle;
  }

  // An attempt that is still without a first token counts with its age when
  // that is above the mean; a straggler is found before it answers.
  [[nodiscard]] auto isOutlier(const peer &Peer) const -> bool {
    if (MedianLog == 0.0)
      return false;
    auto MeanLog = Peer.MeanLog == 0.0 ? MedianLog : Peer.MeanLog;
    auto Samples = Peer.Samples;
    for (const auto &Pending : Peer.Pending) {
      const auto Age = logTime(Clock->now() - Pending.Since);
      if (Age <= std::max(MeanLog, MedianLog))
        break;
      observe(MeanLog, Age);
      ++Samples;
    }
    const auto Excess = std::exp(MeanLog) - std::exp(MedianLog);
    return Samples >= Settings.MinSamples &&
           MeanLog > MedianLog + threshold() &&
           Excess > static_cast<double>(Settings.MinExcess.count());
  }

  [[nodiscard]] auto mayEject() const -> bool {
    if (Peers.size() < Settings.MinPeers)
      return false;
    const auto Share =
        Settings.MaxEjectedShare * static_cast<double>(Peers.size());
    return Ejected < std::max(1U, static_cast<std::uint32_t>(Share));
  }

  auto eject(peer &Peer) -> void {
    // A backend server that has been well for long starts afresh.
    if (Clock->now() - Peer.ReturnedAt > Settings.MaxEjection)
      Peer.Ejections = 0;
    prolong(Peer);
    ++Ejected;
    Board->eject(Peer.Handle);
  }

  auto prolong(peer &Peer) -> void {
    constexpr std::uint32_t MaxDoublings = 16;
    const auto Doublings = std::min(Peer.Ejections, MaxDoublings);
    const auto Time = Settings.Ejection * (std::int64_t{1} << Doublings);
    Peer.EjectedUntil = Clock->now() + std::min(Time, Settings.MaxEjection);
    ++Peer.Ejections;
    Peer.GoodProbes = 0;
  }

  auto probeEnded(peer &Peer, bool Good) -> void {
    Peer.Probe = 0;
    if (!Peer.EjectedUntil)
      return;
    if (!Good)
      return prolong(Peer);
    if (++Peer.GoodProbes >= Settings.GoodProbes)
      restore(Peer);
  }

  auto restore(peer &Peer) -> void {
    Peer.EjectedUntil.reset();
    Peer.ReturnedAt = Clock->now();
    Peer.MeanLog = 0.0;
    Peer.Samples = 0;
    Peer.Failures = 0;
    --Ejected;
    Board->restore(Peer.Handle);
  }

  auto endOverdueProbe(peer &Peer) -> void {
    if (Peer.Probe == 0)
      return;
    for (const auto &Pending : Peer.Pending)
      if (Pending.Number == Peer.Probe &&
          Clock->now() - Pending.Since > probeLimit())
        return probeEnded(Peer, false);
  }

  const clock *Clock;
  backend_board *Board;
  outlier_settings Settings;
  std::unordered_map<std::uint32_t, peer> Peers;
  double MedianLog = 0.0;
  std::uint64_t LastNumber = 0;
  std::uint32_t Ejected = 0;
};

} // namespace acacianotch
