/// \file Routes, services and client accounts of a gateway.
#pragma once

#include "core/clock_type.h"
#include "core/enum_table.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace acacianotch {

/// What may be repeated on a route.
enum class route_kind : std::uint8_t {
  invalid,
  idempotent,     ///< May run more than once.
  non_idempotent, ///< Runs once at most.
  streaming,      ///< A stream of events; see gateway_route::Resumable.
};

inline constexpr enum_table<route_kind, 3> RouteKindNames{{{
    {route_kind::idempotent, "idempotent"},
    {route_kind::non_idempotent, "non_idempotent"},
    {route_kind::streaming, "streaming"},
}}};

/// One service among which a route splits its requests.
struct weighted_service {
  std::string Service;
  double Weight = 0;
};

/// Where requests of one host and path prefix go.
struct gateway_route {
  std::string Name;
  std::string Host; ///< Lower case, without a port.
  std::string PathPrefix;
  route_kind Kind = route_kind::invalid;
  duration Timeout{};            ///< Longest time until the final answer.
  duration TargetLatency{};      ///< Latency objective.
  duration TargetGap{};          ///< Longest pause between events of a stream.
  std::uint32_t Rank = 0;        ///< 0 is the most urgent.
  std::uint32_t MaxAttempts = 1; ///< Backend servers tried for one request.
  bool Anonymous = false;        ///< Needs no key.
  bool Resumable = false;        ///< A stream may go on at another server.
  std::vector<std::string> Models; ///< Smallest first; empty without choice.
  std::vector<weighted_service> Services;

  /// \return whether a request may run more than once.
  [[nodiscard]] auto repeatable() const -> bool {
    return Kind == route_kind::idempotent ||
           (Kind == route_kind::streaming && Resumable);
  }
};

/// One model that the backend servers of a service hold.
struct model_price {
  std::string Model;
  double Cost = 0; ///< Of 1,000 generated tokens.
};

/// What all backend servers of one service have in common.
struct gateway_service {
  std::string Name;
  std::uint32_t MaxConnections = 0; ///< Of one backend server, all callers.
  std::uint32_t Slots = 0;          ///< Model engines only.
  std::uint64_t MemoryTokens = 0;   ///< Model engines only.
  std::vector<model_price> Models;  ///< Model engines only.
};

/// The client account that holds a key.
struct gateway_account {
  std::string Name;
  std::uint32_t Rank = 0; ///< Goes before a route's rank.
};

/// What a caller may send.
struct caller_limits {
  std::size_t HeaderBytes = 16384;
  std::size_t BodyBytes = 4ULL * 1024 * 1024;
  duration HeaderTime = std::chrono::seconds(3);
  duration IdleTime = std::chrono::seconds(15);
};

/// One routing document, decoded. It does not change once it is in force;
/// requests keep the one that they began with.
struct routing_table {
  std::uint64_t Number = 0;
  std::vector<gateway_route> Routes;
  std::map<std::string, gateway_service, std::less<>> Services;
  std::map<std::string, gateway_account, std::less<>> AccountOfKey;
  bool HasAccounts = false; ///< Without accounts no request needs a key.
  caller_limits Limits;

  /// \return the route of the host with the longest matching prefix, or null.
  [[nodiscard]] auto match(std::string_view Host, std::string_view Path) const
      -> const gateway_route *;

  /// \return the account that holds \p Key, or null.
  [[nodiscard]] auto accountOf(std::string_view Key) const
      -> const gateway_account *;
};

} // namespace acacianotch
