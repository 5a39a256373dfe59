/// \file Which connection is dropped when memory or descriptors are used up.
#pragma once

#include "core/clock_type.h"
#include "core/enum_table.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace acacianotch {

/// Why a connection is dropped.
enum class drop_reason : std::uint8_t { invalid, body, unread, idle, refused };

inline constexpr enum_table<drop_reason, 4> DropReasonNames{{{
    {drop_reason::body, "body"},
    {drop_reason::unread, "unread"},
    {drop_reason::idle, "idle"},
    {drop_reason::refused, "refused"},
}}};

/// What one connection uses.
struct connection_use {
  std::size_t BodyBytes = 0;    ///< Memory for a body that is not complete.
  std::size_t UnreadBytes = 0;  ///< Output that the peer has not taken.
  duration Unread{};            ///< Since the peer last took some of it.
  std::optional<duration> Idle; ///< Since the last request, if none is open.
};

/// Time after which output counts as not being read.
inline constexpr duration MaxUnreadTime = std::chrono::seconds(3);

/// \return the memory up to which an incomplete body is kept although the
/// budget of \p Limit bytes is used up. All such bodies together stay within
/// the budget.
[[nodiscard]] auto keptBodyBytes(std::size_t Limit, std::size_t Connections)
    -> std::size_t;

/// \return the index of the connection with the largest incomplete body, if it
/// is larger than \p Kept bytes.
[[nodiscard]] auto chooseBody(std::span<const connection_use> Connections,
                              std::size_t Kept) -> std::optional<std::size_t>;

/// \return the index of the connection with the most output that is not being
/// read, if any.
[[nodiscard]] auto chooseUnread(std::span<const connection_use> Connections)
    -> std::optional<std::size_t>;

/// \return the index of the connection to close for a new one: the one that has
/// been idle longest, otherwise the one whose output has been unread longest;
/// none if all others are in use.
[[nodiscard]] auto chooseReplaced(std::span<const connection_use> Connections)
    -> std::optional<std::size_t>;

} // namespace acacianotch
