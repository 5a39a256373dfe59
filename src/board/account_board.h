/// \file Blackboard of the client accounts of one entry.
#pragma once

#include "core/id_type.h"

#include <cstdint>
#include <unordered_map>

namespace acacianotch {

/// Catalogue data of one client account.
struct account_facts {
  double Weight = 1.0;           ///< Weight in fair sharing.
  std::uint32_t MaxInFlight = 0; ///< Limit of requests in flight; 0 if none.
};

/// State of one client account at the entry, over all pools.
struct account_row {
  account_facts Facts;        ///< Catalogue data.
  std::uint32_t InFlight = 0; ///< Requests admitted and not finished.
};

/// State of all client accounts, shared by the admission controllers of the
/// pools of one entry.
class account_board {
public:
  /// Sets the catalogue data of \p Id.
  auto put(const account_id &Id, const account_facts &Facts) -> void {
    Rows[Id].Facts = Facts;
  }

  /// Removes \p Id; its requests in flight may still finish.
  auto remove(const account_id &Id) -> void { Rows.erase(Id); }

  /// \return the row of \p Id; a default row if the account is unknown.
  [[nodiscard]] auto row(const account_id &Id) const -> const account_row & {
    static const account_row Unknown;
    const auto Found = Rows.find(Id);
    return Found == Rows.end() ? Unknown : Found->second;
  }

  /// Marks a request of \p Id as started.
  auto started(const account_id &Id) -> void { ++Rows[Id].InFlight; }

  /// Marks a request of \p Id as finished.
  auto finished(const account_id &Id) -> void {
    const auto Found = Rows.find(Id);
    if (Found != Rows.end() && Found->second.InFlight > 0)
      --Found->second.InFlight;
  }

private:
  std::unordered_map<account_id, account_row> Rows;
};

} // namespace acacianotch
