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
enum class silent_state : std::uint8_t {
  invalid,
  unknown, ///< Not queried yet, or the report does not list requests.
  at_work, ///< The server runs the request or may have it in its queue.
  lost,    ///< The server no longer has it, or its events did not
           ///< arrive.
  dark,    ///< The server does not respond.
};

inline constexpr enum_table<silent_state, 4> SilentStateNames{{{
    {silent_state::unknown, "unknown"},
    {silent_state::at_work, "at_work"},
    {silent_state::lost, "lost"},
    {silent_state::dark, "dark"},
}}};

/// Action on a stalled stream.
enum class silence_step : std::uint8_t {
  invalid,
  wait,  ///< Wait longer.
  ask,   ///< Query the server for its report.
  leave, ///< Abandon the attempt and continue at another server.
};

/// Limits on the time that a stream may be stalled.
struct stall_settings {
  /// Time after which the server is queried, doubled with each query. It is
  /// several times the engine step with a chunk of the longest prompt.
  duration QueryAfter = std::chrono::milliseconds(700);
  /// Multiple of the objective after which the attempt is abandoned. The
  /// objective is the target latency or the target gap of the stream.
  int AbandonFactor = 2;
  /// The same for a request that its server reports as at work. Callers
  /// disconnect at 4.
  int AtWorkAbandonFactor = 3;
};

/// \return the state of request \p Id according to \p Report; \p Received is
/// the number of events received from it.
[[nodiscard]] inline auto silentState(const backend_report &Report,
                                      std::string_view Id,
                                      std::uint32_t Received) -> silent_state {
  if (!Report.ListsRuns)
    return silent_state::unknown;
  for (const auto &Run : Report.Runs)
    if (Run.Id == Id)
      return Run.Events > Received ? silent_state::lost : silent_state::at_work;
  return Report.Waiting > 0 ? silent_state::at_work : silent_state::lost;
}

/// \return the action on a stream that has been stalled for \p Waited and whose
/// server has been queried \p Queries times in that time. \p Objective is the
/// target latency or the target gap of the stream.
[[nodiscard]] inline auto judgeSilence(const stall_settings &Settings,
                                       duration Waited, duration Objective,
                                       std::uint32_t Queries,
                                       silent_state State) -> silence_step {
  if (State == silent_state::lost || State == silent_state::dark)
    return silence_step::leave;
  const auto Factor = State == silent_state::at_work
                          ? Settings.AtWorkAbandonFactor
                          : Settings.AbandonFactor;
  if (Waited > Factor * Objective)
    return silence_step::leave;
  const auto QueryAt = Settings.QueryAfter * (std::int64_t{1} << Queries);
  return Waited >= QueryAt ? silence_step::ask : silence_step::wait;
}

} // namespace acacianotch
