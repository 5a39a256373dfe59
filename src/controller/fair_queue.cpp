/// \file Weighted fair queue over client accounts.
#include "controller/fair_queue.h"

#include <algorithm>
#include <cassert>

namespace acacianotch {

namespace {

constexpr double MinWeight = 1e-3;

} // namespace

auto fair_queue::activate(const account_id &Account, flow &Flow) -> void {
  Active.insert({Flow.Start, &Account});
  ActiveWeight += Flow.Weight;
}

auto fair_queue::deactivate(const account_id &Account, flow &Flow) -> void {
  Active.erase({Flow.Start, &Account});
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
  // An account that was idle gets no credit for the time it did not use.
  Flow.Start = std::max(Flow.Start, Virtual);
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
  Virtual = Flow.Start;
  Flow.Start += Flow.Waiting.front().Cost / Flow.Weight;
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

// Virtual times are comparable only within one busy period; a new one starts
// from zero, which also bounds the memory of accounts that went away.
auto fair_queue::resetIfEmpty() -> void {
  if (!Tickets.empty())
    return;
  Flows.clear();
  ActiveWeight = 0.0;
  Virtual = 0.0;
}

auto fair_queue::longest() const -> const account_id * {
  const account_id *Longest = nullptr;
  double Most = 0.0;
  for (const auto &[Start, Account] : Active) {
    const auto Length = perWeight(*Account);
    if (Length <= Most)
      continue;
    Most = Length;
    Longest = Account;
  }
  return Longest;
}

auto fair_queue::last(const account_id &Account) const
    -> std::optional<work_ticket> {
  const auto Found = Flows.find(Account);
  if (Found == Flows.end() || Found->second.Waiting.empty())
    return std::nullopt;
  return Found->second.Waiting.back().Ticket;
}

auto fair_queue::perWeight(const account_id &Account) const -> double {
  const auto Found = Flows.find(Account);
  if (Found == Flows.end())
    return 0.0;
  const auto &Flow = Found->second;
  return static_cast<double>(Flow.Waiting.size()) / Flow.Weight;
}

// While an account's backlog is served, every other active account is served
// in proportion to its weight, but none beyond its own backlog.
auto fair_queue::ahead(const account_id &Account, double Weight) const
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
