/// \file Spend limits through budget that control leases to this entry.
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

/// Reserves the expected cost of a request from leased budget, so that control
/// is not asked for each request. Control never leases more than the spend
/// limit, so an account exceeds it by at most the difference between expected
/// and real cost of its requests in flight.
class budget_keeper {
public:
  using sender = std::function<kj::Promise<command_result>(const command &)>;
  using handler = std::function<void(result<void>)>;

  /// \p Send runs a command at control.
  budget_keeper(sender Send, std::string Holder);
  ~budget_keeper();
  budget_keeper(const budget_keeper &) = delete;
  auto operator=(const budget_keeper &) -> budget_keeper & = delete;

  /// Reserves \p Cost micro-units. \p OnReserved is told success, `spend_limit`
  /// or why control cannot be asked; it runs at once if the lease suffices.
  auto reserve(const account_id &Account, std::uint64_t Cost,
               handler OnReserved) -> void;

  /// Ends a reservation of \p Reserved with the real cost \p Spent.
  auto settle(const account_id &Account, std::uint64_t Reserved,
              std::uint64_t Spent) -> void;

private:
  struct waiter {
    std::uint64_t Cost = 0;
    handler OnReserved;
  };
  struct lease {
    std::uint64_t Id = 0;
    std::int64_t Left = 0; ///< Micro-units neither reserved nor spent.
    std::uint64_t Size = 0;
    time_point Until{};
    bool Asking = false;
    std::vector<waiter> Waiters;
  };

  auto ask(const account_id &Account, lease &Lease) -> void;
  auto handleLease(const account_id &Account, const command_result &Result)
      -> void;
  auto serveWaiters(lease &Lease, const result<void> &Outcome) -> void;

  sender Send;
  std::string Holder;
  std::map<account_id, lease> Leases;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace acacianotch
