/// \file Return of a replica that its group has removed.
#include "control/group_rejoiner.h"

#include "core/log_func.h"
#include "node/role_func.h"

namespace acacianotch {

namespace {

constexpr duration TickInterval = std::chrono::milliseconds(100);
/// Silence of the leader, in longest election timeouts, that an election does
/// not explain.
constexpr int SilentElections = 2;

} // namespace

group_rejoiner::group_rejoiner(event_loop &TheLoop, control_service &TheService,
                               const settings &TheSettings)
    : Loop(TheLoop), Service(TheService), Settings(TheSettings),
      Timer(TheLoop.repeating([this] { tick(); })) {
  Timer->start(TickInterval);
}

// A replica whose disk fails cannot store a new identity.
auto group_rejoiner::tick() -> void {
  const auto &Node = Service.replica().node();
  const auto Silence = Node.leaderContactAge(steady_clock::now());
  if (Node.failed() ||
      Silence < SilentElections * Settings.Control.ElectionTimeoutMax) {
    Joiner.reset();
    return;
  }
  if (Joiner == nullptr)
    return request(static_cast<std::uint64_t>(Node.id()));
  if (const auto Grant = Joiner->takeGrant())
    handleGrant(*Grant);
}

auto group_rejoiner::request(std::uint64_t Replica) -> void {
  Requested = Replica;
  const auto &Members = Service.replica().node().members();
  Joiner = std::make_unique<group_joiner>(
      Loop, groupAddresses(Settings, Members), Settings.Rpc.Listen,
      membership_request{Replica}, rpcOptions(Settings));
}

auto group_rejoiner::handleGrant(const join_grant &Grant) -> void {
  Joiner.reset();
  auto &Replica = Service.replica();
  if (Grant.Group != Replica.group()) {
    logError(log_category::replication, "ignored a grant of another group",
             {{"group", Grant.Group}, {"own_group", Replica.group()}});
    return;
  }
  if (Requested == 0)
    return Replica.adoptIdentity(Grant.Replica, Grant.Members);
  if (!Grant.Removed)
    return;
  logWarning(log_category::replication,
             "this replica was removed from its group; requesting membership",
             {{"replica", Requested},
              {"term", Replica.node().term()},
              {"last_record", Replica.node().lastIndex()}});
  request(0);
}

} // namespace acacianotch
