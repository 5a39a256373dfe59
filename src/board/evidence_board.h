/// \file Evidence about a version and its predecessor, merged from all entries.
#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"
#include "core/result.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace acacianotch {

/// Side of a version test.
enum class test_arm : std::uint8_t {
  predecessor, ///< The version in service.
  canary,      ///< The version under test.
};

/// Counters of one arm and class since the source started.
struct arm_counters {
  /// Number of buckets for the time to first token. They start at 1 ms, and
  /// each is 1.25 times as wide as the previous one.
  static constexpr std::size_t Buckets = 64;

  std::uint64_t Requests = 0;                      ///< Finished requests.
  std::uint64_t Errors = 0;                        ///< Of these, failed ones.
  std::uint64_t Rated = 0;                         ///< Ratings that arrived.
  std::uint64_t Passed = 0;                        ///< Of these, passes.
  std::array<std::uint64_t, Buckets> FirstToken{}; ///< Requests per bucket.

  auto operator==(const arm_counters &) const -> bool = default;

  /// \return whether every counter is at least that of \p Other.
  [[nodiscard]] auto covers(const arm_counters &Other) const -> bool;

  /// Adds \p Other to every counter.
  auto add(const arm_counters &Other) -> void;

  /// Subtracts \p Other, which this must cover.
  auto subtract(const arm_counters &Other) -> void;
};

/// Counters of both arms.
struct class_counters {
  arm_counters Predecessor;
  arm_counters Canary;

  auto operator==(const class_counters &) const -> bool = default;

  /// \return the counters of \p Arm.
  [[nodiscard]] auto of(test_arm Arm) -> arm_counters & {
    return Arm == test_arm::canary ? Canary : Predecessor;
  }
};

/// Counters by request class.
using evidence_counters = std::map<std::string, class_counters, std::less<>>;

/// All counters of one source. Counters are cumulative, so that a duplicate
/// report changes nothing and the next report makes up for a lost one.
struct evidence_report {
  node_id Source;                ///< Entry that reports.
  std::uint64_t Incarnation = 0; ///< Increases with each start of the source.
  std::uint64_t Sequence = 0; ///< Increases with each report of an incarnation.
  evidence_counters Counters; ///< Since the start of the incarnation.
};

/// \return the bucket for \p Time.
[[nodiscard]] auto firstTokenBucket(duration Time) -> std::size_t;

/// Counts the evidence of one entry for one rollout.
class evidence_recorder {
public:
  evidence_recorder(node_id Source, std::uint64_t Incarnation);

  /// Counts a request at its end. \p FirstToken is ignored if \p Failed.
  auto recordRequest(std::string_view Class, test_arm Arm, bool Failed,
                     duration FirstToken) -> void;

  /// Counts a rating that arrived.
  auto recordRating(std::string_view Class, test_arm Arm, bool Passed) -> void;

  /// \return all counters under a new sequence number.
  [[nodiscard]] auto report() -> evidence_report;

private:
  auto countersFor(std::string_view Class, test_arm Arm) -> arm_counters &;

  evidence_report Current;
};

/// Merged evidence of all entries for one rollout.
class evidence_aggregator {
public:
  /// Merges \p Report.
  /// \return whether it is newer than the last report of its source;
  /// `protocol_error` if it contradicts an earlier report or exceeds a limit.
  [[nodiscard]] auto merge(const evidence_report &Report) -> result<bool>;

  /// \return the sum over all sources.
  [[nodiscard]] auto totals() const -> const evidence_counters & {
    return Totals;
  }

private:
  struct source_state {
    std::uint64_t Incarnation = 0;
    std::uint64_t Sequence = 0;
    evidence_counters Counters;
  };

  std::map<std::string, source_state> Sources;
  evidence_counters Totals;
};

} // namespace acacianotch
