/// \file Weighted fair queue over client accounts.
#pragma once

#include "core/id_type.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>

namespace acacianotch {

/// Identifies one piece of work at an agent queue; later ones are greater.
enum class work_ticket : std::uint64_t { none = 0 };

/// Start-time fair queueing: accounts that have work waiting get service time
/// in proportion to their weights.
class fair_queue {
public:
  /// Adds \p Ticket of \p Account; \p Cost is its expected service time.
  auto push(const account_id &Account, double Weight, work_ticket Ticket,
            double Cost) -> void;

  /// \return the next ticket without removing it.
  [[nodiscard]] auto front() const -> work_ticket;

  /// Removes the next ticket and charges its account.
  auto pop() -> void;

  /// Removes \p Ticket of \p Account, wherever it waits, without charge.
  auto erase(const account_id &Account, work_ticket Ticket) -> void;

  /// \return the account with the most tickets per weight; null if empty.
  [[nodiscard]] auto longest() const -> const account_id *;

  /// \return the last ticket of \p Account, if it has any.
  [[nodiscard]] auto last(const account_id &Account) const
      -> std::optional<work_ticket>;

  /// \return tickets of \p Account per unit of weight.
  [[nodiscard]] auto perWeight(const account_id &Account) const -> double;

  /// \return how many tickets are served before one more of \p Account.
  [[nodiscard]] auto ahead(const account_id &Account, double Weight) const
      -> double;

  /// \return number of tickets.
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
    double Start = 0.0; // Virtual start time of the first entry.
  };
  using order = std::pair<double, const account_id *>;

  auto activate(const account_id &Account, flow &Flow) -> void;
  auto deactivate(const account_id &Account, flow &Flow) -> void;
  auto resetIfEmpty() -> void;

  std::unordered_map<account_id, flow> Flows;
  std::set<order> Active;
  std::set<work_ticket> Tickets;
  double ActiveWeight = 0.0;
  double Virtual = 0.0;
};

} // namespace acacianotch
