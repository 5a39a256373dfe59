/// \file Weighted fair queue over client accounts.
#include "controller/fair_queue.h"

#include <algorithm>
#include <cassert>

namespace acacianotch {

namespace {

constexpr double MinWeight = 1e-3;

} // namespace

auto fair_queue::activate(const account_id &Account, flow &Flow) -> void {
  Active.insert({Flow.VirtualStart, &Account});
  ActiveWeight += Flow.Weight;
}

auto fair_queue::deactivate(const account_id &Account, flow &Flow) -> void {
  Active.erase({Flow.VirtualStart, &Account});
  ActiveWeight -= Flow.Weight;
}

auto fair_queue::push(const account_id &Account, double Weight,
                      work_ticket Ticket, double Cost) -> void {
  auto &[Key, Flow] = *Flows.try_emplace(Account).first;
  Tickets.insert(Ticket);
  Flow.Waiting.push_back({Ticket, Cost});
  if (Flow.Waiting.size() > 1)
    return;
  Flow.Weight = std::max(MinWeight, Weight);
  // An idle account gets no credit for service time that it did not use.
  Flow.VirtualStart = std::max(Flow.VirtualStart, VirtualTime);
  activate(Key, Flow);
}

auto fair_queue::front() const -> work_ticket {
  if (Active.empty())
    return work_ticket::none;
  return Flows.at(*Active.begin()->second).Waiting.front().Ticket;
}

auto fair_queue::pop() -> void {
  assert(!Active.empty());
  auto &[Key, Flow] = *Flows.find(*Active.begin()->second);
  deactivate(Key, Flow);
  VirtualTime = Flow.VirtualStart;
  Flow.VirtualStart += Flow.Waiting.front().Cost / Flow.Weight;
  Tickets.erase(Flow.Waiting.front().Ticket);
  Flow.Waiting.pop_front();
  if (!Flow.Waiting.empty())
    activate(Key, Flow);
  resetIfEmpty();
}

auto fair_queue::erase(const account_id &Account, work_ticket Ticket) -> void {
  const auto Found = Flows.find(Account);
  if (Found == Flows.end())
    return;
  auto &[Key, Flow] = *Found;
  const auto Position =
      std::find_if(Flow.Waiting.begin(), Flow.Waiting.end(),
                   [&](const entry &Entry) { return Entry.Ticket == Ticket; });
  if (Position == Flow.Waiting.end())
    return;
  Tickets.erase(Ticket);
  Flow.Waiting.erase(Position);
  if (Flow.Waiting.empty())
    deactivate(Key, Flow);
  resetIfEmpty();
}

// Virtual times are comparable only within one busy period. Each busy period
// starts from zero, which also frees the state of accounts that no longer send
// requests.
auto fair_queue::resetIfEmpty() -> void {
  if (!Tickets.empty())
    return;
  Flows.clear();
  ActiveWeight = 0.0;
  VirtualTime = 0.0;
}

auto fair_queue::largestBacklog() const -> const account_id * {
  const account_id *Largest = nullptr;
  double Most = 0.0;
  for (const auto &[Start, Account] : Active) {
    const auto Backlog = backlogPerWeight(*Account);
    if (Backlog <= Most)
      continue;
    Most = Backlog;
    Largest = Account;
  }
  return Largest;
}

auto fair_queue::newest(const account_id &Account) const
    -> std::optional<work_ticket> {
  const auto Found = Flows.find(Account);
  if (Found == Flows.end() || Found->second.Waiting.empty())
    return std::nullopt;
  return Found->second.Waiting.back().Ticket;
}

auto fair_queue::backlogPerWeight(const account_id &Account) const -> double {
  const auto Found = Flows.find(Account);
  if (Found == Flows.end())
    return 0.0;
  const auto &Flow = Found->second;
  return static_cast<double>(Flow.Waiting.size()) / Flow.Weight;
}

// While the backlog of the account is served, the other active accounts are
// served in proportion to their weights. The total backlog bounds the estimate.
auto fair_queue::ticketsAhead(const account_id &Account, double Weight) const
    -> double {
  const auto All = static_cast<double>(Tickets.size());
  const auto Found = Flows.find(Account);
  const auto Own = Found == Flows.end()
                       ? 0.0
                       : static_cast<double>(Found->second.Waiting.size());
  const auto OwnWeight = std::max(MinWeight, Weight);
  const auto OtherWeight =
      Own > 0.0 ? ActiveWeight - Found->second.Weight : ActiveWeight;
  const auto Others = (Own + 1.0) * OtherWeight / OwnWeight;
  return std::min(All, Own + Others);
}

} // namespace acacianotch
