/// \file Decides when to abandon a stalled stream.
#pragma once

#include "core/clock_type.h"
#include "core/enum_table.h"
#include "routing/backend_type.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace acacianotch {

/// State of a stalled request according to the report of its backend server.
enum class stalled_state : std::uint8_t {
  invalid,
  unknown,      ///< Not queried yet, or the report does not list requests.
  at_work,      ///< The server runs the request or may have it in its queue.
  lost,         ///< The server no longer has it, or its events did not
                ///< arrive.
  unresponsive, ///< The server does not respond.
};

inline constexpr enum_table<stalled_state, 4> StalledStateNames{{{
    {stalled_state::unknown, "unknown"},
    {stalled_state::at_work, "at_work"},
    {stalled_state::lost, "lost"},
    {stalled_state::unresponsive, "dark"},
}}};

/// Action on a stalled stream.
enum class stall_action : std::uint8_t {
  invalid,
  wait,         ///< Wait longer.
  query_server, ///< Query the server for its report.
  abandon,      ///< Abandon the attempt and continue at another server.
};

/// Limits on the time that a stream may be stalled.
struct stall_settings {
  /// Time after which the server is queried; doubles with each query. Several
  /// times the duration of an engine step with a chunk of the longest prompt.
  duration QueryAfter = std::chrono::milliseconds(700);
  /// Multiple of the objective after which the attempt is abandoned. The
  /// objective is the target latency or the target gap of the stream.
  int AbandonFactor = 2;
  /// The same for a request that its server reports as at work. Callers
  /// disconnect at 4 times the objective.
  int AtWorkAbandonFactor = 3;
};

/// \return the state of request \p Id according to \p Report; \p Received is
/// the number of events received from it.
[[nodiscard]] inline auto stalledState(const backend_report &Report,
                                       std::string_view Id,
                                       std::uint32_t Received)
    -> stalled_state {
  if (!Report.ListsRuns)
    return stalled_state::unknown;
  for (const auto &Run : Report.Runs)
    if (Run.Id == Id)
      return Run.Events > Received ? stalled_state::lost
                                   : stalled_state::at_work;
  return Report.Waiting > 0 ? stalled_state::at_work : stalled_state::lost;
}

/// \return the action on a stream that has been stalled for \p Waited and whose
/// server has been queried \p Queries times in that time. \p Objective is the
/// target latency or the target gap of the stream.
[[nodiscard]] inline auto decideStallAction(const stall_settings &Settings,
                                            duration Waited, duration Objective,
                                            std::uint32_t Queries,
                                            stalled_state State)
    -> stall_action {
  if (State == stalled_state::lost || State == stalled_state::unresponsive)
    return stall_action::abandon;
  const auto Factor = State == stalled_state::at_work
                          ? Settings.AtWorkAbandonFactor
                          : Settings.AbandonFactor;
  if (Waited > Factor * Objective)
    return stall_action::abandon;
  const auto QueryAt = Settings.QueryAfter * (std::int64_t{1} << Queries);
  return Waited >= QueryAt ? stall_action::query_server : stall_action::wait;
}

} // namespace acacianotch
