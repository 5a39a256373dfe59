/// \file Blackboard of the backend servers that one entry knows.
#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace acacianotch {

/// Refers to one row of a backend_board; outlives the row safely.
struct backend_handle {
  std::uint32_t Index = 0;      ///< Position of the row.
  std::uint32_t Generation = 0; ///< 0 is never valid.

  auto operator<=>(const backend_handle &) const = default;
};

/// Load of one backend server as its agent reports it with a reply.
struct load_report {
  std::uint32_t Running = 0; ///< Requests running.
  std::uint32_t Queued = 0;  ///< Requests waiting at the agent.
  std::uint32_t Long = 0;    ///< Long work among the two above.
  std::uint32_t Slots = 0;   ///< Requests that may run at once; 0 if unknown.
  bool Leaving = false;      ///< No new work.
};

/// What the catalogue says about one backend server.
struct backend_facts {
  backend_id Id;           ///< Identifier.
  zone_id Zone;            ///< Availability zone.
  std::uint32_t Slots = 1; ///< Requests that may run at once.
  bool Leaving = false;    ///< No new work.
};

/// One backend server as the entry sees it.
struct backend_row {
  backend_facts Facts;            ///< From the catalogue and load reports.
  std::uint32_t Generation = 0;   ///< Changes when the row is reused.
  std::uint32_t InFlight = 0;     ///< Attempts of this entry without outcome.
  std::uint32_t InFlightLong = 0; ///< Long work among them.
  std::uint32_t Others = 0;       ///< Reported load that is not this entry's.
  std::uint32_t OthersLong = 0;   ///< Long work among that.
  time_point ReportedAt{};        ///< Time of the last load report.
  std::uint32_t Ejections = 0;    ///< Pools that have ejected it.
  bool Gone = false;              ///< Removed from the catalogue.

  /// \return whether new work may be sent to the backend server.
  [[nodiscard]] auto eligible() const -> bool {
    return !Facts.Leaving && Ejections == 0 && !Gone;
  }
};

/// Shared by the placement, outlier and hedging controllers of one entry.
class backend_board {
public:
  /// Adds a backend server, or changes the facts of a known one.
  auto put(const backend_facts &Facts) -> backend_handle;

  /// Removes a backend server. Its row is reused when nothing is in flight.
  auto remove(const backend_id &Id) -> void;

  /// \return the handle of \p Id, if known.
  [[nodiscard]] auto find(const backend_id &Id) const
      -> std::optional<backend_handle>;

  /// \return the row of \p Handle; null after removal and reuse.
  [[nodiscard]] auto row(backend_handle Handle) const -> const backend_row *;

  /// \return whether new work may be sent to \p Handle.
  [[nodiscard]] auto eligible(backend_handle Handle) const -> bool;

  /// Marks an attempt as sent.
  auto started(backend_handle Handle, bool Long) -> void;

  /// Marks an attempt as ended; \p Report came with the reply at \p Now.
  auto finished(backend_handle Handle, bool Long,
                const std::optional<load_report> &Report, time_point Now)
      -> void;

  /// Records a load report that came at \p Now.
  auto reported(backend_handle Handle, const load_report &Report,
                time_point Now) -> void;

  /// Ejects a backend server on behalf of one pool.
  auto eject(backend_handle Handle) -> void;

  /// Takes back one eject().
  auto restore(backend_handle Handle) -> void;

  /// \return a number that changes whenever any row's eligibility changes.
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
