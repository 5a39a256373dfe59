/// \file Weighted fair queue over client accounts.
#pragma once

#include "core/id_type.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>

namespace acacianotch {

/// Identifies a request in an agent queue; increases in the order of arrival.
enum class work_ticket : std::uint64_t { none = 0 };

/// Start-time fair queueing: client accounts with waiting requests get service
/// time in proportion to their weights.
class fair_queue {
public:
  /// Adds \p Ticket of \p Account; \p Cost is its expected service time.
  auto push(const account_id &Account, double Weight, work_ticket Ticket,
            double Cost) -> void;

  /// \return the next ticket without removing it.
  [[nodiscard]] auto front() const -> work_ticket;

  /// Removes the next ticket and charges its cost to its account.
  auto pop() -> void;

  /// Removes \p Ticket of \p Account from any position, without a charge.
  auto erase(const account_id &Account, work_ticket Ticket) -> void;

  /// \return the account with the most tickets per weight; null if empty.
  [[nodiscard]] auto largestBacklog() const -> const account_id *;

  /// \return the newest ticket of \p Account, if it has any.
  [[nodiscard]] auto newest(const account_id &Account) const
      -> std::optional<work_ticket>;

  /// \return tickets of \p Account per unit of weight.
  [[nodiscard]] auto backlogPerWeight(const account_id &Account) const
      -> double;

  /// \return expected number of tickets served before a new one of \p Account.
  [[nodiscard]] auto ticketsAhead(const account_id &Account,
                                  double Weight) const -> double;

  [[nodiscard]] auto size() const -> std::size_t { return Tickets.size(); }
  [[nodiscard]] auto empty() const -> bool { return Tickets.empty(); }

  /// \return the oldest ticket; call only if not empty.
  [[nodiscard]] auto oldest() const -> work_ticket { return *Tickets.begin(); }

private:
  struct entry {
    work_ticket Ticket;
    double Cost;
  };
  struct flow {
    std::deque<entry> Waiting;
    double Weight = 1.0;
    double VirtualStart = 0.0; // Virtual start time of the first entry.
  };
  using order = std::pair<double, const account_id *>;

  auto activate(const account_id &Account, flow &Flow) -> void;
  auto deactivate(const account_id &Account, flow &Flow) -> void;
  auto resetIfEmpty() -> void;

  std::unordered_map<account_id, flow> Flows;
  std::set<order> Active;
  std::set<work_ticket> Tickets;
  double ActiveWeight = 0.0;
  double VirtualTime = 0.0;
};

} // namespace acacianotch
