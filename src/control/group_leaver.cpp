/// \file Departure of a replica from its group when its process ends.
#include "control/group_leaver.h"

#include "core/log_func.h"
#include "node/role_func.h"

namespace acacianotch {

namespace {

constexpr duration TickInterval = std::chrono::milliseconds(20);
/// Longest election timeouts that a departure may take: the group may have to
/// elect a leader first. A group without a majority has none.
constexpr int MaxElections = 2;

} // namespace

group_leaver::group_leaver(event_loop &TheLoop, control_service &TheService,
                           membership_manager &TheManager,
                           const settings &TheSettings)
    : Loop(TheLoop), Service(TheService), Manager(TheManager),
      Settings(TheSettings), Timer(TheLoop.repeating([this] { tick(); })) {}

auto group_leaver::start() -> void {
  const auto &Node = Service.replica().node();
  if (Node.failed() || !Manager.canSpare(Node.id()))
    return;
  logInfo(log_category::replication, "leaving the group",
          {{"replica", static_cast<std::uint64_t>(Node.id())},
           {"voters", Node.members().voterCount()},
           {"leader", Service.replica().leaderAddress()},
           {"term", Node.term()}});
  InProgress = true;
  StartedAt = steady_clock::now();
  Timer->start(TickInterval);
  tick();
}

auto group_leaver::removed() const -> bool {
  const auto &Node = Service.replica().node();
  return Node.membersCommitted() && Node.members().find(Node.id()) == nullptr;
}

auto group_leaver::request() const -> membership_request {
  return {static_cast<std::uint64_t>(Service.replica().node().id()), true};
}

auto group_leaver::tick() -> void {
  const auto Limit = MaxElections * Settings.Control.ElectionTimeoutMax;
  if (removed())
    return finish("removed");
  if (steady_clock::now() - StartedAt >= Limit)
    return finish("no leader removed it in time");
  if (Service.replica().node().role() != raft_role::leader)
    return askLeader();
  Requester.reset();
  const auto Answer = Manager.join(Settings.Rpc.Listen.text(), 0, request());
  if (Answer.Code == errc::ok && !Answer.Grant.Removed)
    finish("it is needed as a voter");
}

auto group_leaver::askLeader() -> void {
  auto &Replica = Service.replica();
  if (Requester == nullptr) {
    Requester = std::make_unique<group_joiner>(
        Loop, groupAddresses(Settings, Replica.node().members()),
        Settings.Rpc.Listen, request(), rpcOptions(Settings));
    Requester->setLeader(Replica.leaderAddress());
    return;
  }
  const auto Grant = Requester->takeGrant();
  if (Grant && Grant->Group == Replica.group())
    finish(Grant->Removed ? "removed" : "it is needed as a voter");
}

auto group_leaver::finish(std::string_view Outcome) -> void {
  Timer->stop();
  Requester.reset();
  InProgress = false;
  const auto &Node = Service.replica().node();
  const auto Waited = steady_clock::now() - StartedAt;
  logInfo(log_category::replication, "finished leaving the group",
          {{"outcome", Outcome},
           {"replica", request().Replica},
           {"ms", Waited / std::chrono::milliseconds(1)},
           {"term", Node.term()},
           {"commit_index", Node.commitIndex()},
           {"last_record", Node.lastIndex()}});
}

} // namespace acacianotch
