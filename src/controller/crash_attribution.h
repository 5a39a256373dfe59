/// \file Finds the requests, and parts of prompts, that crash backend servers.
#pragma once

#include "controller/crash_type.h"
#include "core/clock_type.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace acacianotch {

/// Merges the reports of all gateways. A part is blocked when servers crashed
/// under prompts with it at three moments and no prompt with it was answered
/// since the first of them; at five moments if no answer had begun. A whole
/// request is blocked at four moments, or three if it has no prompt. Crashes
/// that a blocked one explains do not count against others.
class crash_attribution {
public:
  /// Why a part is blocked, for the log.
  struct cause {
    part_id Part = 0;
    std::size_t Crashes = 0; ///< Servers that crashed under it.
    std::size_t Moments = 0; ///< Distinct moments of these crashes.
    std::size_t Begun = 0;   ///< Of these, with an answer that had begun.
    std::size_t Prompts =
        0; ///< Prompts with it, told apart by their last part.
  };

  /// Runs when a part becomes blocked, and when one is released.
  std::function<void(const cause &)> OnBlocked;
  std::function<void(part_id)> OnReleased;
  /// Runs for each server that broke off prompts, with the number of crashes
  /// that are remembered.
  std::function<void(const std::string &Server, std::size_t Known)> OnCrash;

  /// Adds the report of a gateway to what the leader of \p Epoch knows.
  /// \return the present verdicts for this gateway.
  [[nodiscard]] auto exchange(const crash_report &Report, std::uint64_t Epoch,
                              time_point Now) -> crash_verdicts;

private:
  /// What may have crashed a server.
  struct broken_request {
    std::vector<part_id> Parts;
    part_id Request = 0;

    auto operator<=>(const broken_request &) const = default;
  };

  /// A server that closed connections within a short time.
  struct crash {
    std::string Server;
    time_point At;
    /// Whether their answer had begun.
    std::map<broken_request, bool> Requests;
  };

  struct block {
    time_point ProbeAt;       ///< When the next request may pass.
    duration ProbeInterval{}; ///< Until the one after it.
    bool Shared = false; ///< It is a part, and not the last one, of prompts.
  };

  auto addBroken(const broken_attempt &Attempt, time_point Now) -> void;
  auto addBlock(part_id Part, bool Shared, time_point Now) -> void;
  auto addAnswered(part_id Part, time_point Now) -> void;
  auto forgetOld(time_point Now) -> void;
  [[nodiscard]] auto unanswered(const crash &Crash, part_id Part) const -> bool;
  auto evaluate(time_point Now) -> void;
  auto blockNext(time_point Now) -> bool;
  auto releaseExplained(part_id By) -> void;
  /// \return the blocked parts and requests that explain a crash.
  [[nodiscard]] auto explanations(const crash &Crash) const
      -> std::set<part_id>;

  std::deque<crash> Crashes;                  ///< In order of time.
  std::map<part_id, time_point> LastAnswered; ///< Of parts in Crashes.
  std::map<part_id, block> Blocked;
  std::vector<part_id> Watched; ///< As of the last evaluation.
  bool Changed = false;         ///< Evidence came after it.
  time_point EvaluatedAt{};
};

} // namespace acacianotch
