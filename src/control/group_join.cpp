/// \file A replica that finds its group through seeds.
#include "control/group_join.h"

#include "core/log_func.h"
#include "net/kj_func.h"

#include <acacianotch.capnp.h>

#include <algorithm>

namespace acacianotch {

namespace {

/// Pause between two tries; a leader needs an election timeout to appear.
constexpr duration RetryPause = std::chrono::milliseconds(150);
/// A replica that answers at all does so within a few round trips.
constexpr duration AnswerLimit = std::chrono::milliseconds(600);

} // namespace

auto seedAddresses(const settings &Settings) -> std::vector<address> {
  auto Seeds = Settings.Control.Seeds;
  for (auto &Seed : Seeds)
    if (Settings.Control.RpcPort != 0)
      Seed.Port = static_cast<std::uint16_t>(Settings.Control.RpcPort);
  std::sort(Seeds.begin(), Seeds.end());
  return Seeds;
}

auto formsGroup(const settings &Settings) -> bool {
  const auto Seeds = seedAddresses(Settings);
  return Settings.Control.Bootstrap &&
         std::find(Seeds.begin(), Seeds.end(), Settings.Rpc.Listen) !=
             Seeds.end();
}

auto seedMembers(const settings &Settings) -> std::vector<replica_address> {
  std::vector<replica_address> Members;
  for (auto &Seed : seedAddresses(Settings))
    Members.push_back({Members.size() + 1, std::move(Seed)});
  return Members;
}

group_joiner::group_joiner(event_loop &TheLoop, std::vector<address> TheSeeds,
                           address TheOwn, std::uint64_t TheToken,
                           std::uint64_t TheReplica, const rpc_options &TheRpc)
    : Loop(TheLoop), Seeds(std::move(TheSeeds)), Own(std::move(TheOwn)),
      Token(TheToken), Replica(TheReplica), Rpc(TheRpc),
      Timer(TheLoop.oneShot([this] { ask(); })) {}

auto group_joiner::wait(const bool &Stopped) -> std::optional<join_grant> {
  Timer->start(duration::zero());
  while (!Grant && !Stopped)
    Loop.turn();
  Call = nullptr;
  return std::move(Grant);
}

auto group_joiner::askAgain(const std::string &Named) -> void {
  Leader.reset();
  if (const auto Address = parseAddress(Named); Address && *Address != Own)
    Leader = *Address;
  Timer->start(RetryPause);
}

auto group_joiner::ask() -> void {
  const auto Target = Leader ? *Leader : Seeds[Next++ % Seeds.size()];
  if (Target == Own)
    return askAgain("");
  auto &Peer = Peers[Target];
  if (Peer == nullptr)
    Peer = std::make_unique<rpc_peer>(Loop, Target, Rpc);
  auto Client = Peer->as<wire::Control>();
  if (!Client)
    return askAgain("");
  auto Request = Client->joinRequest();
  Request.setAddress(Own.text().c_str());
  Request.setToken(Token);
  Request.setReplica(Replica);
  auto Answer = Request.send().then([this, &Kept = *Peer](auto &&Response) {
    Kept.confirm();
    const auto Read = Response.getGrant();
    if (Read.getError() != 0)
      return askAgain(toString(Read.getLeader()));
    join_grant Given;
    Given.Group = Read.getGroup();
    Given.Replica = Read.getReplica();
    Given.Removed = Read.getRemoved();
    for (const auto Text : Read.getMembers())
      if (const auto Member = parseReplicaAddress(toString(Text)))
        Given.Members.push_back(*Member);
    Grant = std::move(Given);
  });
  // The promise is replaced by the next call, so that does not happen in it.
  Call =
      Answer
          .exclusiveJoin(Loop.delay(AnswerLimit).then([this] { askAgain(""); }))
          .catch_([this](kj::Exception &&) { askAgain(""); })
          .eagerlyEvaluate(nullptr);
}

} // namespace acacianotch
