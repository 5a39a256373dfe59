/// \file The operators' interface of a process that holds no replica.
#include "platform/operator_redirect.h"

namespace acacianotch::platform {

namespace {

constexpr int SeeLeader = 307;
constexpr int Unavailable = 503;

} // namespace

auto redirectToLeader(const std::shared_ptr<http_exchange> &Exchange,
                      const std::optional<address> &Leader, std::uint16_t Port)
    -> void {
  if (!Leader)
    return Exchange->reply(Unavailable, {{"Content-Type", "application/json"}},
                           R"({"error":"no leader is known"})");
  const auto Target = address{Leader->Ip, Port};
  Exchange->reply(
      SeeLeader, {{"Location", "http://" + Target.text() + Exchange->target()}},
      "");
}

auto operator_redirect::create(event_loop &Loop, const address &Address,
                               leader_source Leader)
    -> result<std::unique_ptr<operator_redirect>> {
  std::unique_ptr<operator_redirect> Made(new operator_redirect());
  auto Http =
      http_server::create(Loop, Address, {},
                          [Source = std::move(Leader), Port = Address.Port](
                              const std::shared_ptr<http_exchange> &Exchange) {
                            redirectToLeader(Exchange, Source(), Port);
                          });
  if (!Http)
    return Http.error();
  Made->Http = std::move(Http).value();
  return Made;
}

} // namespace acacianotch::platform
