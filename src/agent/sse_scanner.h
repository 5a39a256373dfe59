/// \file Scanner of the server-sent events in a streamed answer of an engine.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace acacianotch {

/// Splits a stream into events, finds the end marker and the token counts, and
/// drops the usage event if the caller did not request it.
class sse_scanner {
public:
  explicit sse_scanner(bool HideUsage) : HidesUsage(HideUsage) {}

  /// Appends bytes of the stream. \return the events to forward that are
  /// complete now.
  [[nodiscard]] auto feed(std::string_view Data) -> std::string;

  /// \return whether the stream ends with the end marker `[DONE]`.
  [[nodiscard]] auto complete() const -> bool {
    return EndsWithMarker && Unscanned.empty();
  }

  /// \return the token count that the engine reported, or else the number of
  /// content events.
  [[nodiscard]] auto completionTokens() const -> std::uint64_t {
    return UsageSeen ? CompletionTokens : ContentEvents;
  }
  [[nodiscard]] auto promptTokens() const -> std::uint64_t {
    return PromptTokens;
  }

private:
  auto scanEvent(std::string_view Event) -> bool;
  auto readUsage(std::string_view Json) -> bool;

  bool HidesUsage;
  bool EndsWithMarker = false; ///< The last data event was the end marker.
  bool UsageSeen = false;
  std::string Unscanned; ///< Start of an incomplete event.
  std::uint64_t ContentEvents = 0;
  std::uint64_t PromptTokens = 0;
  std::uint64_t CompletionTokens = 0;
};

} // namespace acacianotch
