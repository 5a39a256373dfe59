/// \file Tests of the agent queue.
#include "controller/agent_queue.h"

#include <doctest/doctest.h>

#include <string>

using namespace acacianotch;

namespace {

using test_queue = agent_queue<virtual_clock>;

constexpr duration Millisecond{1'000};
constexpr duration Second{1'000'000};

auto shortWork(const std::string &Account = "a") -> work_item {
  work_item Item;
  Item.Account = account_id(Account);
  return Item;
}

auto longWork(const std::string &Account = "a") -> work_item {
  auto Item = shortWork(Account);
  Item.Long = true;
  Item.Priority = 2;
  return Item;
}

auto enqueue(test_queue &Queue, const work_item &Item) -> work_ticket {
  REQUIRE(Queue.offer(Item).ok());
  return Queue.lastTicket();
}

auto startAll(test_queue &Queue) -> std::vector<work_ticket> {
  std::vector<work_ticket> Started;
  while (const auto Ticket = Queue.next())
    Started.push_back(*Ticket);
  return Started;
}

} // namespace

// Guards against long work that takes all slots while no short work is queued,
// so that the next short request waits for a long one to finish.
TEST_CASE("long work stays within its cap while short work is absent") {
  virtual_clock Clock;
  test_queue Queue(Clock);
  for (int Count = 0; Count < 10; ++Count)
    enqueue(Queue, longWork());
  CHECK(startAll(Queue).size() == 4U);
  const auto Short = enqueue(Queue, shortWork());
  CHECK(Queue.next() == Short);
  CHECK(Queue.report().Long == 10U);
}

// Guards against starvation: without ageing, a steady flow of short work delays
// long work indefinitely.
TEST_CASE("long work gets a slot under a steady flow of short work") {
  virtual_clock Clock;
  agent_queue_settings Settings;
  Settings.Slots = 1;
  test_queue Queue(Clock, Settings);
  auto Running = enqueue(Queue, shortWork());
  REQUIRE(Queue.next() == Running);
  const auto Long = enqueue(Queue, longWork());
  bool Ran = false;
  for (int Step = 0; Step < 100 && !Ran; ++Step) {
    enqueue(Queue, shortWork());
    Clock.advance(100 * Millisecond);
    Queue.finished(Running, true);
    Running = *Queue.next();
    Ran = Running == Long;
  }
  CHECK(Ran);
}

// Guards against urgent work that waits behind less urgent work.
TEST_CASE("more urgent work runs first") {
  virtual_clock Clock;
  agent_queue_settings Settings;
  Settings.Slots = 1;
  test_queue Queue(Clock, Settings);
  enqueue(Queue, shortWork());
  auto Urgent = shortWork();
  Urgent.Priority = 0;
  const auto Ticket = enqueue(Queue, Urgent);
  CHECK(Queue.next() == Ticket);
}

// Guards against a useless wait: a request that cannot meet its deadline is
// rejected immediately, with a retry delay.
TEST_CASE("work that cannot meet its deadline is rejected at once") {
  virtual_clock Clock;
  agent_queue_settings Settings;
  Settings.Slots = 1;
  test_queue Queue(Clock, Settings);
  auto Item = shortWork();
  Item.Deadline = Clock.now() + 100 * Millisecond;
  Item.Expected = 200 * Millisecond;
  CHECK(Queue.offer(Item).Code == errc::deadline_exceeded);
  Item.Expected = duration{0};
  Item.Deadline = Clock.now() + 1200 * Millisecond;
  CHECK(Queue.offer(Item).ok());
  REQUIRE(Queue.next().has_value());
  CHECK(Queue.offer(Item).ok());
  const auto Rejected = Queue.offer(Item);
  CHECK(Rejected.Code == errc::overloaded);
  CHECK(Rejected.RetryAfter >= 500 * Millisecond);
  CHECK(Rejected.error().Verdict == verdict::not_run);
}

// Guards against an agent that rejects every request permanently: slow answers
// raise the mean service time above the deadline, and without running requests
// no observation lowers it again.
TEST_CASE("a mean time above the deadline does not reject on an idle server") {
  virtual_clock Clock;
  test_queue Queue(Clock);
  for (int Count = 0; Count < 200; ++Count) {
    const auto Ticket = enqueue(Queue, shortWork());
    REQUIRE(Queue.next() == Ticket);
    Clock.advance(100 * Second);
    Queue.finished(Ticket, true);
  }
  auto Item = shortWork();
  Item.Deadline = Clock.now() + Second;
  const auto Ticket = enqueue(Queue, Item);
  CHECK(Queue.next() == Ticket);
}

// Guards against work that starts when it can no longer meet its deadline.
TEST_CASE("work past its latest start is dropped without running") {
  virtual_clock Clock;
  agent_queue_settings Settings;
  Settings.Slots = 1;
  test_queue Queue(Clock, Settings);
  const auto First = enqueue(Queue, shortWork());
  REQUIRE(Queue.next() == First);
  auto Item = shortWork();
  Item.Deadline = Clock.now() + 2 * Second;
  const auto Late = enqueue(Queue, Item);
  REQUIRE(Queue.nextTimeout().has_value());
  Clock.set(*Queue.nextTimeout() + Millisecond);
  Queue.finished(First, true);
  CHECK_FALSE(Queue.next().has_value());
  const auto Dropped = Queue.takeDropped();
  REQUIRE(Dropped.size() == 1U);
  CHECK(Dropped[0].Ticket == Late);
  CHECK(Dropped[0].Reason.Code == errc::deadline_exceeded);
}

// Guards against an account that takes all slots by sending more requests.
TEST_CASE("accounts share slots by weight") {
  virtual_clock Clock;
  agent_queue_settings Settings;
  Settings.Slots = 1;
  test_queue Queue(Clock, Settings);
  std::set<work_ticket> Small;
  for (int Count = 0; Count < 60; ++Count)
    enqueue(Queue, shortWork("large"));
  auto Item = shortWork("small");
  Item.Weight = 2.0;
  for (int Count = 0; Count < 30; ++Count)
    Small.insert(enqueue(Queue, Item));
  int SmallRan = 0;
  for (int Count = 0; Count < 30; ++Count) {
    const auto Ticket = *Queue.next();
    SmallRan += Small.count(Ticket) > 0 ? 1 : 0;
    Queue.finished(Ticket, false);
  }
  CHECK(SmallRan >= 19);
  CHECK(SmallRan <= 21);
}

// Guards against a queue that one account fills, so that the requests of all
// others are rejected.
TEST_CASE("a full lane drops work of the account with the largest backlog") {
  virtual_clock Clock;
  agent_queue_settings Settings;
  Settings.LaneLimit = 10;
  test_queue Queue(Clock, Settings);
  for (int Count = 0; Count < 10; ++Count)
    enqueue(Queue, shortWork("large"));
  const auto Newest = Queue.lastTicket();
  CHECK(Queue.offer(shortWork("large")).Code == errc::overloaded);
  enqueue(Queue, shortWork("small"));
  const auto Dropped = Queue.takeDropped();
  REQUIRE(Dropped.size() == 1U);
  CHECK(Dropped[0].Ticket == Newest);
  CHECK(Dropped[0].Reason.Code == errc::overloaded);
}

// Guards against urgent work rejected by a queue full of less urgent work.
TEST_CASE("a full queue drops the least urgent work") {
  virtual_clock Clock;
  agent_queue_settings Settings;
  Settings.TotalLimit = 4;
  test_queue Queue(Clock, Settings);
  for (int Count = 0; Count < 4; ++Count)
    enqueue(Queue, longWork());
  CHECK_FALSE(Queue.offer(longWork()).ok());
  CHECK(Queue.offer(shortWork()).ok());
  CHECK(Queue.takeDropped().size() == 1U);
}

// Guards against requests that fail because a request suspected of crashing
// the backend server runs beside them.
TEST_CASE("an isolated request runs alone") {
  virtual_clock Clock;
  test_queue Queue(Clock);
  const auto Before = enqueue(Queue, shortWork());
  REQUIRE(Queue.next() == Before);
  auto Suspect = shortWork();
  Suspect.Isolated = true;
  const auto Isolated = enqueue(Queue, Suspect);
  Clock.advance(Millisecond);
  const auto After = enqueue(Queue, shortWork());
  CHECK_FALSE(Queue.next().has_value());
  Queue.finished(Before, true);
  CHECK(Queue.next() == Isolated);
  CHECK_FALSE(Queue.next().has_value());
  Queue.finished(Isolated, true);
  CHECK(Queue.next() == After);
}

// Guards against slots that remain in use after the caller has cancelled.
TEST_CASE("cancelled work frees its slot, waiting or running") {
  virtual_clock Clock;
  agent_queue_settings Settings;
  Settings.Slots = 1;
  test_queue Queue(Clock, Settings);
  const auto First = enqueue(Queue, shortWork());
  const auto Second = enqueue(Queue, shortWork());
  const auto Third = enqueue(Queue, shortWork());
  REQUIRE(Queue.next() == First);
  Queue.cancel(Second);
  Queue.cancel(First);
  CHECK(Queue.next() == Third);
  Queue.cancel(Third);
  CHECK(Queue.report().Running == 0U);
  CHECK(Queue.report().Queued == 0U);
}
