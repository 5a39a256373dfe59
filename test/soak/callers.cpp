#include "soak/callers.h"

#include <array>
#include <sstream>

namespace acacianotch::soak {

namespace {

/// Read timeout of a caller; longer than the timeout of every route.
constexpr auto ReadTimeout = std::chrono::milliseconds(8000);
constexpr auto RequestInterval = std::chrono::milliseconds(4);
constexpr int HttpOk = 200;
constexpr int HttpTooManyRequests = 429;
constexpr int HttpUnavailable = 503;
/// Number of requests that a caller sends to one gateway before it chooses
/// again.
constexpr int RequestsPerGateway = 12;

/// \return whether \p Body is a prefix of the stream of \p Id, with every event
/// once and in order. If \p Complete, it must be the whole stream.
auto eventsInOrder(const std::string &Body, const std::string &Id,
                   bool Complete) -> bool {
  constexpr int Events = 6;
  std::string Expected;
  for (int Number = 1; Number <= Events; ++Number)
    Expected += "id: " + std::to_string(Number) + "\ndata: " + Id + " " +
                std::to_string(Number) + "\n\n";
  return Complete ? Body == Expected : Expected.starts_with(Body);
}

} // namespace

callers::callers(const platform_deployment &TheSystem, ledger &TheLedger,
                 std::size_t Count, std::uint64_t Seed)
    : System(TheSystem), Ledger(TheLedger) {
  for (std::size_t Index = 0; Index < Count; ++Index)
    Threads.emplace_back([this, Index, Seed] { run(Index, Seed + Index); });
}

callers::~callers() { stop(); }

auto callers::stop() -> void {
  Stop = true;
  Threads.clear();
}

auto callers::generateRequest(std::size_t Index, std::uint64_t Number,
                              std::mt19937_64 &Random) -> generated_request {
  constexpr std::array Kinds{"once", "safe", "stream"};
  generated_request Request;
  Request.Kind = Kinds[Random() % Kinds.size()];
  Request.Idempotent = Request.Kind != "once";
  Request.Id = "c" + std::to_string(Index) + "-" + std::to_string(Number);
  const auto Size = Random() % 3000;
  std::ostringstream Text;
  Text << (Request.Kind == "safe" ? "GET" : "POST") << " /" << Request.Kind
       << "/" << Request.Id << " HTTP/1.1\r\nHost: localhost\r\n"
       << "X-Acacianotch-Request-Id: " << Request.Id
       << "\r\nX-Api-Key: key\r\nContent-Length: " << Size << "\r\n\r\n"
       << std::string(Size, 'x');
  Request.Bytes = Text.str();
  return Request;
}

auto callers::run(std::size_t Index, std::uint64_t Seed) -> void {
  std::mt19937_64 Random(Seed);
  keep_alive_client Client;
  std::uint16_t Port = 0;
  for (std::uint64_t Number = 0; !Stop; ++Number) {
    if (Number % RequestsPerGateway == 0 || Port == 0)
      Port = System.Gateways[Random() % System.Gateways.size()].Callers;
    const auto Request = generateRequest(Index, Number, Random);
    Ledger.recordRequest(Request.Id, Request.Idempotent);
    const bool FaultFreeBefore = FaultFree;
    const auto Outcome = Client.call(Port, Request.Bytes, ReadTimeout);
    check(Request, Outcome, FaultFreeBefore && FaultFree);
    if (Outcome.Status != HttpOk)
      Port = 0;
    std::this_thread::sleep_for(RequestInterval);
  }
}

auto callers::check(const generated_request &Request,
                    const call_outcome &Outcome, bool FaultFreeThroughout)
    -> void {
  if (Outcome.Status == HttpUnavailable ||
      Outcome.Status == HttpTooManyRequests)
    Ledger.recordRefusal(Request.Id);
  if (Outcome.Status >= HttpOk && Outcome.Status < 300)
    checkBody(Request, Outcome);
  if (Outcome.Complete)
    Ledger.recordAnswer();
  // A request without a status may have crossed the close of an idle connection
  // and was then not read.
  const auto Broken = Outcome.Status != 0 && !Outcome.Complete;
  if (FaultFreeThroughout && Broken)
    Ledger.recordViolation("planned work cuts no answer", Request.Id);
}

auto callers::checkBody(const generated_request &Request,
                        const call_outcome &Outcome) -> void {
  if (Outcome.ResponseId != Request.Id || !Outcome.HasSeal)
    return Ledger.recordViolation("an answer belongs to its request",
                                  Request.Id + " got " + Outcome.ResponseId);
  const auto Correct =
      Request.Kind == "stream"
          ? eventsInOrder(Outcome.Body, Request.Id, Outcome.Complete)
          : !Outcome.Complete ||
                Outcome.Body == "/" + Request.Kind + "/" + Request.Id;
  if (!Correct)
    Ledger.recordViolation("an answer is whole and in order",
                           Request.Id + ": " + Outcome.Body);
}

} // namespace acacianotch::soak
