/// \file When a stream that sends nothing is given up.
#pragma once

#include "core/clock_type.h"
#include "core/enum_table.h"
#include "routing/backend_type.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace acacianotch {

/// What a backend server's own report tells about a silent request.
enum class silent_state : std::uint8_t {
  invalid,
  unknown, ///< Not asked yet, or the report does not tell.
  at_work, ///< The server runs it or has it in its queue.
  lost,    ///< The server does not have it, or has answered already.
  dark,    ///< The server does not answer.
};

inline constexpr enum_table<silent_state, 4> SilentStateNames{{{
    {silent_state::unknown, "unknown"},
    {silent_state::at_work, "at_work"},
    {silent_state::lost, "lost"},
    {silent_state::dark, "dark"},
}}};

/// What to do about a silent stream.
enum class silence_step : std::uint8_t {
  invalid,
  wait,  ///< It is early.
  ask,   ///< Ask the server for its report.
  leave, ///< Go on at another server.
};

/// Limits of silence.
struct silence_settings {
  /// Silence after which the server is asked: several times what a step with
  /// a chunk of the longest prompt takes. It doubles with each question.
  duration AskAfter = std::chrono::milliseconds(700);
  /// Latency objectives, or longest pauses, after which a stream is left.
  int LostFactor = 2;
  /// The same for a stream that its server says it works on: callers leave
  /// at four.
  int WorkingFactor = 3;
};

/// \return what a report says about the request \p Id, from which \p Received
/// events have come.
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

/// \return the next step for a stream that has been silent for \p Waited and
/// whose server has been asked \p Asked times meanwhile; \p Usual is its
/// latency objective or its longest pause.
[[nodiscard]] inline auto judgeSilence(const silence_settings &Settings,
                                       duration Waited, duration Usual,
                                       std::uint32_t Asked, silent_state State)
    -> silence_step {
  if (State == silent_state::lost || State == silent_state::dark)
    return silence_step::leave;
  const auto Factor = State == silent_state::at_work ? Settings.WorkingFactor
                                                     : Settings.LostFactor;
  if (Waited > Factor * Usual)
    return silence_step::leave;
  const auto AskAt = Settings.AskAfter * (std::int64_t{1} << Asked);
  return Waited >= AskAt ? silence_step::ask : silence_step::wait;
}

} // namespace acacianotch
