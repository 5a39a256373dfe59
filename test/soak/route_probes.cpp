#include "soak/route_probes.h"

#include "soak/kept_caller.h"

namespace acacianotch::soak {

namespace {

constexpr auto ProbeInterval = std::chrono::milliseconds(40);
/// Longer than a fault, so that a request waits for its end.
constexpr auto ProbeLimit = std::chrono::seconds(5);
constexpr int HttpUnauthorized = 401;
constexpr int HttpNotFound = 404;

} // namespace

route_probes::route_probes(const platform_deployment &System, ledger &TheLedger,
                           const routing_operator &TheOperator)
    : Ledger(TheLedger), Operator(TheOperator) {
  for (const auto &Gateway : System.Gateways)
    Threads.emplace_back([this, &Gateway] { run(Gateway); });
}

route_probes::~route_probes() { stop(); }

auto route_probes::stop() -> void {
  Stop = true;
  Threads.clear();
}

auto route_probes::run(const gateway_instance &Gateway) -> void {
  keep_alive_client Client;
  for (std::uint64_t Count = 0; !Stop; ++Count) {
    const auto Number = Operator.visible();
    const auto Id = "route-" + Gateway.Name + "-" + std::to_string(Count);
    Ledger.recordRequest(Id, true);
    const auto Outcome = Client.call(
        Gateway.Http,
        "GET /number-" + std::to_string(Number) +
            "/x HTTP/1.1\r\nHost: localhost\r\nX-Acacianotch-Request-Id: " +
            Id + "\r\nX-Api-Key: key\r\n\r\n",
        ProbeLimit);
    Answers += Outcome.Status != 0 ? 1 : 0;
    const auto Final =
        Outcome.Status == HttpUnauthorized || Outcome.Status == HttpNotFound;
    if (Final && routeListed(Number, Operator.sent()))
      Ledger.recordViolation("an acknowledged route is not refused for good",
                             Gateway.Name + " answered " +
                                 std::to_string(Outcome.Status) + " for " +
                                 std::to_string(Number));
    std::this_thread::sleep_for(ProbeInterval);
  }
}

} // namespace acacianotch::soak
