/// \file Redirect of operators' HTTP requests to the leader.
#include "platform/operator_redirect.h"

namespace acacianotch::platform {

namespace {

constexpr int TemporaryRedirect = 307;
constexpr int ServiceUnavailable = 503;

} // namespace

auto redirectToLeader(const std::shared_ptr<http_exchange> &Exchange,
                      const std::optional<address> &Leader, std::uint16_t Port)
    -> void {
  if (!Leader)
    return Exchange->reply(ServiceUnavailable,
                           {{"Content-Type", "application/json"}},
                           R"({"error":"no leader is known"})");
  const auto Target = address{Leader->Ip, Port};
  Exchange->reply(
      TemporaryRedirect,
      {{"Location", "http://" + Target.text() + Exchange->target()}}, "");
}

auto operator_redirect::create(event_loop &Loop, const address &Address,
                               leader_source Leader)
    -> result<std::unique_ptr<operator_redirect>> {
  std::unique_ptr<operator_redirect> Created(new operator_redirect());
  auto Http =
      http_server::create(Loop, Address, {},
                          [Source = std::move(Leader), Port = Address.Port](
                              const std::shared_ptr<http_exchange> &Exchange) {
                            redirectToLeader(Exchange, Source(), Port);
                          });
  if (!Http)
    return Http.error();
  Created->Http = std::move(Http).value();
  return Created;
}

} // namespace acacianotch::platform
