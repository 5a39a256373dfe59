/// \file Enforces spend limits with budget leased from the control leader.
#include "entry/budget_manager.h"

#include <algorithm>

namespace acacianotch {

namespace {

// A lease expires here before it expires on the control leader, so that its
// budget is never available in both places.
constexpr duration ExpiryMargin = std::chrono::seconds(2);
// Leases are renewed before they expire, so that requests rarely wait for one.
constexpr duration RenewalLeadTime = std::chrono::seconds(3);
constexpr std::uint64_t MinLeaseMicroUnits = 1000;
// A lease is requested for this many times the largest request cost, so that
// few requests need a command to the control leader.
constexpr std::uint64_t LeaseCostMultiple = 8;

} // namespace

budget_manager::budget_manager(sender TheSend, std::string TheHolder)
    : Send(std::move(TheSend)), Holder(std::move(TheHolder)) {}

budget_manager::~budget_manager() { *Alive = false; }

auto budget_manager::reserve(const account_id &Account, std::uint64_t Cost,
                             handler OnReserved) -> void {
  auto &Lease = Leases[Account];
  const auto Now = steady_clock::now();
  const auto Amount = static_cast<std::int64_t>(Cost);
  Lease.TargetAmount = std::max(
      {Lease.TargetAmount, MinLeaseMicroUnits, Cost * LeaseCostMultiple});
  const auto Enough = Now < Lease.ExpiresAt && Lease.Available >= Amount;
  if (Enough) {
    Lease.Available -= Amount;
    const auto Low =
        Lease.Available < static_cast<std::int64_t>(Lease.TargetAmount) / 2;
    if (Low || Lease.ExpiresAt - Now < RenewalLeadTime)
      requestLease(Account, Lease);
    OnReserved({});
    return;
  }
  Lease.PendingReservations.push_back({Cost, std::move(OnReserved)});
  requestLease(Account, Lease);
}

auto budget_manager::settle(const account_id &Account, std::uint64_t Reserved,
                            std::uint64_t Spent) -> void {
  Leases[Account].Available +=
      static_cast<std::int64_t>(Reserved) - static_cast<std::int64_t>(Spent);
}

// Returns the unused part of the old lease with the request for the new one.
auto budget_manager::requestLease(const account_id &Account, lease &Lease)
    -> void {
  if (std::exchange(Lease.RequestPending, true))
    return;
  std::uint64_t PendingCost = 0;
  for (const auto &Reservation : Lease.PendingReservations)
    PendingCost += Reservation.Cost;
  const auto Unused =
      static_cast<std::uint64_t>(std::max<std::int64_t>(Lease.Available, 0));
  command Command;
  Command.Issuer = Holder;
  Command.Body =
      lease_budget{Account, Holder, std::max(Lease.TargetAmount, PendingCost),
                   Lease.Id, Unused};
  Lease.Available -= static_cast<std::int64_t>(Unused);
  Send(Command)
      .then([this, Guard = Alive, Account](const command_result &Result) {
        if (*Guard)
          handleLeaseResult(Account, Result);
      })
      .detach([](kj::Exception &&) {});
}

auto budget_manager::handleLeaseResult(const account_id &Account,
                                       const command_result &Result) -> void {
  auto &Lease = Leases[Account];
  Lease.RequestPending = false;
  if (!Result.ok()) {
    auto Failure = failure::of(Result.Code, Result.Detail);
    // The requests that wait for the lease have not been dispatched.
    Failure.Verdict = verdict::not_run;
    completeReservations(Lease, Failure);
    return;
  }
  Lease.Id = Result.Payload.value("lease", std::uint64_t{0});
  Lease.Available += Result.Payload.value("amount", std::int64_t{0});
  const auto Term = std::chrono::milliseconds(
      Result.Payload.value("lease_ms", std::uint64_t{0}));
  Lease.ExpiresAt = steady_clock::now() + Term - ExpiryMargin;
  completeReservations(Lease, {});
}

auto budget_manager::completeReservations(lease &Lease,
                                          const result<void> &Outcome) -> void {
  for (auto &Reservation : std::exchange(Lease.PendingReservations, {})) {
    const auto Amount = static_cast<std::int64_t>(Reservation.Cost);
    if (!Outcome) {
      Reservation.OnReserved(Outcome);
      continue;
    }
    if (Lease.Available < Amount) {
      Reservation.OnReserved(failure::of(errc::spend_limit));
      continue;
    }
    Lease.Available -= Amount;
    Reservation.OnReserved({});
  }
}

} // namespace acacianotch
