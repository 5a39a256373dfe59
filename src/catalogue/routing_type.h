/// \file The routing document and service rollouts, as replicated and spread.
#pragma once

#include "catalogue/rollout_type.h"

#include <string>
#include <string_view>

namespace acacianotch {

/// Key of the routing document among the shared values.
inline constexpr std::string_view RoutingKey = "routing/current";

/// Prefix of the keys of service rollouts among the shared values.
inline constexpr std::string_view ServiceRolloutPrefix = "service-rollout/";

/// All routes, services and client accounts as one document under one number.
/// Replicas keep its bytes unread, so that it is returned as it was sent.
struct routing_document {
  std::uint64_t Number = 0; ///< The highest number is in force.
  blob Text;

  auto operator==(const routing_document &) const -> bool = default;
};

/// The replacement of the version that serves a service's requests.
struct service_rollout {
  std::string Service;
  std::string To;               ///< Version that is rolled out.
  std::uint64_t StartedMs = 0;  ///< Log time.
  std::uint32_t DurationMs = 0; ///< Time in which it should complete.
  rollout_state State = rollout_state::running;
  std::string Reason; ///< Why it ended.

  auto operator==(const service_rollout &) const -> bool = default;
};

template <> struct field_table<routing_document> {
  static constexpr auto Fields = std::tuple{
      required("number", &routing_document::Number, {}, "number"),
      required("text", &routing_document::Text, {}, "content"),
  };
};

template <> struct field_table<service_rollout> {
  using body = service_rollout;
  static constexpr auto Fields = std::tuple{
      required("service", &body::Service, {1, 256}, "service"),
      required("to", &body::To, {1, 256}, "new version"),
      required("started_ms", &body::StartedMs, {}, "log time of the start"),
      required("duration_ms", &body::DurationMs, {}, "time to complete"),
      required("state", &body::State, {}, "state"),
      field("reason", &body::Reason, {0, 1024}, "why it ended"),
  };
};

} // namespace acacianotch
