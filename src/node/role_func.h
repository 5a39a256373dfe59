/// \file Functions that all roles share.
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

/// \return success if a node accepts requests; otherwise the reason why not.
[[nodiscard]] inline auto nodeReady(const catalogue_view &View,
                                    bool ShuttingDown) -> result<void> {
  if (ShuttingDown)
    return failure::of(errc::shutting_down);
  if (!View.ready())
    return failure::of(errc::not_ready);
  return {};
}

} // namespace acacianotch
