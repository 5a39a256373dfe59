/// \file Scanner of server-sent events in an engine's streamed answer.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace acacianotch {

/// Splits a stream into events, finds the end marker and the token usage, and
/// drops the usage event if the caller did not ask for it.
class sse_scanner {
public:
  explicit sse_scanner(bool HideUsage) : HidesUsage(HideUsage) {}

  /// Adds bytes of the stream. \return the complete events to forward.
  [[nodiscard]] auto feed(std::string_view Data) -> std::string;

  /// \return whether the end marker `[DONE]` was the last event.
  [[nodiscard]] auto complete() const -> bool { return Done && Rest.empty(); }

  /// \return the engine's count, or the number of content events.
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
  bool Done = false;
  bool UsageSeen = false;
  std::string Rest;
  std::uint64_t ContentEvents = 0;
  std::uint64_t PromptTokens = 0;
  std::uint64_t CompletionTokens = 0;
};

} // namespace acacianotch
