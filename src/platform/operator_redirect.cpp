/// \file Redirect of operators' HTTP requests to the leader.
#include "platform/operator_redirect.h"

#include "core/log_func.h"
#include "node/resource_limits.h"

namespace acacianotch::platform {

namespace {

constexpr int TemporaryRedirect = 307;
constexpr int ServiceUnavailable = 503;

auto redirectToLeader(http_exchange &Exchange,
                      const std::optional<address> &Leader, std::uint16_t Port)
    -> void {
  logInfo(log_category::control, "answered an operator request",
          {{"method", Exchange.method()},
           {"path", Exchange.path()},
           {"status", Leader ? TemporaryRedirect : ServiceUnavailable},
           {"role", "relay"},
           {"leader", Leader ? Leader->text() : ""}});
  if (!Leader)
    return Exchange.reply(ServiceUnavailable,
                          {{"Content-Type", "application/json"}},
                          R"({"error":"no leader is known"})");
  Exchange.reply(TemporaryRedirect,
                 {{"Location", leaderLocation(Exchange, *Leader, Port)}}, "");
}

} // namespace

auto leaderLocation(const http_exchange &Exchange, const address &Leader,
                    std::uint16_t Port) -> std::string {
  return "http://" + address{Leader.Ip, Port}.text() + Exchange.target();
}

auto operator_redirect::create(event_loop &Loop, const address &Address,
                               const node_settings &Node, leader_source Leader)
    -> result<std::unique_ptr<operator_redirect>> {
  std::unique_ptr<operator_redirect> Created(new operator_redirect());
  const auto Options = operatorServerOptions(Node, MaxOperatorBodyBytes);
  auto Http =
      http_server::create(Loop, Address, Options,
                          [Source = std::move(Leader), Port = Address.Port](
                              const std::shared_ptr<http_exchange> &Exchange) {
                            redirectToLeader(*Exchange, Source(), Port);
                          });
  if (!Http)
    return Http.error();
  Created->Http = std::move(Http).value();
  return Created;
}

} // namespace acacianotch::platform
