/// \file Spend limits through budget that control leases to this entry.
#include "entry/budget_keeper.h"

#include <algorithm>

namespace acacianotch {

namespace {

// Ended locally before control ends it, so that both never count it as free.
constexpr duration LeaseMargin = std::chrono::seconds(2);
// A lease is renewed early, so that requests seldom wait for control.
constexpr duration RenewBefore = std::chrono::seconds(3);
constexpr std::uint64_t LeastLease = 1000; // Micro-units.
constexpr std::uint64_t LeaseFactor = 8;   // Times the last request's cost.

} // namespace

budget_keeper::budget_keeper(sender TheSend, std::string TheHolder)
    : Send(std::move(TheSend)), Holder(std::move(TheHolder)) {}

budget_keeper::~budget_keeper() { *Alive = false; }

auto budget_keeper::reserve(const account_id &Account, std::uint64_t Cost,
                            handler OnReserved) -> void {
  auto &Lease = Leases[Account];
  const auto Now = steady_clock::now();
  const auto Wanted = static_cast<std::int64_t>(Cost);
  Lease.Size = std::max({Lease.Size, LeastLease, Cost * LeaseFactor});
  const auto Enough = Now < Lease.Until && Lease.Left >= Wanted;
  if (Enough) {
    Lease.Left -= Wanted;
    const auto Low = Lease.Left < static_cast<std::int64_t>(Lease.Size) / 2;
    if (Low || Lease.Until - Now < RenewBefore)
      ask(Account, Lease);
    OnReserved({});
    return;
  }
  Lease.Waiters.push_back({Cost, std::move(OnReserved)});
  ask(Account, Lease);
}

auto budget_keeper::settle(const account_id &Account, std::uint64_t Reserved,
                           std::uint64_t Spent) -> void {
  Leases[Account].Left +=
      static_cast<std::int64_t>(Reserved) - static_cast<std::int64_t>(Spent);
}

// The unused part of the old lease goes back with the request for a new one.
auto budget_keeper::ask(const account_id &Account, lease &Lease) -> void {
  if (std::exchange(Lease.Asking, true))
    return;
  std::uint64_t Waiting = 0;
  for (const auto &Waiter : Lease.Waiters)
    Waiting += Waiter.Cost;
  const auto Unused =
      static_cast<std::uint64_t>(std::max<std::int64_t>(Lease.Left, 0));
  command Command;
  Command.Issuer = Holder;
  Command.Body = lease_budget{Account, Holder, std::max(Lease.Size, Waiting),
                              Lease.Id, Unused};
  Lease.Left -= static_cast<std::int64_t>(Unused);
  Send(Command)
      .then([this, Guard = Alive, Account](const command_result &Result) {
        if (*Guard)
          handleLease(Account, Result);
      })
      .detach([](kj::Exception &&) {});
}

auto budget_keeper::handleLease(const account_id &Account,
                                const command_result &Result) -> void {
  auto &Lease = Leases[Account];
  Lease.Asking = false;
  if (!Result.ok()) {
    auto Failure = failure::of(Result.Code, Result.Detail);
    // The request that waits has not been dispatched.
    Failure.Verdict = verdict::not_run;
    serveWaiters(Lease, Failure);
    return;
  }
  Lease.Id = Result.Payload.value("lease", std::uint64_t{0});
  Lease.Left += Result.Payload.value("amount", std::int64_t{0});
  const auto Term = std::chrono::milliseconds(
      Result.Payload.value("lease_ms", std::uint64_t{0}));
  Lease.Until = steady_clock::now() + Term - LeaseMargin;
  serveWaiters(Lease, {});
}

auto budget_keeper::serveWaiters(lease &Lease, const result<void> &Outcome)
    -> void {
  for (auto &Waiter : std::exchange(Lease.Waiters, {})) {
    const auto Wanted = static_cast<std::int64_t>(Waiter.Cost);
    if (!Outcome) {
      Waiter.OnReserved(Outcome);
      continue;
    }
    if (Lease.Left < Wanted) {
      Waiter.OnReserved(failure::of(errc::spend_limit));
      continue;
    }
    Lease.Left -= Wanted;
    Waiter.OnReserved({});
  }
}

} // namespace acacianotch
