/// \file Exchanges outstanding work with the other gateways through control.
#include "gateway/work_reporter.h"

#include "core/log_func.h"
#include "node/crash_codec.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <random>
#include <vector>

namespace acacianotch {

namespace {

/// A long prompt occupies a server for some hundred milliseconds; the other
/// gateways should know of it within a fraction of that.
constexpr duration ExchangeInterval = std::chrono::milliseconds(100);
/// Seconds over which the mean request rate reaches.
constexpr double RateSpan = 2;
/// An answer takes a few milliseconds; a disconnected leader sends none.
constexpr duration AnswerTimeout = std::chrono::milliseconds(400);

/// Work reported for a suspended server, in thousandths of a work unit: more
/// than is usually outstanding at any server.
constexpr std::uint32_t SuspendedWork = 20'000;

/// What an accepted exchange returns.
struct exchange_answer {
  std::vector<server_work> Others;
  crash_verdicts Verdicts;
  std::vector<cold_share> ColdShares;
};
using answer = std::optional<exchange_answer>;

auto decodeRows(const auto &Response) -> answer {
  std::vector<server_work> Rows;
  const auto Servers = Response.getServers();
  const auto Work = Response.getWork();
  if (!Response.getAccepted() || Servers.size() != Work.size())
    return std::nullopt;
  Rows.reserve(Servers.size());
  for (unsigned Index = 0; Index < Servers.size(); ++Index)
    Rows.push_back({Servers[Index], Work[Index]});
  std::vector<cold_share> Shares;
  for (const auto Row : Response.getCold())
    Shares.push_back({Row.getServer(), Row.getRequests()});
  return exchange_answer{std::move(Rows),
                         readCrashVerdicts(Response.getVerdicts()),
                         std::move(Shares)};
}

} // namespace

work_reporter::work_reporter(event_loop &TheLoop, node_link &TheLink,
                             work_board &TheBoard, crash_watch &TheCrashes,
                             backend_directory &TheDirectory,
                             std::string TheNode)
    : Loop(TheLoop), Link(TheLink), Board(TheBoard), Crashes(TheCrashes),
      Directory(TheDirectory), Node(std::move(TheNode)),
      Token(std::random_device{}()),
      Timer(TheLoop.repeating([this] { tick(); })) {}

auto work_reporter::start() -> void {
  RateAt = steady_clock::now();
  Timer->start(ExchangeInterval);
}

// Without SuspendedWork, a server that this gateway has just found to be
// unreachable would look idle to the others, and they would choose it.
auto work_reporter::ownRows() const -> std::vector<server_work> {
  std::vector<server_work> Rows;
  for (const auto &Server : Directory.usedServers()) {
    const auto Work = Board.ownWork(Server.Key);
    Rows.push_back({Server.Key, Server.Suspended ? SuspendedWork : Work});
  }
  return Rows;
}

auto work_reporter::writeColdServers(auto &Request, time_point Now) -> void {
  auto &Limiter = Directory.coldLimiter();
  const auto Elapsed = std::chrono::duration<double>(Now - RateAt).count();
  const auto Weight = std::min(1.0, Elapsed / RateSpan);
  Rate += Weight * (Limiter.takeDemand() / Elapsed - Rate);
  RateAt = Now;
  Request.setRate(static_cast<std::uint32_t>(std::ceil(Rate)));
  const auto Known = Limiter.knownCold(Now);
  auto Rows = Request.initCold(static_cast<unsigned>(Known.size()));
  for (unsigned Index = 0; Index < Rows.size(); ++Index) {
    Rows[Index].setServer(Known[Index].Server);
    Rows[Index].setRequests(Known[Index].Limit);
  }
}

auto work_reporter::tick() -> void {
  auto *Leader = Link.leaderPeer();
  if (Call.running() || Leader == nullptr)
    return;
  auto Control = Leader->as<wire::Control>();
  if (!Control)
    return;
  const auto Rows = ownRows();
  auto Request = Control->exchangeWorkRequest();
  Request.setNode(Node.c_str());
  Request.setToken(Token);
  auto Servers = Request.initServers(static_cast<unsigned>(Rows.size()));
  auto Work = Request.initWork(static_cast<unsigned>(Rows.size()));
  for (unsigned Index = 0; Index < Rows.size(); ++Index) {
    Servers.set(Index, Rows[Index].Server);
    Work.set(Index, Rows[Index].Work);
  }
  writeCrashReport(Request.initCrashes(), Crashes.report(),
                   steady_clock::now());
  const auto AskedAt = steady_clock::now();
  writeColdServers(Request, AskedAt);
  auto Answer = Request.send().then(
      [](auto &&Response) { return decodeRows(Response); },
      [](kj::Exception &&Exception) -> answer {
        logDebug(log_category::placement,
                 "work exchange with the leader failed",
                 {{"error", Exception.getDescription().cStr()}});
        return std::nullopt;
      });
  auto Limit =
      Loop.delay(AnswerTimeout).then([]() -> answer { return std::nullopt; });
  Call.start(Answer.exclusiveJoin(kj::mv(Limit)),
             [this, AskedAt](const answer &Received) {
               if (!Received)
                 return;
               Board.setOthers(Received->Others, steady_clock::now());
               Crashes.accept(Received->Verdicts);
               Directory.coldLimiter().setShares(Received->ColdShares, AskedAt);
             });
}

} // namespace acacianotch
