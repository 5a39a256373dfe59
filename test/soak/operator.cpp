#include "soak/operator.h"

#include "soak/kept_caller.h"

namespace acacianotch::soak {

namespace {

using nlohmann::json;

constexpr auto PublishInterval = std::chrono::milliseconds(150);
/// Time after an acknowledgement from which no read may return an older
/// version, as documented for users.
constexpr auto VisibilityDelay = std::chrono::milliseconds(2000);
/// Each reader waits while its replica is stopped; the others may send a read
/// meanwhile.
constexpr std::uint64_t ReadersPerReplica = 4;
constexpr std::uint64_t MaxReadPauseMs = 1500;
/// Longer than a fault, so that the connection outlives it.
constexpr auto ReadLimit = std::chrono::seconds(5);
constexpr auto KeptRead = "GET /api/config HTTP/1.1\r\nHost: localhost\r\n\r\n";
/// Versions whose routes a document keeps: those of several times the delay
/// above, at up to 3 versions in each interval.
constexpr std::uint64_t ListedNumbers = 200;
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

auto routeListed(std::uint64_t RouteNumber, std::uint64_t Number) -> bool {
  return RouteNumber <= Number && Number - RouteNumber < ListedNumbers;
}

auto routingDocument(std::uint64_t Number) -> std::string {
  json Routes = {route("once", "unsafe", 2), route("safe", "safe", 3),
                 route("stream", "streaming", 3)};
  for (auto Listed = Number; routeListed(Listed, Number); --Listed) {
    Routes.push_back(route("number-" + std::to_string(Listed), "safe", 2));
    if (Listed == 0)
      break;
  }
  const json Document = {
      {"version", Number},
      {"routes", std::move(Routes)},
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
  for (const auto &Replica : System.Replicas)
    for (std::uint64_t Index = 0; Index < ReadersPerReplica; ++Index)
      Readers.emplace_back([this, Port = Replica.Operator, Seed = Random()] {
        readRepeatedly(Port, Seed);
      });
}

auto routing_operator::stop() -> void {
  Stop = true;
  if (Thread.joinable())
    Thread.join();
  for (auto &Reader : Readers)
    Reader.join();
  Readers.clear();
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
  const auto Number = NextNumber.load();
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
  const auto Before = VisibleNumber.load();
  checkRead(sendRequest("GET", ""), Before);
}

// Replicas answer reads under a lease, so that each version that was
// acknowledged before a read is sent is visible to it without delay.
auto routing_operator::readRepeatedly(std::uint16_t Port, std::uint64_t Seed)
    -> void {
  keep_alive_client Client;
  std::mt19937_64 Pauses(Seed);
  while (!Stop) {
    const auto Before = AckedNumber.load();
    const auto Outcome = Client.call(Port, KeptRead, ReadLimit);
    checkRead({Outcome.Status, {}, Outcome.Body, Outcome.Complete}, Before);
    std::this_thread::sleep_for(
        std::chrono::milliseconds(Pauses() % MaxReadPauseMs));
  }
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
