/// \file HTTP interface for operators as defined by the platform.
#pragma once

#include "control/routing_publisher.h"
#include "net/http_server.h"
#include "table/settings_type.h"

#include <memory>
#include <string>

namespace acacianotch::platform {

/// Serves the configuration, rollouts and evacuations over HTTP. A replica that
/// is not the leader redirects to the leader.
class operator_api {
public:
  /// \return the interface; `address_in_use` if the address is taken.
  [[nodiscard]] static auto create(event_loop &Loop, const address &Address,
                                   const node_settings &Node,
                                   control_service &Service)
      -> result<std::unique_ptr<operator_api>>;

  /// \return the server, for its counts.
  [[nodiscard]] auto server() const -> const http_server & { return *Http; }

private:
  using exchange = std::shared_ptr<http_exchange>;

  /// A request that has not been answered.
  struct operator_request {
    exchange Exchange;
    time_point ReceivedAt;
    /// Number of the configuration, service and target of the rollout, or the
    /// availability zone.
    std::string Subject;
  };

  operator_api(event_loop &Loop, control_service &TheService)
      : Service(TheService), Publisher(Loop, TheService) {}

  auto handle(operator_request Request) -> void;
  auto putConfiguration(operator_request Request) -> void;
  auto getConfiguration(const operator_request &Request) -> void;
  auto startRollout(operator_request Request) -> void;
  auto getRollout(const operator_request &Request) -> void;
  auto changeEvacuation(const operator_request &Request,
                        std::string_view Method) -> void;
  auto execute(const operator_request &Request, command_body Body) -> void;
  auto replyResult(const operator_request &Request,
                   const command_result &Result) -> void;
  auto replyError(const operator_request &Request, int Status,
                  const std::string &Reason) -> void;
  auto replyJson(const operator_request &Request, int Status, const json &Body,
                 std::string_view Outcome) -> void;
  auto reply(const operator_request &Request, int Status,
             const http_headers &Headers, std::string_view Body,
             std::string_view Outcome) -> void;
  auto replyRedirect(const operator_request &Request) -> void;

  control_service &Service;
  routing_publisher Publisher;
  std::uint16_t Port = 0;
  std::unique_ptr<http_server> Http;
};

} // namespace acacianotch::platform
