/// \file Admission control of one pool at an entry.
#pragma once

#include "board/account_board.h"
#include "controller/admission_type.h"
#include "controller/placement.h"
#include "controller/service_time.h"
#include "core/clock_type.h"
#include "core/id_type.h"
#include "core/random_type.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <limits>
#include <unordered_map>

namespace acacianotch {

/// Settings of admission.
struct admission_settings {
  double QueueFactor = 0.75;  ///< Queued requests admitted per slot.
  double LongShare = 0.5;     ///< Share of slots open to long work.
  double MinEntryShare = 0.1; ///< Share of the pool that this entry may always
                              ///< use; about 1 / number of entries.
  duration ShortPrior{500'000};       ///< Initial estimate of the service time
                                      ///< of short work.
  duration LongPrior{15'000'000};     ///< Initial estimate of the service time
                                      ///< of long work.
  duration MinRetryAfter{200'000};    ///< Minimum retry delay before jitter.
  duration MaxRetryAfter{30'000'000}; ///< Maximum retry delay before jitter.
};

/// Properties of a request that decide its admission.
struct admission_request {
  account_id Account;    ///< Client account.
  bool Long = false;     ///< Counts as long work.
  duration Remaining{0}; ///< Time until the deadline; 0 without a deadline.
  duration Expected{0};  ///< Predicted service time; 0 to use the mean.
};

/// Admits requests for one pool. Below the pool's limit every request is
/// admitted. At the limit, a client account is admitted only while its requests
/// in flight are below its weighted share of the requests of this entry, so
/// that a few large accounts cannot starve the others. The cost of a decision
/// does not depend on the number of accounts or backend servers.
template <random_source random> class admission {
public:
  admission(random &RandomRef, account_board &BoardRef,
            admission_settings Values = {})
      : Random(&RandomRef), Board(&BoardRef),
        Settings(Values), Lanes{lane{service_time(Values.ShortPrior)},
                                lane{service_time(Values.LongPrior)}} {}

  /// Admits or rejects \p Request given the load \p Pool that placement
  /// reports. An admitted request counts as in flight until finished().
  auto admit(const admission_request &Request, const pool_load &Pool)
      -> admission_result {
    const auto Reason = assess(Request, Pool);
    auto &Lane = laneOf(Request.Long);
    countDecision(Lane, Reason.ok());
    if (!Reason.ok())
      return {Reason.Code, retryAfter(Lane, Reason.Code)};
    start(Lane, Request.Account);
    return Reason;
  }

  /// Marks an admitted request as finished. \p Response is the time since its
  /// admission if it ran to completion, otherwise 0.
  auto finished(const account_id &Account, bool Long, duration Response)
      -> void {
    auto &Lane = laneOf(Long);
    Board->finished(Account);
    const auto Found = Lane.ActiveAccounts.find(Account);
    if (Found == Lane.ActiveAccounts.end())
      return;
    --Lane.OwnRequests;
    if (--Found->second.InFlight == 0) {
      Lane.ActiveWeight -= Found->second.Weight;
      Lane.ActiveAccounts.erase(Found);
    }
    recordResponseTime(Lane, Response);
  }

private:
  struct account_load {
    std::uint32_t InFlight = 0;
    double Weight = 1.0;
  };
  struct lane {
    service_time Service;
    std::unordered_map<account_id, account_load> ActiveAccounts{};
    double ActiveWeight = 0.0;
    std::uint32_t OwnRequests = 0;
    std::uint32_t OwnRequestsAtSummary = 0;
    double RejectedShare = 0.0;
    double LoadPerSlot = 1.0; // Requests per slot, at least 1.
  };
  // Slots available to one lane, and the load on them.
  struct usage {
    double Slots;
    double Load;
  };

  auto laneOf(bool Long) -> lane & { return Lanes[Long ? 1 : 0]; }

  // The load summary of the pool is a few milliseconds old. The change in the
  // number of this entry's requests since then is added to it; otherwise a
  // burst would be admitted whole before the next summary.
  auto trackSummary(const pool_load &Pool) -> void {
    if (SeenSummary == Pool.Revision)
      return;
    SeenSummary = Pool.Revision;
    for (auto &Lane : Lanes)
      Lane.OwnRequestsAtSummary = Lane.OwnRequests;
  }

  static auto changeSinceSummary(const lane &Lane) -> double {
    return static_cast<double>(Lane.OwnRequests) -
           static_cast<double>(Lane.OwnRequestsAtSummary);
  }

  [[nodiscard]] auto usageOf(bool Long, const pool_load &Pool) const -> usage {
    const auto LongLoad = Pool.LongLoad + changeSinceSummary(Lanes[1]);
    const auto LongSlots = Settings.LongShare * Pool.Slots;
    if (Long)
      return {std::max(1.0, LongSlots), LongLoad};
    const auto Taken = std::clamp(LongLoad, 0.0, LongSlots);
    const auto ShortLoad =
        Pool.Load - Pool.LongLoad + changeSinceSummary(Lanes[0]);
    return {std::max(1.0, Pool.Slots - Taken), ShortLoad};
  }

  auto assess(const admission_request &Request, const pool_load &Pool)
      -> admission_result {
    const auto &Account = Board->row(Request.Account);
    const auto Limit = Account.Facts.MaxInFlight;
    if (Limit > 0 && Account.InFlight >= Limit)
      return {errc::account_limit, duration{0}};
    if (Pool.Slots == 0)
      return {errc::no_backend, duration{0}};
    trackSummary(Pool);
    auto &Lane = laneOf(Request.Long);
    const auto Usage = usageOf(Request.Long, Pool);
    Lane.LoadPerSlot = std::max(1.0, Usage.Load / Usage.Slots);
    const auto Feasible = checkDeadline(Request, Lane, Usage);
    if (!Feasible.ok())
      return Feasible;
    if (Usage.Load < loadLimit(Lane, Request.Account, Usage))
      return {};
    return {errc::overloaded, duration{0}};
  }

  // Without a queue, only a prediction for this request may reject it. The mean
  // service time may not: once above the deadline it would reject every request
  // and never be corrected by a new observation.
  static auto checkDeadline(const admission_request &Request, const lane &Lane,
                            const usage &Usage) -> admission_result {
    if (Request.Remaining.count() <= 0)
      return {};
    if (Request.Expected > Request.Remaining)
      return {errc::deadline_exceeded, duration{0}};
    const auto Queue = std::max(0.0, Usage.Load + 1.0 - Usage.Slots);
    const auto Predicted = Request.Expected.count() > 0;
    const auto Expected =
        Predicted ? Request.Expected : Lane.Service.geometricMean();
    const auto Mean = static_cast<double>(Lane.Service.mean().count());
    const auto Slack =
        static_cast<double>((Request.Remaining - Expected).count());
    if (Queue > 0.0 && Queue / Usage.Slots * Mean > Slack)
      return {errc::overloaded, duration{0}};
    return {};
  }

  // Load below which a request of the account is admitted. Below its weighted
  // share of this entry's capacity, an account is always admitted. Above the
  // share, the limit falls linearly, by half of the queue at twice the share,
  // so that the last places remain for accounts whose demand varies around
  // their share.
  [[nodiscard]] auto loadLimit(const lane &Lane, const account_id &Account,
                               const usage &Usage) const -> double {
    const auto Queue = Usage.Slots * Settings.QueueFactor;
    const auto Capacity = Usage.Slots + Queue;
    const auto Others = std::max(0.0, Usage.Load - Lane.OwnRequests);
    const auto OwnCapacity =
        std::max(Capacity - Others, Capacity * Settings.MinEntryShare);
    const auto Found = Lane.ActiveAccounts.find(Account);
    const bool Active = Found != Lane.ActiveAccounts.end();
    const auto Weight = Board->row(Account).Facts.Weight;
    const auto TotalWeight = Lane.ActiveWeight + (Active ? 0.0 : Weight);
    const auto Share = OwnCapacity * Weight / TotalWeight;
    const auto AccountInFlight = Active ? Found->second.InFlight : 0U;
    if (AccountInFlight + 1.0 <= Share)
      return std::numeric_limits<double>::infinity();
    const auto Excess = std::min(1.0, AccountInFlight / Share - 1.0);
    return Capacity - 0.5 * Queue * std::max(0.0, Excess);
  }

  auto start(lane &Lane, const account_id &Account) -> void {
    Board->started(Account);
    auto &AccountLoad = Lane.ActiveAccounts[Account];
    if (AccountLoad.InFlight++ == 0) {
      AccountLoad.Weight = Board->row(Account).Facts.Weight;
      Lane.ActiveWeight += AccountLoad.Weight;
    }
    ++Lane.OwnRequests;
  }

  // The response time includes the time in the queue, so it is divided by the
  // requests per slot to estimate the service time.
  static auto recordResponseTime(lane &Lane, duration Response) -> void {
    if (Response.count() <= 0)
      return;
    const auto Micros =
        static_cast<double>(Response.count()) / Lane.LoadPerSlot;
    Lane.Service.add(duration{std::llround(Micros)});
  }

  static auto countDecision(lane &Lane, bool Admitted) -> void {
    constexpr double Weight = 1.0 / 64.0;
    Lane.RejectedShare +=
        Weight * ((Admitted ? 0.0 : 1.0) - Lane.RejectedShare);
  }

  // The retry delay grows with the share of rejected requests, so that callers
  // that honour it offer about as much as is admitted. Jitter keeps them from
  // retrying at the same moment.
  auto retryAfter(const lane &Lane, errc Code) -> duration {
    if (Code == errc::deadline_exceeded)
      return duration{0};
    const auto Admitted = std::max(0.02, 1.0 - Lane.RejectedShare);
    const auto Micros =
        static_cast<double>(Lane.Service.mean().count()) / Admitted;
    const auto Bounded =
        std::clamp(duration{std::llround(Micros)}, Settings.MinRetryAfter,
                   Settings.MaxRetryAfter);
    const auto Jitter = 0.5 + randomUnit(*Random);
    return duration{
        std::llround(static_cast<double>(Bounded.count()) * Jitter)};
  }

  random *Random;
  account_board *Board;
  admission_settings Settings;
  std::array<lane, 2> Lanes;
  std::uint64_t SeenSummary = 0;
};

} // namespace acacianotch
