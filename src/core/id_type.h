/// \file Strong identifier types.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace acacianotch {

/// A textual identifier of one kind; kinds do not convert into each other.
template <typename tag> struct text_id {
  std::string Text; ///< The identifier; empty means invalid.

  text_id() = default;
  explicit text_id(std::string Value) : Text(std::move(Value)) {}

  [[nodiscard]] auto valid() const -> bool { return !Text.empty(); }
  auto operator<=>(const text_id &) const = default;
};

using account_id = text_id<struct account_tag>; ///< Client account.
using backend_id = text_id<struct backend_tag>; ///< Backend server.
using request_id =
    text_id<struct request_tag>;          ///< Request, unique system-wide.
using node_id = text_id<struct node_tag>; ///< Process of the system.
using zone_id = text_id<struct zone_tag>; ///< Availability zone.

/// One version of one model.
struct version_ref {
  std::string Model;   ///< Model name.
  std::string Version; ///< Version name within the model.

  auto operator<=>(const version_ref &) const = default;

  /// \return `model@version`.
  [[nodiscard]] auto text() const -> std::string {
    return Model + "@" + Version;
  }
};

/// Catalogue revision: index of the last log command that changed an entry.
enum class revision : std::uint64_t { none = 0 };

/// Fencing epoch: the consensus term in which an order was given.
enum class epoch : std::uint64_t { none = 0 };

} // namespace acacianotch

template <typename tag> struct std::hash<acacianotch::text_id<tag>> {
  auto operator()(const acacianotch::text_id<tag> &Id) const noexcept
      -> std::size_t {
    return std::hash<std::string>{}(Id.Text);
  }
};

template <> struct std::hash<acacianotch::version_ref> {
  auto operator()(const acacianotch::version_ref &Ref) const noexcept
      -> std::size_t {
    const auto Model = std::hash<std::string>{}(Ref.Model);
    return Model * 31 + std::hash<std::string>{}(Ref.Version);
  }
};
