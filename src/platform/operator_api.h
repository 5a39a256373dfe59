/// \file HTTP interface for operators as defined by the platform.
#pragma once

#include "control/control_service.h"
#include "net/http_server.h"

#include <memory>
#include <string>

namespace acacianotch::platform {

/// Serves the configuration and rollouts over HTTP. A replica that is not the
/// leader redirects to the leader.
class operator_api {
public:
  /// \return the interface; `address_in_use` if the address is taken.
  [[nodiscard]] static auto create(event_loop &Loop, const address &Address,
                                   control_service &Service)
      -> result<std::unique_ptr<operator_api>>;

private:
  using exchange = std::shared_ptr<http_exchange>;

  explicit operator_api(control_service &TheService) : Service(TheService) {}

  auto handle(const exchange &Exchange) -> void;
  auto putConfiguration(const exchange &Exchange) -> void;
  auto getConfiguration(const exchange &Exchange) -> void;
  auto startRollout(const exchange &Exchange) -> void;
  auto getRollout(const exchange &Exchange, const std::string &Name) -> void;
  auto execute(const exchange &Exchange, command_body Body) -> void;
  auto replyResult(const exchange &Exchange, const command_result &Result)
      -> void;
  auto replyRedirect(const exchange &Exchange) -> void;

  control_service &Service;
  std::uint16_t Port = 0;
  std::unique_ptr<http_server> Http;
};

} // namespace acacianotch::platform
