/// \file Admin server of a process: health, readiness, metrics and queries.
#pragma once

#include "core/metrics.h"
#include "core/result.h"
#include "net/http_server.h"
#include "net/rpc.h"
#include "table/settings_type.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace acacianotch {

/// Callbacks of the role that the admin server calls.
struct admin_callbacks {
  std::function<result<void>()> Ready; ///< Fails with the reason if not ready.
  std::function<result<nlohmann::json>(std::string_view What,
                                       const nlohmann::json &Arguments)>
      Query;
  std::function<void(metrics_registry &)> UpdateMetrics;
};

/// Serves `/healthz`, `/readyz`, `/metrics` and `/dump` over HTTP and queries
/// over RPC.
class admin_server {
public:
  /// \return the server; `address_in_use` if another process uses an address.
  [[nodiscard]] static auto create(event_loop &Loop, const node_settings &Node,
                                   const admin_settings &Settings,
                                   const rpc_options &Rpc,
                                   admin_callbacks Callbacks)
      -> result<std::unique_ptr<admin_server>>;

  /// Counts connections that \p Server closes at a limit under the label
  /// \p Port. The server outlives this one.
  auto countDropped(const http_server &Server, std::string Port) -> void;

  [[nodiscard]] auto metrics() -> metrics_registry & { return Metrics; }

private:
  explicit admin_server(admin_callbacks TheCallbacks)
      : Callbacks(std::move(TheCallbacks)) {}

  /// Connections of one server that were closed at a limit.
  struct drop_source {
    const http_server *Server;
    std::string Port;
    http_drop_counts Counted; ///< Already in the metrics.
  };

  auto handle(http_exchange &Exchange) -> void;
  auto updateDropped() -> void;

  admin_callbacks Callbacks;
  metrics_registry Metrics;
  std::vector<drop_source> DropSources;
  std::unique_ptr<http_server> Http;
  std::unique_ptr<rpc_server> Rpc;
};

} // namespace acacianotch
