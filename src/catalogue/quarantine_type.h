/// \file Requests that crash backend servers.
#pragma once

#include "catalogue/field_table.h"

#include <string>
#include <vector>

namespace acacianotch {

/// Request fingerprint: 64-bit hash of client account, path and body.
enum class fingerprint : std::uint64_t { none = 0 };

/// What is known about a fingerprint.
enum class suspicion : std::uint8_t {
  invalid,
  watched,     ///< In flight during one crash.
  suspect,     ///< In flight during two crashes; runs in isolation.
  quarantined, ///< Crashed in isolation; rejected.
  cleared,     ///< Completed in isolation, or lifted by an operator.
};

inline constexpr enum_table<suspicion, 4> SuspicionNames{{{
    {suspicion::watched, "watched"},
    {suspicion::suspect, "suspect"},
    {suspicion::quarantined, "quarantined"},
    {suspicion::cleared, "cleared"},
}}};
constexpr auto namesOf(suspicion) -> const auto & { return SuspicionNames; }

/// Record of one fingerprint.
struct crash_record {
  suspicion State = suspicion::watched;
  std::uint32_t Crashes = 0;         ///< Since it was last cleared.
  std::vector<std::string> CrashIds; ///< Crashes already counted, newest last.
  std::uint64_t LastMs = 0;          ///< Log time of the last change.
  std::string Reason;                ///< Of the last change.

  auto operator==(const crash_record &) const -> bool = default;
};

template <> struct field_table<crash_record> {
  static constexpr auto Fields = std::tuple{
      required("state", &crash_record::State, {}, "suspicion"),
      required("crashes", &crash_record::Crashes, {}, "crashes counted"),
      required("crash_ids", &crash_record::CrashIds, {0, 16}, "their ids"),
      required("last_ms", &crash_record::LastMs, {}, "last change"),
      field("reason", &crash_record::Reason, {0, 1024}, "last reason"),
  };
};

} // namespace acacianotch
