/// \file The queue of an agent in front of its backend server.
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
  std::uint32_t Slots = 8;          ///< Requests that may run at once.
  double LongShare = 0.5;           ///< Share of slots that long work may take.
  std::uint32_t LaneLimit = 128;    ///< Waiting requests per class.
  std::uint32_t TotalLimit = 256;   ///< Waiting requests in total.
  duration PriorityStep{2'000'000}; ///< Wait that outweighs one priority level.
  duration LongStep{4'000'000};     ///< Wait of long work that outweighs short.
  duration ShortPrior{500'000};    ///< Service time of short work until learnt.
  duration LongPrior{15'000'000};  ///< Service time of long work until learnt.
  duration MinRetryAfter{100'000}; ///< Least advice.
  duration MaxRetryAfter{30'000'000}; ///< Greatest advice.
};

/// One request offered to the queue.
struct work_item {
  account_id Account;        ///< Client account that is charged.
  double Weight = 1.0;       ///< Share of the account within its class.
  std::uint8_t Priority = 1; ///< 0 is the most urgent.
  bool Long = false;         ///< Counts against the cap for long work.
  bool Isolated = false;     ///< Must run alone.
  time_point Deadline = time_point::max(); ///< Latest useful completion.
  duration Expected{0}; ///< Predicted service time; 0: the learnt mean.
};

/// A request that left the queue without running.
struct dropped_work {
  work_ticket Ticket = work_ticket::none; ///< Ticket from offer().
  admission_result Reason;                ///< Why; its verdict is `not_run`.
};

/// Decides the order in which an agent runs requests. The agent calls offer()
/// for each request, then next() until it returns nothing, then takeDropped();
/// and the last two again after finished(), cancel() or the time of
/// nextTimeout().
template <clock_source clock> class agent_queue {
public:
  explicit agent_queue(const clock &ClockRef, agent_queue_settings Values = {})
      : Clock(&ClockRef),
        Settings(Values), Service{service_time(Values.ShortPrior),
                                  service_time(Values.LongPrior)} {}

  /// Takes or rejects a request. A taken one has the ticket lastTicket().
  auto offer(const work_item &Item) -> admission_result {
    const auto Reason = assess(Item);
    if (!Reason.ok())
      return Reason;
    if (!makeRoom(Item))
      return reject(errc::overloaded, Item);
    insert(Item);
    return {};
  }

  /// \return the ticket of the request that offer() took last.
  [[nodiscard]] auto lastTicket() const -> work_ticket {
    return work_ticket{LastTicket};
  }

  /// \return the next request to hand to the backend server, if one may run.
  [[nodiscard]] auto next() -> std::optional<work_ticket> {
    dropExpired();
    if (IsolatedRunning || Running >= Settings.Slots)
      return std::nullopt;
    const auto Lane = earliestLane();
    if (Lane == Lanes.end())
      return std::nullopt;
    // Nothing else starts while an isolated request waits for the others.
    if (Lane->first.Isolated && Running > 0)
      return std::nullopt;
    return start(Lane->second);
  }

  /// Marks a running request as ended; \p Complete if it ran to its end.
  auto finished(work_ticket Ticket, bool Complete) -> void {
    const auto Found = Records.find(Ticket);
    if (Found == Records.end())
      return;
    const auto &Record = Found->second;
    assert(Record.Running);
    if (Complete)
      mean(Record.Item.Long).add(Clock->now() - Record.Since);
    --Running;
    LongRunning -= Record.Item.Long ? 1 : 0;
    IsolatedRunning = IsolatedRunning && !Record.Item.Isolated;
    Records.erase(Found);
  }

  /// Removes a request that its caller has given up, waiting or running.
  auto cancel(work_ticket Ticket) -> void {
    const auto Found = Records.find(Ticket);
    if (Found == Records.end())
      return;
    if (Found->second.Running)
      finished(Ticket, false);
    else
      removeWaiting(Ticket);
  }

  /// \return requests dropped since the last call: past hope of their
  /// deadline, or displaced by more urgent or less greedy ones.
  [[nodiscard]] auto takeDropped() -> std::vector<dropped_work> {
    return std::exchange(Dropped, {});
  }

  /// \return when next() should be called again without another event.
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

  /// \return slots that long work may take.
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
    const auto Mean = static_cast<double>(mean(Item.Long).mean().count());
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
    time_point Since; // Arrival, then start.
    time_point LatestStart;
    bool Running = false;
  };
  using lane_map = std::map<lane_key, fair_queue>;

  static auto keyOf(const work_item &Item) -> lane_key {
    return {Item.Priority, Item.Long, Item.Isolated};
  }

  auto mean(bool Long) -> service_time & { return Service[Long ? 1 : 0]; }
  [[nodiscard]] auto mean(bool Long) const -> const service_time & {
    return Service[Long ? 1 : 0];
  }

  [[nodiscard]] auto expected(const work_item &Item) const -> duration {
    return Item.Expected.count() > 0 ? Item.Expected
                                     : mean(Item.Long).typical();
  }

  [[nodiscard]] auto runningOf(bool Long) const -> std::uint32_t {
    return Long ? LongRunning : Running - LongRunning;
  }

  // Slots that work of one kind can count on: long work its cap, short work
  // what the long work already here leaves.
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
               : Found->second.ahead(Item.Account, Item.Weight);
  }

  [[nodiscard]] auto isolating() const -> bool {
    return IsolatedRunning || IsolatedWaiting > 0;
  }

  [[nodiscard]] auto isolationWait() const -> duration {
    if (!isolating())
      return duration{0};
    return mean(LongRunning > 0).mean() * (IsolatedWaiting + 1);
  }

  // Only a prediction for this very request may reject it without a queue: a
  // learnt time above the deadline would reject everything and so never be
  // corrected.
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

  // A full class drops the newest request of the account that has the most
  // waiting per weight; a full queue drops from the least urgent class.
  auto makeRoom(const work_item &Item) -> bool {
    const auto Key = keyOf(Item);
    const auto Lane = Lanes.find(Key);
    if (Lane != Lanes.end() && Lane->second.size() >= Settings.LaneLimit)
      return displaceGreedier(Lane->second, Item);
    if (Waiting < Settings.TotalLimit)
      return true;
    const auto Last = leastUrgentLane();
    if (Last->first > Key)
      return displace(Last->second, *Last->second.longest());
    return Last->first == Key && displaceGreedier(Last->second, Item);
  }

  auto displaceGreedier(fair_queue &Queue, const work_item &Item) -> bool {
    const auto *Greediest = Queue.longest();
    const auto After = Queue.perWeight(Item.Account) + 1.0 / Item.Weight;
    if (Greediest == nullptr || Queue.perWeight(*Greediest) <= After)
      return false;
    return displace(Queue, *Greediest);
  }

  auto displace(fair_queue &Queue, const account_id &Account) -> bool {
    const auto Ticket = Queue.last(Account);
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

  // Urgency is arrival time plus a penalty for priority and length, so a
  // waiting request overtakes more urgent classes once it is old enough.
  [[nodiscard]] auto agedKey(const lane_key &Key, const fair_queue &Queue) const
      -> time_point {
    const auto Arrival = Records.at(Queue.oldest()).Since;
    const auto Penalty = Key.Priority * Settings.PriorityStep;
    return Arrival + Penalty + (Key.Long ? Settings.LongStep : duration{0});
  }

  [[nodiscard]] auto mayRun(const lane_key &Key, const fair_queue &Queue) const
      -> bool {
    return !Queue.empty() && (!Key.Long || LongRunning < longCap());
  }

  auto earliestLane() -> typename lane_map::iterator {
    auto Best = Lanes.end();
    auto BestKey = time_point::max();
    for (auto Lane = Lanes.begin(); Lane != Lanes.end(); ++Lane) {
      if (!mayRun(Lane->first, Lane->second))
        continue;
      const auto Key = agedKey(Lane->first, Lane->second);
      if (Key >= BestKey)
        continue;
      Best = Lane;
      BestKey = Key;
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
