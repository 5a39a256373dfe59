/// \file The routing document and service rollouts, as replicated and spread.
#pragma once

#include "catalogue/rollout_type.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace acacianotch {

/// Which part of a service's backend servers a request may use.
enum class version_arm : std::uint8_t {
  invalid,
  serving,   ///< The version that serves, or the predecessor in a rollout.
  candidate, ///< The version that a rollout brings in.
};

inline constexpr enum_table<version_arm, 2> VersionArmNames{{{
    {version_arm::serving, "serving"},
    {version_arm::candidate, "candidate"},
}}};
constexpr auto namesOf(version_arm) -> const auto & { return VersionArmNames; }

/// Counts of one arm on one route, or of one measured time there.
struct arm_counts {
  version_arm Arm = version_arm::invalid;
  std::string Route;
  std::uint64_t Requests = 0;
  std::uint64_t Errors = 0;
  std::uint64_t Timed = 0; ///< Measured times.
  double LogTime = 0;      ///< Sum of their natural logarithms of microseconds.
  double LogTimeSquares = 0; ///< Sum of the squares of these logarithms.

  /// Adds the numbers of \p More; arm and route stay.
  auto add(const arm_counts &More) -> void {
    Requests += More.Requests;
    Errors += More.Errors;
    Timed += More.Timed;
    LogTime += More.LogTime;
    LogTimeSquares += More.LogTimeSquares;
  }

  auto operator==(const arm_counts &) const -> bool = default;
};

/// Evidence on a service's rollout, merged from all gateways.
struct service_evidence {
  std::string To;
  std::map<std::string, std::uint64_t> Sequences; ///< Last one per source.
  std::vector<arm_counts> Counts; ///< One row for each arm and route.
  /// Hashes of the sessions that were under way before it, sorted.
  std::vector<std::uint64_t> Sessions;
  /// Log time at which the first gateway knew backend servers of the new
  /// version; 0 before.
  std::uint64_t ListedMs = 0;
};

/// Key of the routing document among the shared values.
inline constexpr std::string_view RoutingKey = "routing/current";

/// Prefix of the keys of service rollouts among the shared values.
inline constexpr std::string_view ServiceRolloutPrefix = "service-rollout/";

/// All routes, services and client accounts as one document under one number.
/// Replicas keep its bytes unread, so that it is returned as it was sent.
struct routing_document {
  std::uint64_t Number = 0; ///< The highest number is in force.
  blob Text;                ///< By compress(); earlier versions: plain.

  auto operator==(const routing_document &) const -> bool = default;
};

/// What the new version of a rollout gets before the shift.
struct candidate_load {
  double Share = 0.1;        ///< Of new sessions and sessionless requests.
  std::uint32_t Servers = 0; ///< That serve it; 0 for all.

  auto operator==(const candidate_load &) const -> bool = default;
};

/// The replacement of the version that serves a service's requests.
struct service_rollout {
  std::string Service;
  std::string To;               ///< Version that is rolled out.
  std::uint64_t StartedMs = 0;  ///< Log time.
  std::uint32_t DurationMs = 0; ///< Time in which it should complete.
  rollout_state State = rollout_state::running;
  bool Shifted = false; ///< All new work goes to the new version.
  std::string Reason;   ///< Why it ended.
  /// Gateways still report the sessions that are under way; the new version
  /// gets no work yet.
  bool Collecting = false;
  /// Hashes of the sessions that stay on the predecessor until the shift.
  std::vector<std::uint64_t> Held;
  std::uint64_t ShiftedMs = 0; ///< Log time of the shift; 0 before.
  candidate_load Load;         ///< From the opening until the shift.
  std::string From; ///< Version that serves; empty if no rollout set it.
  /// Versions that were rolled back, the newest last. Their servers may still
  /// run.
  std::vector<std::string> Withdrawn;

  /// \return whether \p Version is a predecessor. \p FromRuns: servers of From
  /// are known; otherwise its name is no use.
  [[nodiscard]] auto precededBy(const std::string &Version, bool FromRuns) const
      -> bool {
    if (Version == To || std::find(Withdrawn.begin(), Withdrawn.end(),
                                   Version) != Withdrawn.end())
      return false;
    return From.empty() || !FromRuns || Version == From;
  }

  auto operator==(const service_rollout &) const -> bool = default;
};

template <> struct field_table<arm_counts> {
  using body = arm_counts;
  static constexpr auto Fields = std::tuple{
      required("arm", &body::Arm, {}, "arm"),
      field("route", &body::Route, {0, 256}, "route"),
      required("requests", &body::Requests, {0, 1e15}, "requests"),
      field("errors", &body::Errors, {0, 1e15}, "failed requests"),
      field("timed", &body::Timed, {0, 1e15}, "measured times"),
      field("log_time", &body::LogTime, {-1e15, 1e15}, "sum of logarithms"),
      field("log_time_squares", &body::LogTimeSquares, {0, 1e15},
            "sum of their squares"),
  };
};

template <> struct field_table<service_evidence> {
  using body = service_evidence;
  static constexpr auto Fields = std::tuple{
      required("to", &body::To, {1, 256}, "new version"),
      required("sequences", &body::Sequences, {}, "per source"),
      required("counts", &body::Counts, {}, "per arm and route"),
      field("sessions", &body::Sessions, {}, "under way before the start"),
      field("listed_ms", &body::ListedMs, {}, "new version first seen"),
  };
};

template <> struct field_table<routing_document> {
  static constexpr auto Fields = std::tuple{
      required("number", &routing_document::Number, {}, "number"),
      required("text", &routing_document::Text, {}, "content"),
  };
};

template <> struct field_table<candidate_load> {
  using body = candidate_load;
  static constexpr auto Fields = std::tuple{
      field("share", &body::Share, {0, 1}, "of new sessions"),
      field("servers", &body::Servers, {}, "that serve it"),
  };
};

template <> struct field_table<service_rollout> {
  using body = service_rollout;
  static constexpr auto Fields = std::tuple{
      required("service", &body::Service, {1, 256}, "service"),
      required("to", &body::To, {1, 256}, "new version"),
      required("started_ms", &body::StartedMs, {}, "log time of the start"),
      required("duration_ms", &body::DurationMs, {}, "time to complete"),
      required("state", &body::State, {}, "state"),
      field("shifted", &body::Shifted, {}, "new work goes to the new version"),
      field("shifted_ms", &body::ShiftedMs, {}, "log time of the shift"),
      field("reason", &body::Reason, {0, 1024}, "why it ended"),
      field("collecting", &body::Collecting, {}, "sessions are reported"),
      field("held", &body::Held, {}, "sessions that stay until the shift"),
      field("load", &body::Load, {}, "of the new version until the shift"),
      field("from", &body::From, {0, 256}, "version that serves"),
      field("withdrawn", &body::Withdrawn, {}, "versions rolled back"),
  };
};

} // namespace acacianotch
