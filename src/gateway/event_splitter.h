/// \file Whole events of an event stream.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace acacianotch {

/// Cuts a byte stream into whole events, so that a broken stream never passes
/// on half of one.
class event_splitter {
public:
  /// Adds bytes as they arrive.
  auto add(std::string_view Data) -> void { Pending.append(Data); }

  /// \return all whole events that have arrived since the last call, as one
  /// text; empty if there is none.
  [[nodiscard]] auto takeEvents() -> std::string;

  /// \return the bytes behind the last whole event.
  [[nodiscard]] auto takeRest() -> std::string;

  /// Drops the bytes behind the last whole event.
  auto dropRest() -> void { Pending.clear(); }

  /// \return the id of the last whole event taken; empty if it had none.
  [[nodiscard]] auto lastId() const -> const std::string & { return LastId; }

  /// \return the number of whole events taken.
  [[nodiscard]] auto count() const -> std::uint32_t { return Count; }

private:
  auto noteIds(std::string_view Events) -> void;

  std::string Pending;
  std::string LastId;
  std::uint32_t Count = 0;
};

} // namespace acacianotch
