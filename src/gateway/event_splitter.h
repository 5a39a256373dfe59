/// \file Splits an event stream into events.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace acacianotch {

/// Splits the bytes of a text/event-stream into complete events, so that no
/// part of an event is forwarded when a stream breaks off.
class event_splitter {
public:
  /// Adds bytes as they arrive.
  auto add(std::string_view Data) -> void { Pending.append(Data); }

  /// \return the complete events that arrived since the last call,
  /// concatenated; empty if there are none.
  [[nodiscard]] auto takeEvents() -> std::string;

  /// \return the bytes after the last complete event, and removes them.
  [[nodiscard]] auto takeRest() -> std::string;

  /// \return the number of bytes that no call has returned yet.
  [[nodiscard]] auto pendingBytes() const -> std::size_t {
    return Pending.size();
  }

  /// \return whether bytes of an incomplete event have arrived.
  [[nodiscard]] auto insideEvent() const -> bool;

  /// Drops the bytes after the last complete event.
  auto dropRest() -> void { Pending.clear(); }

  /// \return the last event id in the events taken; empty if none had an id.
  [[nodiscard]] auto lastId() const -> const std::string & { return LastId; }

  /// \return the number of events taken.
  [[nodiscard]] auto count() const -> std::uint32_t { return Count; }

private:
  auto recordEvents(std::string_view Events) -> void;

  std::string Pending;
  std::string LastId;
  std::uint32_t Count = 0;
};

} // namespace acacianotch
