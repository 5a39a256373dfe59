/// \file Outlier detection: ejects backend servers slower than their peers.
#pragma once

#include "board/backend_board.h"
#include "controller/peer_signal.h"
#include "core/clock_type.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace acacianotch {

/// Settings of outlier detection.
struct outlier_settings {
  double EjectFactor = 3.0;         ///< Multiple of the peers' median.
  duration MinExcess{20'000};       ///< Smaller differences are ignored.
  double MaxEjectedShare = 0.3;     ///< Maximum share of peers ejected.
  std::uint32_t MinPeers = 3;       ///< Peers required for a median.
  std::uint32_t MinSamples = 4;     ///< Samples required, with overdue ones.
  std::uint32_t MaxFailures = 3;    ///< Consecutive failures to eject.
  std::uint32_t GoodProbes = 3;     ///< Consecutive good probes to restore.
  duration Ejection{2'000'000};     ///< First ejection; doubles each time.
  duration MaxEjection{60'000'000}; ///< Maximum time of an ejection.
  duration ProgressValidity{1'000'000}; ///< Time a token counts as progress.
};

/// Identifies an attempt that the detector observes.
struct observed_attempt {
  backend_handle Backend;   ///< Where it runs.
  std::uint64_t Number = 0; ///< Unique within the detector.
};

/// Ejects backend servers of one pool that are slower than their peers, and
/// restores them after successful probes. It uses only observations of this
/// entry, because load reports of a straggler arrive late: the time to first
/// token, and the time per token of streams, which shows a slow-down within a
/// few tokens. Call tick() every 20 to 100 ms.
template <clock_source clock> class outlier_detector {
public:
  outlier_detector(const clock &ClockRef, backend_board &BoardRef,
                   outlier_settings Values = {})
      : Clock(&ClockRef), Board(&BoardRef), Settings(Values) {}

  /// Sets the members of the pool that this entry uses.
  auto setPeers(const std::vector<backend_handle> &Handles) -> void {
    peer_map Kept;
    for (const auto Handle : Handles) {
      const auto Found = Peers.find(Handle);
      if (Found == Peers.end())
        Kept.emplace(Handle, peer{Handle});
      else
        Kept.insert(Peers.extract(Found));
    }
    for (auto &[Handle, Peer] : Peers)
      if (Peer.EjectedUntil)
        restore(Peer);
    Peers = std::move(Kept);
  }

  /// Marks an attempt as sent. The time to first token of \p Long work is not
  /// observed, because its prompts differ in length from those of other work.
  auto started(backend_handle Backend, bool Long) -> observed_attempt {
    const observed_attempt Attempt{Backend, ++LastNumber};
    auto *Peer = find(Backend);
    if (Peer == nullptr)
      return Attempt;
    Peer->Open.insert(Attempt.Number);
    if (!Long)
      Peer->FirstToken.begin(Attempt.Number, Clock->now());
    return Attempt;
  }

  /// Marks the first token of an attempt.
  auto firstToken(const observed_attempt &Attempt) -> void {
    auto *Peer = find(Attempt.Backend);
    // The first token of a cancelled attempt may arrive after its end.
    if (Peer == nullptr || Peer->Open.count(Attempt.Number) == 0)
      return;
    const auto Now = Clock->now();
    const auto Time = Peer->FirstToken.end(Attempt.Number, Now);
    Peer->Failures = 0;
    Peer->PerToken.begin(Attempt.Number, Now);
    if (!Time)
      return;
    if (Peer->Probe != Attempt.Number)
      return Peer->FirstToken.observe(*Time);
    // If a median time per token exists, the probe is decided by its next token
    // instead, because the time to first token depends on the prompt.
    if (PerTokenMedian == 0.0)
      probeEnded(*Peer, *Time <= limit(FirstTokenMedian));
  }

  /// Records \p Tokens further tokens of an attempt after its first.
  auto progress(const observed_attempt &Attempt, std::uint32_t Tokens) -> void {
    auto *Peer = find(Attempt.Backend);
    if (Peer == nullptr || Tokens == 0)
      return;
    const auto Now = Clock->now();
    const auto Time = Peer->PerToken.end(Attempt.Number, Now);
    if (!Time)
      return;
    Peer->PerToken.begin(Attempt.Number, Now);
    Peer->ProgressAt = Now;
    const auto TimePerToken = *Time / static_cast<std::int64_t>(Tokens);
    if (Peer->Probe == Attempt.Number)
      return probeEnded(*Peer, TimePerToken <= limit(PerTokenMedian));
    Peer->PerToken.observe(TimePerToken);
  }

  /// Removes an attempt that ended without a fault of the backend server: it
  /// was completed, cancelled or rejected as `not_run`.
  auto ended(const observed_attempt &Attempt) -> void {
    if (auto *Peer = find(Attempt.Backend))
      forget(*Peer, Attempt.Number);
  }

  /// Marks an attempt as failed by the backend server or its agent.
  auto failed(const observed_attempt &Attempt) -> void {
    auto *Peer = find(Attempt.Backend);
    if (Peer == nullptr)
      return;
    if (Peer->Probe == Attempt.Number)
      probeEnded(*Peer, false);
    forget(*Peer, Attempt.Number);
    if (++Peer->Failures >= Settings.MaxFailures && !Peer->EjectedUntil &&
        mayEject())
      eject(*Peer);
  }

  /// Ejects a backend server whose agent is unreachable. MaxEjectedShare does
  /// not apply, since it cannot receive work in any case.
  auto unreachable(backend_handle Backend) -> void {
    auto *Peer = find(Backend);
    if (Peer != nullptr && !Peer->EjectedUntil)
      eject(*Peer);
  }

  /// Compares the peers, ejects outliers and fails overdue probes.
  auto tick() -> void {
    FirstTokenMedian = medianOf(&peer::FirstToken).value_or(FirstTokenMedian);
    PerTokenMedian = medianOf(&peer::PerToken).value_or(PerTokenMedian);
    for (auto &[Handle, Peer] : Peers) {
      if (Peer.EjectedUntil)
        endOverdueProbe(Peer);
      else if (isOutlier(Peer) && mayEject())
        eject(Peer);
    }
  }

  /// \return an ejected backend server that is due for a probe. The entry
  /// sends it a copy of an idempotent request and calls probeStarted(). It
  /// discards the answer and cancels the copy once probing() is false.
  [[nodiscard]] auto probeDue() const -> std::optional<backend_handle> {
    if (Ejected == 0)
      return std::nullopt;
    for (const auto &[Handle, Peer] : Peers)
      if (Peer.EjectedUntil && Peer.Probe == 0 && mayProbe(Peer) &&
          *Peer.EjectedUntil <= Clock->now())
        return Handle;
    return std::nullopt;
  }

  /// Marks a probe as sent.
  auto probeStarted(backend_handle Backend) -> observed_attempt {
    const auto Attempt = started(Backend, false);
    if (auto *Peer = find(Backend))
      Peer->Probe = Attempt.Number;
    return Attempt;
  }

  /// Marks a probe as completed; it succeeds if it is still undecided.
  auto probeAnswered(const observed_attempt &Attempt) -> void {
    auto *Peer = find(Attempt.Backend);
    if (Peer != nullptr && Peer->Probe == Attempt.Number)
      probeEnded(*Peer, true);
    ended(Attempt);
  }

  /// \return whether a probe is still undecided. Its tokens, its end and tick()
  /// decide it.
  [[nodiscard]] auto probing(const observed_attempt &Attempt) const -> bool {
    const auto Found = Peers.find(Attempt.Backend);
    return Found != Peers.end() && Found->second.Probe == Attempt.Number;
  }

  /// \return number of backend servers that are ejected.
  [[nodiscard]] auto ejected() const -> std::uint32_t { return Ejected; }

private:
  // The time per token varies less between requests than the time to first
  // token, which depends on the prompt, so it needs fewer samples.
  static constexpr double FirstTokenWeight = 1.0 / 8.0;
  static constexpr double PerTokenWeight = 1.0 / 4.0;

  struct peer {
    explicit peer(backend_handle Value) : Handle(Value) {}

    backend_handle Handle;
    peer_signal FirstToken{FirstTokenWeight};
    peer_signal PerToken{PerTokenWeight};
    std::set<std::uint64_t> Open; // Attempts that neither ended nor failed.
    std::uint32_t Failures = 0;
    std::uint32_t Ejections = 0;
    std::uint32_t GoodProbes = 0;
    std::uint64_t Probe = 0; // Attempt number of the probe in flight, or 0.
    std::optional<time_point> EjectedUntil;
    time_point ReturnedAt{};
    time_point ProgressAt{}; // Time of the last streamed token.
  };
  using peer_map = std::map<backend_handle, peer>;

  [[nodiscard]] auto find(backend_handle Backend) -> peer * {
    const auto Found = Peers.find(Backend);
    return Found == Peers.end() ? nullptr : &Found->second;
  }

  [[nodiscard]] auto mayProbe(const peer &Peer) const -> bool {
    const auto *Row = Board->row(Peer.Handle);
    return Row != nullptr && !Row->Removed && !Row->Facts.Leaving;
  }

  auto forget(peer &Peer, std::uint64_t Number) -> void {
    Peer.Open.erase(Number);
    Peer.FirstToken.end(Number, Clock->now());
    Peer.PerToken.end(Number, Clock->now());
    if (Peer.Probe == Number)
      Peer.Probe = 0;
  }

  [[nodiscard]] auto medianOf(peer_signal peer::*Signal) const
      -> std::optional<double> {
    std::vector<double> Means;
    for (const auto &[Handle, Peer] : Peers)
      if (!Peer.EjectedUntil && (Peer.*Signal).current().Samples > 0)
        Means.push_back((Peer.*Signal).current().MeanLog);
    if (Means.size() < Settings.MinPeers)
      return std::nullopt;
    const auto Middle =
        std::next(Means.begin(), static_cast<std::ptrdiff_t>(Means.size() / 2));
    std::nth_element(Means.begin(), Middle, Means.end());
    return *Middle;
  }

  // The time to first token includes the time in the agent's queue, which does
  // not depend on the speed of the engine. It is used only if no stream shows
  // that the engine is about as fast as its peers.
  [[nodiscard]] auto isOutlier(const peer &Peer) const -> bool {
    if (exceeds(Peer.PerToken, PerTokenMedian))
      return true;
    return !streamsAtPeerSpeed(Peer) &&
           exceeds(Peer.FirstToken, FirstTokenMedian);
  }

  [[nodiscard]] auto streamsAtPeerSpeed(const peer &Peer) const -> bool {
    const auto Estimate =
        Peer.PerToken.withOverdue(PerTokenMedian, Clock->now());
    return PerTokenMedian > 0.0 &&
           Clock->now() - Peer.ProgressAt < Settings.ProgressValidity &&
           Estimate.MeanLog <
               PerTokenMedian + 0.5 * std::log(Settings.EjectFactor);
  }

  [[nodiscard]] auto exceeds(const peer_signal &Signal, double Median) const
      -> bool {
    if (Median == 0.0)
      return false;
    const auto Estimate = Signal.withOverdue(Median, Clock->now());
    const auto Excess = std::exp(Estimate.MeanLog) - std::exp(Median);
    return Estimate.Samples >= Settings.MinSamples &&
           Estimate.MeanLog > Median + std::log(Settings.EjectFactor) &&
           Excess > static_cast<double>(Settings.MinExcess.count());
  }

  [[nodiscard]] auto limit(double Median) const -> duration {
    const auto Micros = std::exp(Median) * Settings.EjectFactor;
    return duration{static_cast<duration::rep>(Micros)} + Settings.MinExcess;
  }

  [[nodiscard]] auto mayEject() const -> bool {
    if (Peers.size() < Settings.MinPeers)
      return false;
    const auto Share =
        Settings.MaxEjectedShare * static_cast<double>(Peers.size());
    return Ejected < std::max(1U, static_cast<std::uint32_t>(Share));
  }

  auto eject(peer &Peer) -> void {
    // Resets the doubling if the last ejection was long ago.
    if (Clock->now() - Peer.ReturnedAt > Settings.MaxEjection)
      Peer.Ejections = 0;
    extendEjection(Peer);
    ++Ejected;
    Board->eject(Peer.Handle);
  }

  auto extendEjection(peer &Peer) -> void {
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
      return extendEjection(Peer);
    if (++Peer.GoodProbes >= Settings.GoodProbes)
      restore(Peer);
  }

  auto restore(peer &Peer) -> void {
    Peer.EjectedUntil.reset();
    Peer.ReturnedAt = Clock->now();
    Peer.FirstToken.reset();
    Peer.PerToken.reset();
    Peer.Failures = 0;
    --Ejected;
    Board->restore(Peer.Handle);
  }

  auto endOverdueProbe(peer &Peer) -> void {
    if (Peer.Probe == 0)
      return;
    const auto Now = Clock->now();
    const auto First = Peer.FirstToken.age(Peer.Probe, Now);
    const auto Next = Peer.PerToken.age(Peer.Probe, Now);
    if ((First && *First > limit(FirstTokenMedian)) ||
        (Next && *Next > limit(PerTokenMedian)))
      probeEnded(Peer, false);
  }

  const clock *Clock;
  backend_board *Board;
  outlier_settings Settings;
  peer_map Peers;
  double FirstTokenMedian = 0.0;
  double PerTokenMedian = 0.0;
  std::uint64_t LastNumber = 0;
  std::uint32_t Ejected = 0;
};

} // namespace acacianotch
