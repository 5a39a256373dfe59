/// \file Text tables and indented JSON on the terminal.
#pragma once

#include "ctl/client_type.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace acacianotch {

/// Prints a list of objects as a table with \p Columns; with no columns given,
/// with all keys that occur. Cells are truncated to one line, and control
/// characters are replaced, because names may come from callers.
auto printTable(std::ostream &Out, const json &Rows,
                std::vector<std::string> Columns = {}) -> void;

/// Prints an object: its plain values first, then a table for each list of
/// objects.
auto printObject(std::ostream &Out, const json &Object) -> void;

/// \return \p Value as indented JSON; invalid UTF-8 is replaced.
[[nodiscard]] auto prettyJson(const json &Value) -> std::string;

} // namespace acacianotch
