/// \file Text helpers.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace acacianotch {

/// \return \p Text with ASCII letters in lower case.
[[nodiscard]] auto lowerCase(std::string_view Text) -> std::string;

/// \return the number of insertions, deletions and substitutions that turn
/// \p Left into \p Right.
[[nodiscard]] auto editDistance(std::string_view Left, std::string_view Right)
    -> std::size_t;

/// \return the candidate with the least edit distance to \p Text; empty if
/// there are no candidates.
[[nodiscard]] auto nearest(std::string_view Text,
                           const std::vector<std::string_view> &Candidates)
    -> std::string_view;

/// \return \p Text with control and non-ASCII characters replaced by '?' and
/// cut to \p Limit characters, so that it fits on one line of a terminal.
[[nodiscard]] auto oneLine(std::string_view Text, std::size_t Limit)
    -> std::string;

} // namespace acacianotch
