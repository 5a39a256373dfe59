/// \file A caller's chat completion request.
#pragma once

#include "core/result.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace acacianotch {

/// A chat completion request with the fields that routing uses.
struct chat_request {
  std::string Model; ///< Route, model, or `model@version`.
  bool Streamed = false;
  bool IncludeUsage = false; ///< The caller requests the usage event.
  std::optional<std::uint64_t> MaxTokens;
  std::size_t PromptBytes = 0; ///< Size of the text of all messages.
  /// Hash of the first message, for prefix cache affinity.
  std::uint64_t PrefixHash = 0;
  nlohmann::json Body;

  /// Parses a request body. \return the request, or `bad_request` with the
  /// reason.
  [[nodiscard]] static auto parse(std::string_view Body)
      -> result<chat_request>;

  /// \return the request body for an engine that serves the model under the
  /// name \p Model. A streamed request always requests usage, because billing
  /// needs it.
  [[nodiscard]] auto bodyFor(const std::string &Model) const -> std::string;
};

} // namespace acacianotch
