#include "soak/operator.h"

namespace acacianotch::soak {

namespace {

using nlohmann::json;

constexpr auto PublishInterval = std::chrono::milliseconds(150);
/// Time after an acknowledgement from which no read may return an older
/// version, as documented for users.
constexpr auto VisibilityDelay = std::chrono::milliseconds(2000);
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
    std::this_thread::sleep_for(PublishInterval);
  }
}

auto routing_operator::sendRequest(const std::string &Method,
                                   const std::string &Body) -> http_answer {
  const auto &Replica = System.Replicas[Random() % System.Replicas.size()];
  return http_call(Replica.Operator,
                   httpRequest(Method, "/api/config", {}, Body))
      .finish();
}

// A document whose publication had no definite result is sent again, unchanged,
// to any replica.
auto routing_operator::publish() -> void {
  const auto Number = NextNumber;
  const auto SendStale = Number > 3 && Random() % 5 == 0;
  const auto SentNumber = SendStale ? Number - 2 : Number;
  const auto Answer = sendRequest("PUT", routingDocument(SentNumber));
  if (Answer.Status >= HttpClientError && Answer.Status < HttpServerError)
    Ledger.recordViolation("a valid document is acknowledged",
                           std::to_string(SentNumber) + " got " +
                               std::to_string(Answer.Status));
  if (Answer.Status != HttpOk || SendStale)
    return;
  AckedNumber = Number;
  AckTimes[std::chrono::steady_clock::now()] = Number;
  NextNumber = Number + 1 + Random() % 3;
}

auto routing_operator::readBack() -> void {
  const auto Cutoff = std::chrono::steady_clock::now() - VisibilityDelay;
  while (!AckTimes.empty() && AckTimes.begin()->first <= Cutoff) {
    VisibleNumber = AckTimes.begin()->second;
    AckTimes.erase(AckTimes.begin());
  }
  const auto Before = VisibleNumber;
  checkRead(sendRequest("GET", ""), Before);
}

auto routing_operator::checkRead(const http_answer &Answer,
                                 std::uint64_t AckedBefore) -> void {
  if (Answer.Status != HttpOk || !Answer.Complete)
    return;
  const auto Document = Answer.json();
  const auto Number =
      Document.is_object() ? Document.value("version", std::uint64_t{0}) : 0;
  if (Number < AckedBefore)
    Ledger.recordViolation("an acknowledged document is never lost or older",
                           "read " + std::to_string(Number) + " after " +
                               std::to_string(AckedBefore));
  else if (Number != 0 && Answer.Body != routingDocument(Number))
    Ledger.recordViolation("a document is read back as it was sent",
                           std::to_string(Number));
}

} // namespace acacianotch::soak
