/// \file Placement: selects the backend server of a pool for a request.
#pragma once

#include "board/backend_board.h"
#include "controller/subset.h"
#include "core/clock_type.h"
#include "core/random_type.h"
#include "core/result.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace acacianotch {

/// Settings of placement.
struct placement_settings {
  subset_settings Subset;               ///< Selection of the subset.
  duration ReportHorizon{5'000'000};    ///< Age at which a report is ignored.
  double SpillLoad = 1.0;               ///< Load per slot above which remote
                                        ///< zones are used.
  double AffinityFreeLoad = 0.5;        ///< Load per slot up to which affinity
                                        ///< always applies.
  double AffinityLoadFactor = 1.25;     ///< Load limit relative to peers.
  std::uint32_t AffinityCandidates = 3; ///< Ring members tried in order.
  double LongShare = 0.5;               ///< Share of slots open to long work.
  duration SummaryInterval{10'000};     ///< Maximum age of a load summary.
};

/// Properties of a request that decide its placement.
struct place_request {
  std::optional<std::uint64_t> AffinityKey; ///< Hash of session or prefix.
  std::span<const backend_handle> Exclude;  ///< Backend servers already tried.
  bool Long = false;                        ///< Counts as long work.
};

/// Load of the subset that one entry uses.
struct pool_load {
  std::uint32_t Backends = 0; ///< Eligible backend servers.
  std::uint32_t Slots = 0;    ///< Total slots.
  double Load = 0.0;          ///< Estimated requests running or queued.
  double LongLoad = 0.0;      ///< Long work among them.
  std::uint64_t Revision = 0; ///< Changes with each new summary.

