/// \file Enforces spend limits with budget leased from the control leader.
#pragma once

#include "catalogue/command_type.h"
#include "core/clock_type.h"
#include "core/result.h"

#include <kj/async.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace acacianotch {

/// Reserves the expected cost of requests from leased budget, which avoids a
/// command to the control leader for each request. The control leader never
/// leases more than the spend limit, so an account exceeds the limit by at most
/// the difference between the expected and the actual cost of its requests in
/// flight.
class budget_manager {
public:
  using sender = std::function<kj::Promise<command_result>(const command &)>;
  using handler = std::function<void(result<void>)>;

  /// \p Send executes a command on the control leader.
  budget_manager(sender Send, std::string Holder);
  ~budget_manager();
  budget_manager(const budget_manager &) = delete;
  auto operator=(const budget_manager &) -> budget_manager & = delete;

  /// Reserves \p Cost micro-units. \p OnReserved receives success,
  /// `spend_limit` or the error of the lease request. It is called before
  /// reserve() returns if the current lease suffices.
  auto reserve(const account_id &Account, std::uint64_t Cost,
               handler OnReserved) -> void;

  /// Ends a reservation of \p Reserved with the actual cost \p Spent.
  auto settle(const account_id &Account, std::uint64_t Reserved,
              std::uint64_t Spent) -> void;

private:
  struct pending_reservation {
    std::uint64_t Cost = 0;
    handler OnReserved;
  };
  struct lease {
    std::uint64_t Id = 0;
    std::int64_t Available = 0; ///< Micro-units neither reserved nor spent.
    std::uint64_t TargetAmount = 0;
    time_point ExpiresAt{};
    bool RequestPending = false;
    std::vector<pending_reservation> PendingReservations;
  };

  auto requestLease(const account_id &Account, lease &Lease) -> void;
  auto handleLeaseResult(const account_id &Account,
                         const command_result &Result) -> void;
  auto completeReservations(lease &Lease, const result<void> &Outcome) -> void;

  sender Send;
  std::string Holder;
  std::map<account_id, lease> Leases;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace acacianotch
