/// \file What the wiring of all roles needs.
#pragma once

#include "catalogue/catalogue_view.h"
#include "core/result.h"
#include "net/rpc.h"
#include "table/settings_type.h"

namespace acacianotch {

/// \return the RPC options in the settings.
[[nodiscard]] inline auto rpcOptions(const settings &Settings) -> rpc_options {
  rpc_options Options;
  Options.SilenceSeconds = static_cast<int>(Settings.Rpc.Keepalive.count());
  return Options;
}

/// \return whether an entry or an agent takes work, or why not.
[[nodiscard]] inline auto nodeReady(const catalogue_view &View, bool Stopping)
    -> result<void> {
  if (Stopping)
    return failure::of(errc::shutting_down);
  if (!View.ready())
    return failure::of(errc::not_ready);
  return {};
}

} // namespace acacianotch
