/// \file Request queue of an agent in front of its backend server.
#pragma once

#include "board/backend_board.h"
#include "controller/admission_type.h"
#include "controller/fair_queue.h"
#include "controller/service_time.h"
#include "core/clock_type.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace acacianotch {

/// Settings of an agent queue.
struct agent_queue_settings {
  std::uint32_t Slots = 8;             ///< Requests that may run concurrently.
  double LongShare = 0.5;              ///< Share of slots open to long work.
  std::uint32_t LaneLimit = 128;       ///< Waiting requests per lane.
  std::uint32_t TotalLimit = 256;      ///< Waiting requests in all lanes.
  duration PriorityPenalty{2'000'000}; ///< Delay per priority level in the
                                       ///< service order.
  duration LongPenalty{4'000'000}; ///< Delay of long work in the service order.
  duration ShortPrior{500'000};    ///< Initial estimate of the service time of
                                   ///< short work.
  duration LongPrior{15'000'000};  ///< Initial estimate of the service time of
                                   ///< long work.
  duration MinRetryAfter{100'000}; ///< Minimum retry delay.
  duration MaxRetryAfter{30'000'000}; ///< Maximum retry delay.
};

/// One request offered to the queue.
struct work_item {
  account_id Account;        ///< Client account that is charged.
  double Weight = 1.0;       ///< Weight of the account within its lane.
  std::uint8_t Priority = 1; ///< 0 is the most urgent.
  bool Long = false;         ///< Counts against the cap for long work.
  bool Isolated = false;     ///< Must not run beside other requests.
  time_point Deadline = time_point::max(); ///< Time by which it must complete.
  duration Expected{0}; ///< Predicted service time; 0 to use the mean.
};

/// A request that was removed from the queue without running.
struct dropped_work {
  work_ticket Ticket = work_ticket::none; ///< Ticket from offer().
  admission_result Reason;                ///< Reason; its verdict is `not_run`.
};

/// Orders the requests of an agent. Each combination of priority, length and
/// isolation has its own lane, a weighted fair queue over client accounts. The
/// agent calls offer() for each request, then next() until it returns nothing,
/// then takeDropped(). It repeats the last two after finished(), cancel() and
/// at the time of nextTimeout().
template <clock_source clock> class agent_queue {
public:
  explicit agent_queue(const clock &ClockRef, agent_queue_settings Values = {})
      : Clock(&ClockRef),
        Settings(Values), Service{service_time(Values.ShortPrior),
                                  service_time(Values.LongPrior)} {}

  /// Enqueues or rejects a request. lastTicket() returns the ticket of an
  /// enqueued one.
  auto offer(const work_item &Item) -> admission_result {
    const auto Reason = assess(Item);
    if (!Reason.ok())
      return Reason;
    if (!makeRoom(Item))
      return reject(errc::overloaded, Item);
    insert(Item);
    return {};
  }

  /// \return the ticket of the request that offer() enqueued last.
  [[nodiscard]] auto lastTicket() const -> work_ticket {
    return work_ticket{LastTicket};
  }

  /// \return the next request to send to the backend server, if one may run.
  [[nodiscard]] auto next() -> std::optional<work_ticket> {
    dropExpired();
    if (IsolatedRunning || Running >= Settings.Slots)
      return std::nullopt;
    const auto Lane = earliestLane();
    if (Lane == Lanes.end())
      return std::nullopt;
    // Nothing else starts while an isolated request waits for the running ones
    // to finish.
    if (Lane->first.Isolated && Running > 0)
      return std::nullopt;
    return start(Lane->second);
  }

  /// Marks a running request as finished; \p Complete if it ran to completion.
  auto finished(work_ticket Ticket, bool Complete) -> void {
    const auto Found = Records.find(Ticket);
    if (Found == Records.end())
      return;
    const auto &Record = Found->second;
    assert(Record.Running);
    if (Complete)
      serviceTimeOf(Record.Item.Long).add(Clock->now() - Record.Since);
    --Running;
    LongRunning -= Record.Item.Long ? 1 : 0;
    IsolatedRunning = IsolatedRunning && !Record.Item.Isolated;
    Records.erase(Found);
  }

  /// Removes a request, waiting or running, that its caller has cancelled.
  auto cancel(work_ticket Ticket) -> void {
    const auto Found = Records.find(Ticket);
    if (Found == Records.end())
      return;
    if (Found->second.Running)
      finished(Ticket, false);
    else
      removeWaiting(Ticket);
  }

  /// \return requests dropped since the last call, because they could no longer
  /// meet their deadline or were displaced from a full queue.
  [[nodiscard]] auto takeDropped() -> std::vector<dropped_work> {
    return std::exchange(Dropped, {});
  }

  /// \return when to call next() again if no other event occurs before.
  [[nodiscard]] auto nextTimeout() const -> std::optional<time_point> {
    if (LatestStarts.empty())
      return std::nullopt;
    return LatestStarts.begin()->first;
  }

  /// \return the load to report with replies.
  [[nodiscard]] auto report() const -> load_report {
    return {Running, Waiting, LongRunning + LongWaiting, Settings.Slots, false};
  }

  /// Changes the number of slots or the share for long work.
  auto configure(std::uint32_t Slots, double LongShare) -> void {
    Settings.Slots = Slots;
    Settings.LongShare = LongShare;
  }

  /// \return number of slots open to long work.
  [[nodiscard]] auto longCap() const -> std::uint32_t {
    if (Settings.LongShare <= 0.0)
      return 0;
    const auto Share = std::floor(Settings.LongShare * Settings.Slots);
    return std::clamp(static_cast<std::uint32_t>(Share), 1U, Settings.Slots);
  }

  /// \return the expected wait of \p Item if it were offered now.
  [[nodiscard]] auto expectedWait(const work_item &Item) const -> duration {
    const auto Key = keyOf(Item);
    const auto Slots = slotsFor(Item.Long);
    auto Ahead = aheadIn(Key, Item);
    if (Ahead < 1.0 && Slots > runningOf(Item.Long) &&
        Running < Settings.Slots && !isolating())
      return duration{0};
    for (const auto &[Other, Queue] : Lanes)
      if (Other.Long == Item.Long && Other.Priority < Item.Priority)
        Ahead += static_cast<double>(Queue.size());
    const auto Mean =
        static_cast<double>(serviceTimeOf(Item.Long).mean().count());
    const auto Wait = (Ahead + 1.0) * Mean / std::max(1U, Slots);
    return duration{std::llround(Wait)} + isolationWait();
  }

private:
  struct lane_key {
    std::uint8_t Priority;
    bool Long;
    bool Isolated;
    auto operator<=>(const lane_key &) const = default;
  };
  struct record {
    work_item Item;
    time_point Since; // Time of arrival; once running, time of start.
    time_point LatestStart;
    bool Running = false;
  };
  using lane_map = std::map<lane_key, fair_queue>;

  static auto keyOf(const work_item &Item) -> lane_key {
    return {Item.Priority, Item.Long, Item.Isolated};
  }

  auto serviceTimeOf(bool Long) -> service_time & {
    return Service[Long ? 1 : 0];
  }
  [[nodiscard]] auto serviceTimeOf(bool Long) const -> const service_time & {
    return Service[Long ? 1 : 0];
  }

  [[nodiscard]] auto expected(const work_item &Item) const -> duration {
    return Item.Expected.count() > 0 ? Item.Expected
                                     : serviceTimeOf(Item.Long).geometricMean();
  }

  [[nodiscard]] auto runningOf(bool Long) const -> std::uint32_t {
    return Long ? LongRunning : Running - LongRunning;
  }

  // Slots available to long or short work. Long work has its cap; short work
  // has the slots that queued and running long work does not use.
  [[nodiscard]] auto slotsFor(bool Long) const -> std::uint32_t {
    if (Long)
      return longCap();
    const auto Taken = std::min(longCap(), LongRunning + LongWaiting);
    return Settings.Slots - std::min(Settings.Slots, Taken);
  }

  [[nodiscard]] auto aheadIn(const lane_key &Key, const work_item &Item) const
      -> double {
    const auto Found = Lanes.find(Key);
    return Found == Lanes.end()
               ? 0.0
               : Found->second.ticketsAhead(Item.Account, Item.Weight);
  }

  [[nodiscard]] auto isolating() const -> bool {
    return IsolatedRunning || IsolatedWaiting > 0;
  }

  [[nodiscard]] auto isolationWait() const -> duration {
    if (!isolating())
      return duration{0};
    return serviceTimeOf(LongRunning > 0).mean() * (IsolatedWaiting + 1);
  }

  // Without a queue, only a prediction for this request may reject it. The mean
  // service time may not: once above the deadline it would reject every request
  // and never be corrected by a new observation.
  auto assess(const work_item &Item) const -> admission_result {
    const auto Now = Clock->now();
    if (Item.Deadline <= Now || Item.Deadline - Now < Item.Expected)
      return {errc::deadline_exceeded, duration{0}};
    const auto Wait = expectedWait(Item);
    if (Wait.count() > 0 && Wait > Item.Deadline - Now - expected(Item))
      return reject(errc::overloaded, Item);
    return {};
  }

  [[nodiscard]] auto latestStart(const work_item &Item) const -> time_point {
    if (Item.Deadline == time_point::max())
      return time_point::max();
    return std::max(Item.Deadline - expected(Item), Clock->now());
  }

  auto reject(errc Code, const work_item &Item) const -> admission_result {
    const auto Wait = expectedWait(Item);
    return {Code,
            std::clamp(Wait, Settings.MinRetryAfter, Settings.MaxRetryAfter)};
  }

  // A full lane drops the newest request of the account with the largest
  // backlog per weight. A full queue does so in its least urgent lane.
  auto makeRoom(const work_item &Item) -> bool {
    const auto Key = keyOf(Item);
    const auto Lane = Lanes.find(Key);
    if (Lane != Lanes.end() && Lane->second.size() >= Settings.LaneLimit)
      return displaceLargestBacklog(Lane->second, Item);
    if (Waiting < Settings.TotalLimit)
      return true;
    const auto Last = leastUrgentLane();
    if (Last->first > Key)
      return displace(Last->second, *Last->second.largestBacklog());
    return Last->first == Key && displaceLargestBacklog(Last->second, Item);
  }

  auto displaceLargestBacklog(fair_queue &Queue, const work_item &Item)
      -> bool {
    const auto *Largest = Queue.largestBacklog();
    const auto After = Queue.backlogPerWeight(Item.Account) + 1.0 / Item.Weight;
    if (Largest == nullptr || Queue.backlogPerWeight(*Largest) <= After)
      return false;
    return displace(Queue, *Largest);
  }

  auto displace(fair_queue &Queue, const account_id &Account) -> bool {
    const auto Ticket = Queue.newest(Account);
    if (!Ticket)
      return false;
    drop(*Ticket, errc::overloaded);
    return true;
  }

  auto leastUrgentLane() -> typename lane_map::iterator {
    auto Last = Lanes.end();
    for (auto Lane = Lanes.begin(); Lane != Lanes.end(); ++Lane)
      if (!Lane->second.empty())
        Last = Lane;
    return Last;
  }

  auto drop(work_ticket Ticket, errc Code) -> void {
    const auto Reason = reject(Code, Records.at(Ticket).Item);
    Dropped.push_back({Ticket, Reason});
    removeWaiting(Ticket);
  }

  auto insert(const work_item &Item) -> void {
    const auto Ticket = work_ticket{++LastTicket};
    const auto Cost = std::chrono::duration<double>(expected(Item)).count();
    Lanes[keyOf(Item)].push(Item.Account, Item.Weight, Ticket, Cost);
    const auto Latest = latestStart(Item);
    if (Latest != time_point::max())
      LatestStarts.insert({Latest, Ticket});
    Records.emplace(Ticket, record{Item, Clock->now(), Latest});
    countWaiting(Item, 1);
  }

  auto countWaiting(const work_item &Item, std::int32_t Change) -> void {
    Waiting += Change;
    LongWaiting += Item.Long ? Change : 0;
    IsolatedWaiting += Item.Isolated ? Change : 0;
  }

  auto removeWaiting(work_ticket Ticket) -> void {
    const auto Found = Records.find(Ticket);
    const auto &Item = Found->second.Item;
    Lanes[keyOf(Item)].erase(Item.Account, Ticket);
    LatestStarts.erase({Found->second.LatestStart, Ticket});
    countWaiting(Item, -1);
    Records.erase(Found);
  }

  auto dropExpired() -> void {
    while (!LatestStarts.empty() && LatestStarts.begin()->first < Clock->now())
      drop(LatestStarts.begin()->second, errc::deadline_exceeded);
  }

  // Ageing: the lane with the earliest effective arrival is served first. It is
  // the arrival time plus a penalty for priority and length, so a waiting
  // request overtakes more urgent lanes once it has waited long enough.
  [[nodiscard]] auto effectiveArrival(const lane_key &Key,
                                      const fair_queue &Queue) const
      -> time_point {
    const auto Arrival = Records.at(Queue.oldest()).Since;
    const auto Penalty = Key.Priority * Settings.PriorityPenalty;
    return Arrival + Penalty + (Key.Long ? Settings.LongPenalty : duration{0});
  }

  [[nodiscard]] auto mayRun(const lane_key &Key, const fair_queue &Queue) const
      -> bool {
    return !Queue.empty() && (!Key.Long || LongRunning < longCap());
  }

  auto earliestLane() -> typename lane_map::iterator {
    auto Best = Lanes.end();
    auto Earliest = time_point::max();
    for (auto Lane = Lanes.begin(); Lane != Lanes.end(); ++Lane) {
      if (!mayRun(Lane->first, Lane->second))
        continue;
      const auto Arrival = effectiveArrival(Lane->first, Lane->second);
      if (Arrival >= Earliest)
        continue;
      Best = Lane;
      Earliest = Arrival;
    }
    return Best;
  }

  auto start(fair_queue &Queue) -> work_ticket {
    const auto Ticket = Queue.front();
    Queue.pop();
    auto &Record = Records.at(Ticket);
    LatestStarts.erase({Record.LatestStart, Ticket});
    countWaiting(Record.Item, -1);
    Record.Running = true;
    Record.Since = Clock->now();
    ++Running;
    LongRunning += Record.Item.Long ? 1 : 0;
    IsolatedRunning = Record.Item.Isolated;
    return Ticket;
  }

  const clock *Clock;
  agent_queue_settings Settings;
  std::array<service_time, 2> Service;
  lane_map Lanes;
  std::unordered_map<work_ticket, record> Records;
  std::set<std::pair<time_point, work_ticket>> LatestStarts;
  std::vector<dropped_work> Dropped;
  std::uint64_t LastTicket = 0;
  std::uint32_t Running = 0;
  std::uint32_t LongRunning = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t LongWaiting = 0;
  std::uint32_t IsolatedWaiting = 0;
  bool IsolatedRunning = false;
};

} // namespace acacianotch
