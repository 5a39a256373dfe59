/// \file Admission: whether an entry takes a request for one pool.
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
  double QueueFactor = 0.75;  ///< Requests admitted to wait, per slot.
  double LongShare = 0.5;     ///< Share of slots that long work may take.
  double MinEntryShare = 0.1; ///< Share of the pool that this entry may always
                              ///< use; about 1 by number of entries.
  duration ShortPrior{500'000};       ///< Service time of short work until
                                      ///< learnt.
  duration LongPrior{15'000'000};     ///< Service time of long work until
                                      ///< learnt.
  duration MinRetryAfter{200'000};    ///< Least advice before jitter.
  duration MaxRetryAfter{30'000'000}; ///< Greatest advice before jitter.
};

/// One request as admission sees it.
struct admission_request {
  account_id Account;    ///< Client account.
  bool Long = false;     ///< Long work.
  duration Remaining{0}; ///< Time left until the deadline; 0 for none.
  duration Expected{0};  ///< Predicted service time; 0: the learnt mean.
};

/// Admits requests for one pool. Below the pool's limit everything is taken.
/// At the limit an account gets in only while it holds less than its weighted
/// share of what this entry holds, so a few large accounts cannot keep others
/// out. A decision costs the same for any number of accounts and backend
/// servers.
template <random_source random> class admission {
public:
  admission(random &RandomRef, account_board &BoardRef,
            admission_settings Values = {})
      : Random(&RandomRef), Board(&BoardRef),
        Settings(Values), Lanes{lane{service_time(Values.ShortPrior)},
                                lane{service_time(Values.LongPrior)}} {}

  /// Admits or rejects \p Request given the placement's \p Pool. An admitted
  /// one counts as started until finished() is called.
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

  /// Marks an admitted request as ended; \p Response is the time since its
  /// admission if it ran to its end, otherwise 0.
  auto finished(const account_id &Account, bool Long, duration Response)
      -> void {
    auto &Lane = laneOf(Long);
    Board->finished(Account);
    const auto Found = Lane.Holdings.find(Account);
    if (Found == Lane.Holdings.end())
      return;
    --Lane.Own;
    if (--Found->second.InFlight == 0) {
      Lane.ActiveWeight -= Found->second.Weight;
      Lane.Holdings.erase(Found);
    }
    learn(Lane, Response);
  }

private:
  struct holding {
    std::uint32_t InFlight = 0;
    double Weight = 1.0;
  };
  struct lane {
    service_time Service;
    std::unordered_map<account_id, holding> Holdings{};
    double ActiveWeight = 0.0;
    std::uint32_t Own = 0;
    std::uint32_t OwnAtSummary = 0;
    double RejectedShare = 0.0;
    double Crowding = 1.0; // Requests per slot, at least 1.
  };
  // Slots that one lane can count on, and the load on them.
  struct usage {
    double Slots;
    double Load;
  };

  auto laneOf(bool Long) -> lane & { return Lanes[Long ? 1 : 0]; }

  // The summary of the pool is a few milliseconds old; own changes since then
  // are added, or a burst would pass before the next one.
  auto follow(const pool_load &Pool) -> void {
    if (SeenSummary == Pool.Revision)
      return;
    SeenSummary = Pool.Revision;
    for (auto &Lane : Lanes)
      Lane.OwnAtSummary = Lane.Own;
  }

  static auto sinceSummary(const lane &Lane) -> double {
    return static_cast<double>(Lane.Own) -
           static_cast<double>(Lane.OwnAtSummary);
  }

  [[nodiscard]] auto use(bool Long, const pool_load &Pool) const -> usage {
    const auto LongLoad = Pool.LongLoad + sinceSummary(Lanes[1]);
    const auto LongSlots = Settings.LongShare * Pool.Slots;
    if (Long)
      return {std::max(1.0, LongSlots), LongLoad};
    const auto Taken = std::clamp(LongLoad, 0.0, LongSlots);
    const auto ShortLoad = Pool.Load - Pool.LongLoad + sinceSummary(Lanes[0]);
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
    follow(Pool);
    auto &Lane = laneOf(Request.Long);
    const auto Usage = use(Request.Long, Pool);
    Lane.Crowding = std::max(1.0, Usage.Load / Usage.Slots);
    const auto Feasible = checkDeadline(Request, Lane, Usage);
    if (!Feasible.ok())
      return Feasible;
    if (Usage.Load < room(Lane, Request.Account, Usage))
      return {};
    return {errc::overloaded, duration{0}};
  }

  // Without a queue, only a prediction for this very request may reject it: a
  // learnt time above the deadline would reject everything and so never be
  // corrected.
  static auto checkDeadline(const admission_request &Request, const lane &Lane,
                            const usage &Usage) -> admission_result {
    if (Request.Remaining.count() <= 0)
      return {};
    if (Request.Expected > Request.Remaining)
      return {errc::deadline_exceeded, duration{0}};
    const auto Queue = std::max(0.0, Usage.Load + 1.0 - Usage.Slots);
    const auto Predicted = Request.Expected.count() > 0;
    const auto Expected = Predicted ? Request.Expected : Lane.Service.typical();
    const auto Mean = static_cast<double>(Lane.Service.mean().count());
    const auto Left =
        static_cast<double>((Request.Remaining - Expected).count());
    if (Queue > 0.0 && Queue / Usage.Slots * Mean > Left)
      return {errc::overloaded, duration{0}};
    return {};
  }

  // Load up to which the account is admitted. Below its weighted share of what
  // this entry may hold, an account is always admitted. Above it, the room
  // shrinks by up to half of the queue at twice the share, so that the last
  // places are left to accounts whose demand varies around their share.
  [[nodiscard]] auto room(const lane &Lane, const account_id &Account,
                          const usage &Usage) const -> double {
    const auto Queue = Usage.Slots * Settings.QueueFactor;
    const auto Room = Usage.Slots + Queue;
    const auto Others = std::max(0.0, Usage.Load - Lane.Own);
    const auto OwnRoom = std::max(Room - Others, Room * Settings.MinEntryShare);
    const auto Found = Lane.Holdings.find(Account);
    const bool Active = Found != Lane.Holdings.end();
    const auto Weight = Board->row(Account).Facts.Weight;
    const auto AllWeight = Lane.ActiveWeight + (Active ? 0.0 : Weight);
    const auto Share = OwnRoom * Weight / AllWeight;
    const auto Held = Active ? Found->second.InFlight : 0U;
    if (Held + 1.0 <= Share)
      return std::numeric_limits<double>::infinity();
    const auto Excess = std::min(1.0, Held / Share - 1.0);
    return Room - 0.5 * Queue * std::max(0.0, Excess);
  }

  auto start(lane &Lane, const account_id &Account) -> void {
    Board->started(Account);
    auto &Holding = Lane.Holdings[Account];
    if (Holding.InFlight++ == 0) {
      Holding.Weight = Board->row(Account).Facts.Weight;
      Lane.ActiveWeight += Holding.Weight;
    }
    ++Lane.Own;
  }

  // A response time contains the wait, so it is divided by the requests per
  // slot to give the service time.
  static auto learn(lane &Lane, duration Response) -> void {
    if (Response.count() <= 0)
      return;
    const auto Micros = static_cast<double>(Response.count()) / Lane.Crowding;
    Lane.Service.add(duration{std::llround(Micros)});
  }

  static auto countDecision(lane &Lane, bool Admitted) -> void {
    constexpr double Weight = 1.0 / 64.0;
    Lane.RejectedShare +=
        Weight * ((Admitted ? 0.0 : 1.0) - Lane.RejectedShare);
  }

  // The more is rejected, the longer the advice, so that callers that follow
  // it offer about as much as is admitted. Jitter keeps them from coming back
  // at the same moment.
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
