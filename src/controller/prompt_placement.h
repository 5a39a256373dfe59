/// \file Placement of prompts by the work that waits at model engines.
#pragma once

#include "board/backend_board.h"
#include "core/random_type.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>

namespace acacianotch {

/// Work of one request in work units; see server_work.
struct prompt_work {
  double Whole = 0;  ///< Its prompt is read whole.
  double Shared = 0; ///< Part of it that other requests share.
  double Away = 0;   ///< What it costs to use another than its usual server.
};

/// Settings of the placement of prompts.
struct prompt_placement_settings {
  /// Servers compared with the prompt's usual one. All gateways see nearly the
  /// same work, so few choices keep them from the same server.
  std::uint32_t Choices = 4;
  /// Further choices for each work unit: a long prompt holds up all streams of
  /// its server, and few prompts are long.
  double ChoicesPerUnit = 0.5;
  /// What a shared part costs at another server than its usual one, as a share
  /// of reading it: it is copied from there.
  double AwayShare = 0.3;
};

/// \return the work of reading a prompt at its usual server, or at another.
[[nodiscard]] inline auto
expectedWork(const prompt_work &Prompt, bool AtHome,
             const prompt_placement_settings &Settings) -> double {
  const auto Own = Prompt.Whole - Prompt.Shared;
  return AtHome ? Own : Own + Prompt.Away + Settings.AwayShare * Prompt.Shared;
}

/// Chooses the server where a prompt is read first: \p Waiting tells the units
/// that wait at one, \p Usable whether it may be chosen. \return nothing if no
/// drawn server may be.
template <random_source random>
[[nodiscard]] auto
placePrompt(random &Random, std::span<const backend_handle> Members,
            std::optional<backend_handle> Home, const prompt_work &Prompt,
            const prompt_placement_settings &Settings, const auto &Waiting,
            const auto &Usable) -> std::optional<backend_handle> {
  std::optional<backend_handle> Best;
  double Least = 0;
  const auto Consider = [&](backend_handle Handle) {
    if (!Usable(Handle))
      return false;
    const auto AtHome = Home && *Home == Handle;
    const auto Cost = Waiting(Handle) + expectedWork(Prompt, AtHome, Settings);
    if (!Best || Cost < Least) {
      Best = Handle;
      Least = Cost;
    }
    return true;
  };
  if (Home)
    Consider(*Home);
  // Unusable members are passed over; a pool of them alone ends the search.
  const auto Choices =
      Settings.Choices +
      static_cast<std::uint32_t>(Settings.ChoicesPerUnit * Prompt.Whole);
  std::uint32_t Considered = 0;
  for (std::size_t Try = 0; Try < Members.size() && Considered < Choices; ++Try)
    Considered +=
        Consider(Members[randomBelow(Random, Members.size())]) ? 1 : 0;
  return Best;
}

} // namespace acacianotch