  /// \return estimated requests per slot.
  [[nodiscard]] auto perSlot() const -> double {
    return Slots == 0 ? 0.0 : Load / Slots;
  }
};

/// Selects backend servers from one pool, which serves one version of a model
/// or one plain service. Not thread-safe. The clock, random source and board
/// must outlive it.
template <clock_source clock, random_source random> class placement {
public:
  placement(const clock &ClockRef, random &RandomRef, backend_board &BoardRef,
            node_id EntryId, zone_id OwnZone, placement_settings Values = {})
      : Clock(&ClockRef), Random(&RandomRef), Board(&BoardRef),
        Settings(Values), Subset(std::move(EntryId), std::move(OwnZone)) {}

  /// Sets the members of the pool; call after each membership change. Computes
  /// one hash per member.
  auto update(std::vector<backend_handle> Handles) -> void {
    Members = std::move(Handles);
    Subset.rebuild(*Board, Members, Settings.Subset);
    SeenRevision = 0;
  }

  /// \return the backend server for \p Request, or `no_backend`. The caller
  /// must call started() and later finished() on the board.
  [[nodiscard]] auto pick(const place_request &Request)
      -> result<backend_handle> {
    refresh();
    const auto ByLoad = pickByLoad(Request);
    if (!ByLoad)
      return failure::of(errc::no_backend);
    if (!Request.AffinityKey)
      return *ByLoad;
    return pickByAffinity(Request, *ByLoad).value_or(*ByLoad);
  }

  /// \return the home of \p Key: the first eligible member on the ring, which
  /// requests with the key use unless its load is too high.
  [[nodiscard]] auto home(std::uint64_t Key) -> std::optional<backend_handle> {
    refresh();
    auto Cursor = Subset.ring().seek(Key, Steps);
    for (std::uint32_t Try = 0; Try < Settings.AffinityCandidates; ++Try) {
      const auto Handle = Subset.ring().next(Cursor, Steps);
      if (!Handle || Board->eligible(*Handle))
        return Handle;
    }
    return std::nullopt;
  }

  /// \return the load of the subset, at most SummaryInterval old.
  [[nodiscard]] auto load() -> const pool_load & {
    refresh();
    return Summary;
  }

  /// \return the subset, including members that are not eligible.
  [[nodiscard]] auto subset() const -> const backend_subset & { return Subset; }

  /// \return estimated requests per slot at \p Handle with one more request.
  /// For long work, its load on the slots open to it is considered as well.
  [[nodiscard]] auto perSlot(backend_handle Handle, bool Long) const -> double {
    const auto *Row = Board->row(Handle);
    if (Row == nullptr)
      return 0.0;
    const auto Weight = reportWeight(*Row);
    const auto All = Row->InFlight + Weight * Row->OtherLoad + 1.0;
    if (!Long)
      return All / slots(*Row);
    const auto Capped = Row->InFlightLong + Weight * Row->OtherLongLoad + 1.0;
    const auto CappedSlots = std::max(1.0, Settings.LongShare * slots(*Row));
    return std::max(All / slots(*Row), Capped / CappedSlots);
  }

  /// \return total number of candidates and ring positions examined.
  [[nodiscard]] auto steps() const -> std::uint64_t { return Steps; }

private:
  static auto slots(const backend_row &Row) -> double {
    return std::max(1U, Row.Facts.Slots);
  }

  // The number of own attempts is exact. The load of other entries is as old as
  // the last reply, so its weight decreases with age. A backend server without
  // recent replies then appears idle and is tried again, which gets a new
  // report.
  [[nodiscard]] auto reportWeight(const backend_row &Row) const -> double {
    const auto Age =
        std::chrono::duration<double>(Clock->now() - Row.ReportedAt);
    const auto Horizon = std::chrono::duration<double>(Settings.ReportHorizon);
    return std::clamp(1.0 - Age / Horizon, 0.0, 1.0);
  }

  auto refresh() -> void {
    const auto Now = Clock->now();
    const bool Changed = SeenRevision != Board->eligibilityRevision();
    if (Changed)
      collectEligible();
    if (Changed || Now - SummaryAt >= Settings.SummaryInterval)
      summarise(Now);
  }

  auto collectEligible() -> void {
    SeenRevision = Board->eligibilityRevision();
    if (anyLeaving(Subset.local()) || anyLeaving(Subset.remote()))
      Subset.rebuild(*Board, Members, Settings.Subset);
    collect(Subset.local(), Local);
    collect(Subset.remote(), Remote);
  }

  // Draining and removed members are replaced immediately. Ejected members stay
  // in the subset because they usually return within seconds.
  [[nodiscard]] auto anyLeaving(std::span<const backend_handle> Handles) const
      -> bool {
    return std::any_of(
        Handles.begin(), Handles.end(), [&](backend_handle Handle) {
          const auto *Row = Board->row(Handle);
          return Row == nullptr || Row->Removed || Row->Facts.Leaving;
        });
  }

  auto collect(std::span<const backend_handle> From,
               std::vector<backend_handle> &Into) const -> void {
    Into.clear();
    for (const auto Handle : From)
      if (Board->eligible(Handle))
        Into.push_back(Handle);
  }

  auto summarise(time_point Now) -> void {
    SummaryAt = Now;
    const auto Revision = Summary.Revision + 1;
    Summary = {};
    Summary.Revision = Revision;
    for (const auto *Tier : {&Local, &Remote})
      for (const auto Handle : *Tier)
        addToSummary(*Board->row(Handle));
  }

  auto addToSummary(const backend_row &Row) -> void {
    ++Summary.Backends;
    Summary.Slots += std::max(1U, Row.Facts.Slots);
    const auto Weight = reportWeight(Row);
    Summary.Load += Row.InFlight + Weight * Row.OtherLoad;
    Summary.LongLoad += Row.InFlightLong + Weight * Row.OtherLongLoad;
  }

  [[nodiscard]] auto pickByLoad(const place_request &Request)
      -> std::optional<backend_handle> {
    const bool Long = Request.Long;
    const auto LocalPick = twoChoices(Local, Request);
    if (LocalPick && perSlot(*LocalPick, Long) <= Settings.SpillLoad)
      return LocalPick;
    const auto RemotePick = twoChoices(Remote, Request);
    if (!LocalPick ||
        (RemotePick && perSlot(*RemotePick, Long) < perSlot(*LocalPick, Long)))
      return RemotePick;
    return LocalPick;
  }

  [[nodiscard]] auto twoChoices(const std::vector<backend_handle> &Tier,
                                const place_request &Request)
      -> std::optional<backend_handle> {
    const auto First = draw(Tier, Request.Exclude);
    if (!First)
      return std::nullopt;
    const auto Second = draw(Tier, Request.Exclude);
    const bool Long = Request.Long;
    return perSlot(*Second, Long) < perSlot(*First, Long) ? Second : First;
  }

  // Draws a random member and advances past excluded ones, which takes at most
  // one step per excluded member.
  [[nodiscard]] auto draw(const std::vector<backend_handle> &Tier,
                          std::span<const backend_handle> Exclude)
      -> std::optional<backend_handle> {
    if (Tier.empty())
      return std::nullopt;
    auto Position = randomBelow(*Random, Tier.size());
    const auto Tries = std::min(Tier.size(), Exclude.size() + 1);
    for (std::size_t Try = 0; Try < Tries; ++Try) {
      ++Steps;
      const auto Handle = Tier[Position];
      if (std::find(Exclude.begin(), Exclude.end(), Handle) == Exclude.end())
        return Handle;
      Position = (Position + 1) % Tier.size();
    }
    return std::nullopt;
  }

  [[nodiscard]] auto pickByAffinity(const place_request &Request,
                                    backend_handle Alternative)
      -> std::optional<backend_handle> {
    const bool Long = Request.Long;
    const auto Limit = affinityLimit(perSlot(Alternative, Long));
    auto Cursor = Subset.ring().seek(*Request.AffinityKey, Steps);
    for (std::uint32_t Try = 0; Try < Settings.AffinityCandidates; ++Try) {
      const auto Handle = Subset.ring().next(Cursor, Steps);
      if (!Handle)
        return std::nullopt;
      if (acceptable(*Handle, Request.Exclude) &&
          perSlot(*Handle, Long) <= Limit)
        return Handle;
    }
    return std::nullopt;
  }

  // While the alternative has a free slot, the limit is relative to the mean
  // load of the subset and at most one request per slot. Otherwise it is
  // relative to the alternative. So affinity does not cause a queue, and still
  // applies when every backend server has one.
  [[nodiscard]] auto affinityLimit(double AlternativeLoad) const -> double {
    const auto Mean = Settings.AffinityLoadFactor * Summary.perSlot();
    const auto WithoutQueue =
        std::min(1.0, std::max(Settings.AffinityFreeLoad, Mean));
    if (AlternativeLoad <= 1.0)
      return WithoutQueue;
    return std::max(WithoutQueue,
                    Settings.AffinityLoadFactor * AlternativeLoad);
  }

  [[nodiscard]] auto acceptable(backend_handle Handle,
                                std::span<const backend_handle> Exclude) const
      -> bool {
    return Board->eligible(Handle) &&
           std::find(Exclude.begin(), Exclude.end(), Handle) == Exclude.end();
  }

  const clock *Clock;
  random *Random;
  backend_board *Board;
  placement_settings Settings;
  std::vector<backend_handle> Members;
  backend_subset Subset;
  std::vector<backend_handle> Local;
  std::vector<backend_handle> Remote;
  pool_load Summary;
  time_point SummaryAt{};
  std::uint64_t SeenRevision = 0;
  std::uint64_t Steps = 0;
};

} // namespace acacianotch
