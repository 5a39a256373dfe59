/// \file Blackboard of the client accounts that one entry serves.
#pragma once

#include "core/id_type.h"

#include <cstdint>
#include <unordered_map>

namespace acacianotch {

/// What the catalogue says about one client account.
struct account_facts {
  double Weight = 1.0;           ///< Share in weighted fair sharing.
  std::uint32_t MaxInFlight = 0; ///< Limit of requests in flight; 0 for none.
};

/// One client account as the entry sees it, over all pools.
struct account_row {
  account_facts Facts;        ///< From the catalogue.
  std::uint32_t InFlight = 0; ///< Requests without outcome.
};

/// Shared by the admission controllers of all pools of one entry.
class account_board {
public:
  /// Sets the facts of \p Id.
  auto put(const account_id &Id, const account_facts &Facts) -> void {
    Rows[Id].Facts = Facts;
  }

  /// Removes \p Id; requests in flight may still end.
  auto remove(const account_id &Id) -> void { Rows.erase(Id); }

  /// \return the row of \p Id; one with default facts if unknown.
  [[nodiscard]] auto row(const account_id &Id) const -> const account_row & {
    static const account_row Unknown;
    const auto Found = Rows.find(Id);
    return Found == Rows.end() ? Unknown : Found->second;
  }

  /// Marks a request of \p Id as started.
  auto started(const account_id &Id) -> void { ++Rows[Id].InFlight; }

  /// Marks a request of \p Id as ended.
  auto finished(const account_id &Id) -> void {
    const auto Found = Rows.find(Id);
    if (Found != Rows.end() && Found->second.InFlight > 0)
      --Found->second.InFlight;
  }

private:
  std::unordered_map<account_id, account_row> Rows;
};

} // namespace acacianotch
