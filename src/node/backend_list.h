/// \file The platform's list of backend servers between processes.
#pragma once

#include "routing/backend_type.h"

#include <acacianotch.capnp.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace acacianotch {

/// Part of a list that one update carries.
struct backend_changes {
  bool Whole = false;    ///< Everything known before is replaced.
  bool Complete = false; ///< No change is missing after this part.
  std::vector<backend_record> Rows;
  std::vector<std::string> Removed; ///< Ids.
};

/// The list as one process read it, with a number for each change, so that a
/// node gets what it lacks. The time that a server still needs to warm up is
/// left out: it changes with each read and nothing depends on it.
class backend_list {
public:
  /// Takes a new read of the list. \return whether the rows have changed.
  auto take(std::vector<backend_record> Read, time_point Now) -> bool;

  /// \return at most \p Limit changes after number \p Since, which is moved on
  /// to the last of them.
  [[nodiscard]] auto changesAfter(std::uint64_t &Since, std::size_t Limit) const
      -> backend_changes;

  /// \return the number of the last change; 0 without a list.
  [[nodiscard]] auto number() const -> std::uint64_t { return Number; }

  /// \return when the list was read.
  [[nodiscard]] auto readAt() const -> time_point { return ReadAt; }

private:
  struct row {
    backend_record Record;
    std::uint64_t Number = 0;
  };

  auto note(const std::string &Id) -> std::uint64_t;
  auto trim() -> void;

  std::map<std::string, row> Rows;
  std::map<std::uint64_t, std::string> Changes; ///< The last one of each id.
  std::uint64_t Number = 0;
  std::uint64_t Dropped = 0; ///< Removals up to this number are forgotten.
  std::size_t Removals = 0;  ///< Among the changes.
  time_point ReadAt{};
};

/// Writes a part of a list that was read \p Age ago.
auto writeBackends(wire::BackendList::Builder Out,
                   const backend_changes &Changes, duration Age) -> void;

/// \return a part of a list; rows with unreadable addresses are skipped and
/// logged.
[[nodiscard]] auto readBackends(wire::BackendList::Reader In)
    -> backend_changes;

} // namespace acacianotch
