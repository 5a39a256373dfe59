/// \file Compact memory of request ids.
#pragma once

#include "catalogue/field_table.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace acacianotch {

/// What a window knows about an id.
enum class window_answer : std::uint8_t {
  fresh,    ///< Not seen yet.
  repeated, ///< Seen.
  too_old,  ///< Older than the retention; whether it was seen is forgotten.
};

/// Ids of 64 consecutive sequence numbers.
struct id_block {
  std::uint64_t Mask = 0; ///< Bit n: sequence number 64 * block + n was seen.
  std::uint64_t LastMs = 0;
};

/// Ids of one source.
struct id_source {
  std::uint64_t Low = 0; ///< Blocks below this are forgotten.
  std::uint64_t LastMs = 0;
  std::map<std::uint64_t, id_block> Blocks;
};

/// Set of request ids with a retention time. Ids of the form
/// `SOURCE-SEQUENCE`, as entries make them, take about one byte; others are
/// kept as text.
struct request_window {
  std::map<std::string, id_source, std::less<>> Sources;
  std::map<std::string, std::uint64_t, std::less<>> Texts; ///< Id to time.

  /// \return what is known about \p Id.
  [[nodiscard]] auto look(std::string_view Id) const -> window_answer;

  /// Adds \p Id, which must be fresh.
  auto insert(std::string_view Id, std::uint64_t NowMs) -> void;

  /// Forgets ids last touched before \p BeforeMs, and sources that were idle
  /// since \p IdleMs.
  auto expire(std::uint64_t BeforeMs, std::uint64_t IdleMs) -> void;
};

template <> struct field_table<id_block> {
  static constexpr auto Fields = std::tuple{
      required("mask", &id_block::Mask, {}, "seen numbers"),
      required("last_ms", &id_block::LastMs, {}, "log time"),
  };
};

template <> struct field_table<id_source> {
  static constexpr auto Fields = std::tuple{
      required("low", &id_source::Low, {}, "first block that is kept"),
      required("last_ms", &id_source::LastMs, {}, "log time"),
      required("blocks", &id_source::Blocks, {}, "blocks"),
  };
};

template <> struct field_table<request_window> {
  static constexpr auto Fields = std::tuple{
      required("sources", &request_window::Sources, {}, "numbered ids"),
      required("texts", &request_window::Texts, {}, "other ids"),
  };
};

} // namespace acacianotch
