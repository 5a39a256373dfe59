/// \file Subset of a pool that one entry uses, and its affinity ring.
#pragma once

#include "board/backend_board.h"
#include "core/id_type.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace acacianotch {

/// Settings of subset selection.
struct subset_settings {
  std::uint32_t MinSize = 32;    ///< Minimum size, if the pool has as many.
  std::uint32_t SpillSize = 8;   ///< Members from other availability zones.
  std::uint32_t Entries = 1;     ///< Entries in the own availability zone.
  std::uint32_t Coverage = 16;   ///< Mean number of entries per backend server.
  std::uint32_t RingPoints = 32; ///< Points per member on the affinity ring.
};

/// \return the number of \p Backends local backend servers that an entry uses.
[[nodiscard]] auto subsetSize(std::size_t Backends,
                              const subset_settings &Settings) -> std::size_t;

/// Consistent-hash ring over the members of a subset.
class affinity_ring {
public:
  /// Position of a search on the ring.
  struct cursor {
    std::size_t Position = 0;                 ///< Next point to examine.
    std::optional<backend_handle> Previous{}; ///< Last member returned.
  };

  /// Replaces the ring by one of \p Members, each at \p PointsPerMember
  /// positions.
  auto rebuild(const backend_board &Board,
               std::span<const backend_handle> Members,
               std::uint32_t PointsPerMember) -> void;

  /// \return the position of \p Key; adds the number of comparisons to \p
  /// Steps.
  [[nodiscard]] auto seek(std::uint64_t Key, std::uint64_t &Steps) const
      -> cursor;

  /// \return the next member that differs from the previous one, if any.
  [[nodiscard]] auto next(cursor &Cursor, std::uint64_t &Steps) const
      -> std::optional<backend_handle>;

private:
  struct point {
    std::uint64_t Hash;
    backend_handle Member;
  };

  std::vector<point> Points;
};

/// Members that one entry uses, selected by rendezvous hashing of entry and
/// backend server, so that one change of membership replaces at most one
/// member.
class backend_subset {
public:
  backend_subset(node_id EntryId, zone_id OwnZone)
      : Entry(std::move(EntryId)), Zone(std::move(OwnZone)) {}

  /// Selects from \p Members, except draining and removed ones.
  auto rebuild(const backend_board &Board,
               std::span<const backend_handle> Members,
               const subset_settings &Settings) -> void;

  /// \return selected members in the own availability zone.
  [[nodiscard]] auto local() const -> std::span<const backend_handle> {
    return Local;
  }

  /// \return selected members in other availability zones.
  [[nodiscard]] auto remote() const -> std::span<const backend_handle> {
    return Remote;
  }

  /// \return all selected members.
  [[nodiscard]] auto members() const -> std::span<const backend_handle> {
    return All;
  }

  /// \return the ring for session affinity and prefix affinity.
  [[nodiscard]] auto ring() const -> const affinity_ring & { return Ring; }

private:
  node_id Entry;
  zone_id Zone;
  std::vector<backend_handle> Local;
  std::vector<backend_handle> Remote;
  std::vector<backend_handle> All;
  affinity_ring Ring;
};

} // namespace acacianotch
