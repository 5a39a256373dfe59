/// \file Reading of files with catalogue entries.
#pragma once

#include "ctl/client_type.h"

#include <filesystem>
#include <string>
#include <vector>

namespace acacianotch {

/// One entry of a file.
struct file_entry {
  json Entry;                 ///< Members kind, name, owner and body.
  std::uint64_t Revision = 0; ///< Expected revision; 0 if the file has none.
  bool Reinstate = false;     ///< Lets a withdrawn version become active.

  /// \return `kind/name`.
  [[nodiscard]] auto key() const -> std::string;
};

/// Reads `entries` from a TOML file, or from a JSON file if its name ends in
/// `.json`. Keys that control adds to an entry (created) are ignored, so
/// that the output of `get --json` can be edited and applied.
/// \return bad_settings with one line per fault.
[[nodiscard]] auto loadEntries(const std::filesystem::path &File)
    -> result<std::vector<file_entry>>;

/// \return whether \p File is an entry file, not a settings file: its name ends
/// in `.json`, or it has a top-level key `entries`.
[[nodiscard]] auto isEntryFile(const std::filesystem::path &File) -> bool;

} // namespace acacianotch
