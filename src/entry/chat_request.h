/// \file A caller's chat completion request.
#pragma once

#include "core/result.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace acacianotch {

/// The parts of a chat completion request that routing needs.
struct chat_request {
  std::string Model; ///< Route, model, or `model@version`.
  bool Streamed = false;
  bool IncludeUsage = false; ///< The caller wants the usage event.
  std::optional<std::uint64_t> MaxTokens;
  std::size_t PromptBytes = 0;  ///< Text in all messages.
  std::uint64_t PrefixHash = 0; ///< Of the first message, for cache affinity.
  nlohmann::json Body;

  /// Reads a request body. \return bad_request with the reason.
  [[nodiscard]] static auto parse(std::string_view Body)
      -> result<chat_request>;

  /// \return the body for an engine that knows the model as \p Model. A
  /// streamed request always asks for usage, because billing needs it.
  [[nodiscard]] auto bodyFor(const std::string &Model) const -> std::string;
};

} // namespace acacianotch
