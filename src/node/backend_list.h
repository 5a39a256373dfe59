/// \file Replication of the platform's list of backend servers to nodes.
#pragma once

#include "routing/backend_type.h"

#include <acacianotch.capnp.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace acacianotch {

struct service_rollout;

/// Changes to a list that are sent in one update.
struct backend_changes {
  bool Whole = false;    ///< Replaces all rows received before.
  bool Complete = false; ///< The receiver is up to date afterwards.
  std::vector<backend_record> Rows;
  std::vector<std::string> Removed; ///< Ids of removed backend servers.
};

/// The list as last read from the platform, with a sequence number for each
/// change, so that a node is sent only the changes that it lacks.
class backend_list {
public:
  /// Replaces the rows by those that were read at \p Now. \return whether the
  /// rows have changed.
  auto replaceRows(std::vector<backend_record> Read, time_point Now) -> bool;

  /// \return at most \p Limit changes after sequence number \p Since, which is
  /// advanced to the last of them.
  [[nodiscard]] auto changesAfter(std::uint64_t &Since, std::size_t Limit) const
      -> backend_changes;

  /// \return the number of servers that stay and run a predecessor of the
  /// version that \p Rollout brings in.
  [[nodiscard]] auto countPredecessors(const service_rollout &Rollout) const
      -> std::size_t;

  /// \return the sequence number of the last change; 0 before the first list.
  [[nodiscard]] auto number() const -> std::uint64_t { return Number; }

  /// \return when the list was last read.
  [[nodiscard]] auto readAt() const -> time_point { return ReadAt; }

private:
  struct row {
    backend_record Record;
    std::uint64_t Number = 0;
  };

  auto recordChange(const std::string &Id) -> std::uint64_t;
  auto dropOldRemovals() -> void;

  std::map<std::string, row> Rows;
  std::map<std::uint64_t, std::string> Changes; ///< The last change of each id.
  std::uint64_t Number = 0;
  std::uint64_t LastDroppedRemoval = 0; ///< Removals up to it are not kept.
  std::size_t Removals = 0;             ///< Number of removals in Changes.
  time_point ReadAt{};
};

/// Encodes changes to a list that was read \p Age ago.
auto writeBackends(wire::BackendList::Builder Out,
                   const backend_changes &Changes, duration Age) -> void;

/// \return the decoded changes. Rows with an invalid address or string index
/// are skipped and logged.
[[nodiscard]] auto readBackends(wire::BackendList::Reader In)
    -> backend_changes;

} // namespace acacianotch
