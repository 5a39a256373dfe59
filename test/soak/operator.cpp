#include "soak/operator.h"

namespace acacianotch::soak {

namespace {

using nlohmann::json;

constexpr auto Pause = std::chrono::milliseconds(150);
/// Time after an acknowledgement at which no read may be older; the promise
/// of the users' pages for a configuration.
constexpr auto SettleTime = std::chrono::milliseconds(2000);
constexpr int HttpOk = 200;
constexpr int HttpClientError = 400;
constexpr int HttpServerError = 500;

auto route(const std::string &Name, const std::string &Kind, int Attempts)
    -> json {
  return {{"name", Name},
          {"host", "localhost"},
          {"path-prefix", "/" + Name + "/"},
          {"kind", Kind},
          {"timeout-ms", 5000},
          {"target-latency-ms", 400},
          {"target-gap-ms", 400},
          {"stream-resume", Kind == "streaming"},
          {"service", "chat"},
          {"max-attempts", Attempts}};
}

} // namespace

auto routingDocument(std::uint64_t Number) -> std::string {
  const json Document = {
      {"version", Number},
      {"routes",
       {route("once", "unsafe", 2), route("safe", "safe", 3),
        route("stream", "streaming", 3),
        route("number-" + std::to_string(Number), "safe", 2)}},
      {"services", {{{"name", "chat"}, {"max-connections", 64}}}},
      {"tenants", {{{"name", "club"}, {"api-keys", {"key"}}}}}};
  return Document.dump();
}

routing_operator::routing_operator(const platform_deployment &TheSystem,
                                   ledger &TheLedger, std::uint64_t Seed)
    : System(TheSystem), Ledger(TheLedger), Random(Seed) {}

routing_operator::~routing_operator() { stop(); }

auto routing_operator::start() -> void {
  Thread = std::thread([this] { run(); });
}

auto routing_operator::stop() -> void {
  Stop = true;
  if (Thread.joinable())
    Thread.join();
}

auto routing_operator::run() -> void {
  while (!Stop) {
    publish();
    readBack();
    std::this_thread::sleep_for(Pause);
  }
}

auto routing_operator::ask(const std::string &Method, const std::string &Body)
    -> http_answer {
  const auto &Replica = System.Replicas[Random() % System.Replicas.size()];
  return http_call(Replica.Operator,
                   httpRequest(Method, "/api/config", {}, Body))
      .finish();
}

// A document without a clear answer is sent again, unchanged, to any replica.
auto routing_operator::publish() -> void {
  const auto Number = Next;
  const auto Old = Number > 3 && Random() % 5 == 0;
  const auto Sent = Old ? Number - 2 : Number;
  const auto Answer = ask("PUT", routingDocument(Sent));
  if (Answer.Status >= HttpClientError && Answer.Status < HttpServerError)
    Ledger.broken("a valid document is acknowledged",
                  std::to_string(Sent) + " got " +
                      std::to_string(Answer.Status));
  if (Answer.Status != HttpOk || Old)
    return;
  Acked = Number;
  AckTimes[std::chrono::steady_clock::now()] = Number;
  Next = Number + 1 + Random() % 3;
}

auto routing_operator::readBack() -> void {
  const auto Limit = std::chrono::steady_clock::now() - SettleTime;
  while (!AckTimes.empty() && AckTimes.begin()->first <= Limit) {
    Settled = AckTimes.begin()->second;
    AckTimes.erase(AckTimes.begin());
  }
  const auto Before = Settled;
  checkRead(ask("GET", ""), Before);
}

auto routing_operator::checkRead(const http_answer &Answer,
                                 std::uint64_t AckedBefore) -> void {
  if (Answer.Status != HttpOk || !Answer.Complete)
    return;
  const auto Document = Answer.json();
  const auto Number =
      Document.is_object() ? Document.value("version", std::uint64_t{0}) : 0;
  if (Number < AckedBefore)
    Ledger.broken("an acknowledged document is never lost or older",
                  "read " + std::to_string(Number) + " after " +
                      std::to_string(AckedBefore));
  else if (Number != 0 && Answer.Body != routingDocument(Number))
    Ledger.broken("a document is read back as it was sent",
                  std::to_string(Number));
}

} // namespace acacianotch::soak
