#include "soak/callers.h"

#include <array>
#include <sstream>

namespace acacianotch::soak {

namespace {

/// Longest silence that a caller bears; above the routes' time.
constexpr auto AnswerLimit = std::chrono::milliseconds(8000);
constexpr auto Pause = std::chrono::milliseconds(4);
constexpr int HttpOk = 200;
constexpr int TooMany = 429;
constexpr int Unavailable = 503;
/// Requests on one connection before the caller may choose another gateway.
constexpr int StayRounds = 12;

/// \return whether \p Body is the start of the stream of \p Id, with every
/// event once and in order; all of it if \p Whole.
auto eventsInOrder(const std::string &Body, const std::string &Id, bool Whole)
    -> bool {
  constexpr int Events = 6;
  std::string Expected;
  for (int Number = 1; Number <= Events; ++Number)
    Expected += "id: " + std::to_string(Number) + "\ndata: " + Id + " " +
                std::to_string(Number) + "\n\n";
  return Whole ? Body == Expected : Expected.starts_with(Body);
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
  for (auto &Thread : Threads)
    if (Thread.joinable())
      Thread.join();
}

auto callers::plan(std::size_t Index, std::uint64_t Number,
                   std::mt19937_64 &Random) -> planned_request {
  constexpr std::array Kinds{"once", "safe", "stream"};
  planned_request Request;
  Request.Kind = Kinds[Random() % Kinds.size()];
  Request.MayRepeat = Request.Kind != "once";
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
  kept_caller Caller;
  std::uint16_t Port = 0;
  for (std::uint64_t Number = 0; !Stop; ++Number) {
    if (Number % StayRounds == 0 || Port == 0)
      Port = System.Gateways[Random() % System.Gateways.size()].Callers;
    const auto Request = plan(Index, Number, Random);
    Ledger.sent(Request.Id, Request.MayRepeat);
    const bool CalmBefore = Calm;
    const auto Outcome = Caller.call(Port, Request.Bytes, AnswerLimit);
    check(Request, Outcome, CalmBefore && Calm);
    if (Outcome.Status != HttpOk)
      Port = 0;
    std::this_thread::sleep_for(Pause);
  }
}

auto callers::check(const planned_request &Request, const call_outcome &Outcome,
                    bool CalmThroughout) -> void {
  if (Outcome.Status == Unavailable || Outcome.Status == TooMany)
    Ledger.refused(Request.Id);
  if (Outcome.Status >= HttpOk && Outcome.Status < 300)
    checkBody(Request, Outcome);
  if (Outcome.Whole)
    Ledger.answered();
  // A request that crosses the close of a kept connection was not read.
  const auto Broken = Outcome.Status != 0 && !Outcome.Whole;
  if (CalmThroughout && Broken)
    Ledger.broken("planned work cuts no answer", Request.Id);
}

auto callers::checkBody(const planned_request &Request,
                        const call_outcome &Outcome) -> void {
  if (Outcome.AnsweredId != Request.Id || !Outcome.Sealed)
    return Ledger.broken("an answer belongs to its request",
                         Request.Id + " got " + Outcome.AnsweredId);
  const auto Right =
      Request.Kind == "stream"
          ? eventsInOrder(Outcome.Body, Request.Id, Outcome.Whole)
          : !Outcome.Whole ||
                Outcome.Body == "/" + Request.Kind + "/" + Request.Id;
  if (!Right)
    Ledger.broken("an answer is whole and in order",
                  Request.Id + ": " + Outcome.Body);
}

} // namespace acacianotch::soak
