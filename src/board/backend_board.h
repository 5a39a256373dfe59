/// \file Blackboard of the backend servers of one entry.
#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace acacianotch {

/// Generational handle of a row of a backend_board. It may outlive the row.
struct backend_handle {
  std::uint32_t Index = 0;      ///< Index of the row.
  std::uint32_t Generation = 0; ///< 0 in an invalid handle.

  auto operator<=>(const backend_handle &) const = default;
};

/// Load of one backend server, which its agent reports with each reply.
struct load_report {
  std::uint32_t Running = 0; ///< Requests running.
  std::uint32_t Queued = 0;  ///< Requests queued at the agent.
  std::uint32_t Long = 0;    ///< Long work, running or queued.
  std::uint32_t Slots = 0;   ///< Concurrent requests; 0 if unknown.
  bool Leaving = false;      ///< Draining: accepts no new work.
};

/// Catalogue data of one backend server.
struct backend_facts {
  backend_id Id;           ///< Identifier.
  zone_id Zone;            ///< Availability zone.
  std::uint32_t Slots = 1; ///< Concurrent requests.
  bool Leaving = false;    ///< Draining: accepts no new work.
};

/// State of one backend server at the entry.
struct backend_row {
  backend_facts Facts;             ///< Catalogue data, updated by load reports.
  std::uint32_t Generation = 0;    ///< Incremented when the row is reused.
  std::uint32_t InFlight = 0;      ///< Unfinished attempts of this entry.
  std::uint32_t InFlightLong = 0;  ///< Long work among them.
  std::uint32_t OtherLoad = 0;     ///< Reported requests of other entries.
  std::uint32_t OtherLongLoad = 0; ///< Long work among them.
  time_point ReportedAt{};         ///< Time of the last load report.
  std::uint32_t Ejections = 0;     ///< Number of pools that have ejected it.
  bool Removed = false;            ///< Removed from the catalogue.

  /// \return whether new work may be sent to the backend server.
  [[nodiscard]] auto eligible() const -> bool {
    return !Facts.Leaving && Ejections == 0 && !Removed;
  }
};

/// State of all backend servers, shared by the placement, outlier detection and
/// hedging of one entry.
class backend_board {
public:
  /// Adds a backend server, or updates the catalogue data of a known one.
  auto put(const backend_facts &Facts) -> backend_handle;

  /// Removes a backend server. Its row may be reused once it has no attempts in
  /// flight.
  auto remove(const backend_id &Id) -> void;

  /// \return the handle of \p Id, if known.
  [[nodiscard]] auto find(const backend_id &Id) const
      -> std::optional<backend_handle>;

  /// \return the row of \p Handle; null once the row has been reused.
  [[nodiscard]] auto row(backend_handle Handle) const -> const backend_row *;

  /// \return whether new work may be sent to \p Handle.
  [[nodiscard]] auto eligible(backend_handle Handle) const -> bool;

  /// Marks an attempt as sent.
  auto started(backend_handle Handle, bool Long) -> void;

  /// Marks an attempt as finished; \p Report arrived with the reply at \p Now.
  auto finished(backend_handle Handle, bool Long,
                const std::optional<load_report> &Report, time_point Now)
      -> void;

  /// Records a load report that arrived at \p Now.
  auto reported(backend_handle Handle, const load_report &Report,
                time_point Now) -> void;

  /// Ejects a backend server on behalf of one pool.
  auto eject(backend_handle Handle) -> void;

  /// Reverts one eject().
  auto restore(backend_handle Handle) -> void;

  /// \return a revision that is incremented when the eligibility of any row may
  /// have changed.
  [[nodiscard]] auto eligibilityRevision() const -> std::uint64_t {
    return EligibilityRevision;
  }

private:
  [[nodiscard]] auto mutableRow(backend_handle Handle) -> backend_row *;
  auto newRow() -> std::uint32_t;
  auto setLeaving(backend_row &Row, bool Leaving) -> void;

  std::vector<backend_row> Rows;
  std::vector<std::uint32_t> Free;
  std::unordered_map<backend_id, backend_handle> Handles;
  std::uint64_t EligibilityRevision = 1;
};

} // namespace acacianotch
