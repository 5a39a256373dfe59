/// \file Exchanges waiting work with the other gateways through control.
#include "gateway/work_reporter.h"

#include "core/log_func.h"

#include <optional>
#include <vector>

namespace acacianotch {

namespace {

/// A long prompt occupies a server for some hundred milliseconds, so the
/// others should know of it within a part of that.
constexpr duration Interval = std::chrono::milliseconds(100);
/// An answer takes some milliseconds; a leader that is cut off gives none.
constexpr duration AnswerLimit = std::chrono::milliseconds(400);

/// Stated for a suspended server, in thousandths of a unit: more than usually
/// waits anywhere.
constexpr std::uint32_t SuspendedWork = 20'000;

using answer = std::optional<std::vector<server_work>>;

auto readRows(const auto &Response) -> answer {
  std::vector<server_work> Rows;
  const auto Servers = Response.getServers();
  const auto Work = Response.getWork();
  if (!Response.getAccepted() || Servers.size() != Work.size())
    return std::nullopt;
  Rows.reserve(Servers.size());
  for (unsigned Index = 0; Index < Servers.size(); ++Index)
    Rows.push_back({Servers[Index], Work[Index]});
  return Rows;
}

} // namespace

work_reporter::work_reporter(event_loop &TheLoop, node_link &TheLink,
                             work_board &TheBoard,
                             const backend_directory &TheDirectory,
                             std::string TheNode)
    : Loop(TheLoop), Link(TheLink), Board(TheBoard), Directory(TheDirectory),
      Node(std::move(TheNode)), Timer(TheLoop.repeating([this] { tick(); })) {}

auto work_reporter::start() -> void { Timer->start(Interval); }

// A server without work would look best to the others although this gateway
// has just found that it does not answer.
auto work_reporter::statement() const -> std::vector<server_work> {
  std::vector<server_work> Rows;
  for (const auto &Server : Directory.usedServers()) {
    const auto Work = Board.ownWork(Server.Key);
    Rows.push_back({Server.Key, Server.Suspended ? SuspendedWork : Work});
  }
  return Rows;
}

auto work_reporter::tick() -> void {
  auto *Leader = Link.leaderPeer();
  if (Call.running() || Leader == nullptr)
    return;
  auto Control = Leader->as<wire::Control>();
  if (!Control)
    return;
  const auto Rows = statement();
  auto Request = Control->exchangeWorkRequest();
  Request.setNode(Node.c_str());
  auto Servers = Request.initServers(static_cast<unsigned>(Rows.size()));
  auto Work = Request.initWork(static_cast<unsigned>(Rows.size()));
  for (unsigned Index = 0; Index < Rows.size(); ++Index) {
    Servers.set(Index, Rows[Index].Server);
    Work.set(Index, Rows[Index].Work);
  }
  auto Answer = Request.send().then(
      [](auto &&Response) { return readRows(Response); },
      [](kj::Exception &&Exception) -> answer {
        logDebug(log_category::placement, "an exchange of work failed",
                 {{"error", Exception.getDescription().cStr()}});
        return std::nullopt;
      });
  auto Limit =
      Loop.delay(AnswerLimit).then([]() -> answer { return std::nullopt; });
  Call.start(Answer.exclusiveJoin(kj::mv(Limit)), [this](const answer &Others) {
    if (Others)
      Board.setOthers(*Others, steady_clock::now());
  });
}

} // namespace acacianotch
