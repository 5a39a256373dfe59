/// \file The platform's list of backend servers between processes.
#pragma once

#include "routing/backend_type.h"

#include <acacianotch.capnp.h>

#include <optional>
#include <vector>

namespace acacianotch {

/// The list as one process read it. The time that a server still needs to warm
/// up is left out: it changes with each read and nothing depends on it.
struct backend_list {
  std::vector<backend_record> Rows;
  std::uint64_t Number = 0; ///< Changes with the rows; 0 without a list.
  time_point ReadAt{};

  /// Takes a new read of the list. \return whether the rows have changed.
  auto take(std::vector<backend_record> Read, time_point Now) -> bool;
};

/// Writes the age of \p List, and its rows if \p WithRows.
auto writeBackends(wire::BackendList::Builder Out, const backend_list &List,
                   bool WithRows, time_point Now) -> void;

/// \return the rows of a list; rows with unreadable addresses are skipped and
/// logged.
[[nodiscard]] auto readBackends(wire::BackendList::Reader In)
    -> std::vector<backend_record>;

} // namespace acacianotch
