/// \file Shares of the request rate of cold backend servers.
#pragma once

#include "board/work_board.h"

#include <cstdint>

namespace acacianotch {

/// Span over which the requests to a cold backend server are limited.
inline constexpr duration ColdWindow = std::chrono::seconds(1);

/// Time for which a share is valid, counted by its holder from the moment at
/// which it asked. Six exchanges with control may fail before it ends.
inline constexpr duration ColdShareLifetime = std::chrono::milliseconds(600);

/// A backend server that a gateway knows to be cold.
struct cold_server {
  server_key Server = 0;
  std::uint32_t Limit = 0; ///< Requests in a ColdWindow, over all gateways.

  auto operator==(const cold_server &) const -> bool = default;
};

/// What one gateway may send to a cold backend server.
struct cold_share {
  server_key Server = 0;
  std::uint32_t Requests = 0; ///< In a ColdWindow.

  auto operator==(const cold_share &) const -> bool = default;
};

} // namespace acacianotch
