/// \file Parser of the platform's configuration document.
#pragma once

#include "core/result.h"
#include "routing/routing_type.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace acacianotch::platform {

/// Size of the largest configuration.
inline constexpr std::size_t MaxConfigurationBytes = 8ULL * 1024 * 1024;

/// Text that a process decodes in one turn of its event loop: a few
/// milliseconds on the slowest VM.
inline constexpr std::size_t DecodingStepBytes = 16U << 10U;

/// Parses and validates a configuration in steps of bounded size, so that the
/// event loop runs in between. Routes whose text is unchanged are taken from
/// the previous table, so that a change costs as much as it changes.
class configuration_decoder {
public:
  /// \p Previous may be null.
  configuration_decoder(std::string Text,
                        std::shared_ptr<const routing_table> Previous);
  ~configuration_decoder();
  configuration_decoder(const configuration_decoder &) = delete;
  auto operator=(const configuration_decoder &)
      -> configuration_decoder & = delete;

  /// Decodes the next part: the document without the elements of its lists, or
  /// elements until \p MaxBytes are reached. \return whether table() is
  /// known.
  [[nodiscard]] auto step(std::size_t MaxBytes) -> bool;

  /// \return the table, once; bad_request with the first error: malformed
  /// JSON, a duplicate JSON key, a route to an unknown service, two routes with
  /// the same host and prefix, weights that add up to 0, a timeout of 0, or an
  /// API key of two client accounts.
  [[nodiscard]] auto takeTable() -> result<routing_table>;

  [[nodiscard]] auto text() const -> const std::string &;

private:
  struct state;
  std::unique_ptr<state> State;
};

/// Decodes a whole configuration in one step.
[[nodiscard]] auto decodeConfiguration(std::string_view Text)
    -> result<routing_table>;

} // namespace acacianotch::platform
