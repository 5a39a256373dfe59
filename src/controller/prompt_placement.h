/// \file Placement of prompts by the outstanding work at backend servers.
#pragma once

#include "board/backend_board.h"
#include "core/random_type.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>

namespace acacianotch {

/// Prefill work of one request in work units; see server_work. The home of a
/// prompt is the backend server that its affinity key maps to, where its shared
/// prefix is expected in the cache.
struct prompt_work {
  double Total = 0;      ///< Work of the whole prompt, without a cache.
  double Shared = 0;     ///< Part of it that other requests share.
  double RemoteCost = 0; ///< Additional cost away from its home.
};

/// Settings of the placement of prompts.
struct prompt_placement_settings {
  /// Random backend servers compared with the home. All gateways see nearly the
  /// same work, so a small number keeps them from choosing the same one.
  std::uint32_t Choices = 4;
  /// Additional choices per work unit: a long prompt delays all streams of its
  /// backend server, and long prompts are few enough for a wider comparison.
  double ChoicesPerUnit = 0.5;
  /// Cost of copying the shared part from the home to another backend server,
  /// as a share of its prefill work.
  double CopyCostShare = 0.3;
};

/// \return the prefill work of a prompt at its home or at another backend
/// server.
[[nodiscard]] inline auto
expectedWork(const prompt_work &Prompt, bool AtHome,
             const prompt_placement_settings &Settings) -> double {
  const auto Own = Prompt.Total - Prompt.Shared;
  return AtHome
             ? Own
             : Own + Prompt.RemoteCost + Settings.CopyCostShare * Prompt.Shared;
}

/// Selects the backend server with the least work for a prompt from \p Home and
/// random \p Members: its outstanding units, which \p Outstanding returns,
/// plus those of the prompt there. \p Usable returns whether it may be
/// selected.
/// \return nothing if none of the drawn ones may be.
template <random_source random>
[[nodiscard]] auto
placePrompt(random &Random, std::span<const backend_handle> Members,
            std::optional<backend_handle> Home, const prompt_work &Prompt,
            const prompt_placement_settings &Settings, const auto &Outstanding,
            const auto &Usable) -> std::optional<backend_handle> {
  std::optional<backend_handle> Best;
  double Least = 0;
  const auto Consider = [&](backend_handle Handle) {
    if (!Usable(Handle))
      return false;
    const auto AtHome = Home && *Home == Handle;
    const auto Cost =
        Outstanding(Handle) + expectedWork(Prompt, AtHome, Settings);
    if (!Best || Cost < Least) {
      Best = Handle;
      Least = Cost;
    }
    return true;
  };
  if (Home)
    Consider(*Home);
  // Unusable members are skipped. The number of draws is bounded, so a pool
  // without usable members ends the search.
  const auto Choices =
      Settings.Choices +
      static_cast<std::uint32_t>(Settings.ChoicesPerUnit * Prompt.Total);
  std::uint32_t Considered = 0;
  for (std::size_t Try = 0; Try < Members.size() && Considered < Choices; ++Try)
    Considered +=
        Consider(Members[randomBelow(Random, Members.size())]) ? 1 : 0;
  return Best;
}

} // namespace acacianotch
