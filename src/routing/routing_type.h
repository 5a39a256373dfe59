/// \file Routing table of a gateway: routes, services and client accounts.
#pragma once

#include "core/clock_type.h"
#include "core/enum_table.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace acacianotch {

/// Whether requests of a route may be retried.
enum class route_kind : std::uint8_t {
  invalid,
  idempotent,     ///< May run more than once.
  non_idempotent, ///< Runs once at most.
  streaming,      ///< Server-sent events; see gateway_route::Resumable.
};

inline constexpr enum_table<route_kind, 3> RouteKindNames{{{
    {route_kind::idempotent, "idempotent"},
    {route_kind::non_idempotent, "non_idempotent"},
    {route_kind::streaming, "streaming"},
}}};

/// One service of a route's traffic split.
struct weighted_service {
  std::string Service;
  double Weight = 0;
};

/// Hash of a part of a routing document.
struct text_hash {
  std::uint64_t Low = 0;
  std::uint64_t High = 0;

  auto operator==(const text_hash &) const -> bool = default;
};

/// Route of requests with one host and path prefix.
struct gateway_route {
  text_hash Source; ///< Text that it was decoded from.
  std::string Name;
  std::string Host; ///< Lower case, without a port.
  std::string PathPrefix;
  route_kind Kind = route_kind::invalid;
  duration Timeout{};       ///< Longest time until the final answer.
  duration TargetLatency{}; ///< Latency objective.
  duration TargetGap{};     ///< Objective for the time between stream events.
  std::uint32_t Rank = 0;   ///< Priority; 0 is the most urgent.
  std::uint32_t MaxAttempts = 1; ///< Limit of attempts for one request.
  bool Anonymous = false;        ///< Requests need no API key.
  bool Resumable = false;        ///< A stream can resume on another server.
  /// Models that the gateway may choose from, smallest first; may be empty.
  std::vector<std::string> Models;
  std::vector<weighted_service> Services;

  /// \return whether a request may run more than once.
  [[nodiscard]] auto repeatable() const -> bool {
    return Kind == route_kind::idempotent ||
           (Kind == route_kind::streaming && Resumable);
  }
};

/// One model that the backend servers of a service run.
struct model_price {
  std::string Model;
  double Cost = 0; ///< Cost of 1,000 generated tokens.
};

/// Properties shared by all backend servers of one service.
struct gateway_service {
  std::string Name;
  std::uint32_t MaxConnections = 0; ///< Per backend server, over all callers.
  std::uint32_t Slots = 0;          ///< Model engines only.
  std::uint64_t KvCacheTokens = 0;  ///< Cache capacity; model engines only.
  std::vector<model_price> Models;  ///< Model engines only.
  duration ColdStart{};     ///< For which a server is cold after its start.
  double ColdPerSecond = 0; ///< Requests that a cold server takes; 0: any.
};

/// The client account that owns an API key.
struct gateway_account {
  std::string Name;
  std::uint32_t Rank = 0; ///< Priority; takes precedence over the route's.
};

/// Limits on callers' requests and connections.
struct caller_limits {
  std::size_t HeaderBytes = 16384;
  std::size_t BodyBytes = 4ULL * 1024 * 1024;
  duration HeaderReadTimeout = std::chrono::seconds(3);
  duration ConnectionIdleTimeout = std::chrono::seconds(15);
};

/// A decoded routing document. It is immutable once active; a request keeps the
/// table with which it started.
struct routing_table {
  std::uint64_t Number = 0;
  std::map<std::string, gateway_service, std::less<>> Services;
  std::map<std::string, gateway_account, std::less<>> AccountsByKey;
  bool HasAccounts = false; ///< Without accounts no request needs an API key.
  caller_limits Limits;

  /// \return false if a route has the same host and prefix.
  [[nodiscard]] auto addRoute(std::shared_ptr<const gateway_route> Route)
      -> bool;

  /// Calls \p Visit with each route.
  template <typename visitor>
  auto forEachRoute(const visitor &Visit) const -> void {
    for (const auto &[Key, Route] : Routes)
      Visit(Route);
  }

  [[nodiscard]] auto routeCount() const -> std::size_t { return Routes.size(); }

  /// \return the route of the host with the longest matching prefix, or null.
  [[nodiscard]] auto match(std::string_view Host, std::string_view Path) const
      -> const gateway_route *;

  /// \return the account that owns the API key \p Key, or null.
  [[nodiscard]] auto accountOf(std::string_view Key) const
      -> const gateway_account *;

private:
  /// By host and prefix, one after the other.
  std::unordered_map<std::string, std::shared_ptr<const gateway_route>> Routes;
  std::size_t MaxPrefixLength = 0;
};

} // namespace acacianotch
