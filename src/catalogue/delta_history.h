/// \file Which shared values changed at which revision, for deltas.
#pragma once

#include "core/id_type.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace acacianotch {

/// Bounded history of changed keys. Not part of the replicated state: after a
/// snapshot it starts again, and older nodes get a snapshot.
class delta_history {
public:
  /// Changes that are kept.
  static constexpr std::size_t Retained = 4096;

  /// Adds the keys that changed at \p Revision, which must grow.
  auto add(revision Revision, std::vector<std::string> Keys) -> void;

  /// Forgets everything; deltas start from \p Revision.
  auto restart(revision Revision) -> void;

  /// \return the keys that changed after \p Base, each once, in order, or
  /// nothing if the history does not reach back to it.
  [[nodiscard]] auto keysSince(revision Base) const
      -> std::optional<std::vector<std::string>>;

  [[nodiscard]] auto size() const -> std::size_t { return Rows.size(); }

private:
  struct row {
    revision Revision;
    std::vector<std::string> Keys;
  };
  std::deque<row> Rows;
  revision Floor = revision::none; ///< Oldest base of a delta.
};

} // namespace acacianotch
