/// \file Joining a group through seed addresses.
#include "control/group_join.h"

#include "core/log_func.h"
#include "net/kj_func.h"

#include <acacianotch.capnp.h>

#include <algorithm>
#include <random>
#include <utility>

namespace acacianotch {

namespace {

/// Pause between two attempts. A group without a leader cannot grant membership
/// before an election timeout has elapsed.
constexpr duration RetryDelay = std::chrono::milliseconds(150);
/// A reachable replica answers within a few round trips.
constexpr duration AnswerTimeout = std::chrono::milliseconds(600);

auto randomToken() -> std::uint64_t {
  std::random_device Random;
  return (std::uint64_t{Random()} << 32U) | Random();
}

} // namespace

auto seedAddresses(const settings &Settings) -> std::vector<address> {
  auto Seeds = Settings.Control.Seeds;
  for (auto &Seed : Seeds)
    if (Settings.Control.RpcPort != 0)
      Seed.Port = static_cast<std::uint16_t>(Settings.Control.RpcPort);
  std::sort(Seeds.begin(), Seeds.end());
  return Seeds;
}

auto groupAddresses(const settings &Settings, const membership &Members)
    -> std::vector<address> {
  auto Addresses = seedAddresses(Settings);
  for (const auto &Member : Members.Members) {
    const auto Address = parseAddress(Member.Address);
    if (Address && std::find(Addresses.begin(), Addresses.end(), *Address) ==
                       Addresses.end())
      Addresses.push_back(*Address);
  }
  return Addresses;
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
                           address TheOwnAddress, membership_request TheRequest,
                           const rpc_options &TheRpc)
    : Loop(TheLoop), Seeds(std::move(TheSeeds)),
      OwnAddress(std::move(TheOwnAddress)), Token(randomToken()),
      Request(TheRequest), Rpc(TheRpc),
      Timer(TheLoop.oneShot([this] { sendRequest(); })) {
  Timer->start(duration::zero());
}

auto group_joiner::wait(const bool &Stopped) -> std::optional<join_grant> {
  while (!Grant && !Stopped)
    Loop.turn();
  return takeGrant();
}

auto group_joiner::takeGrant() -> std::optional<join_grant> {
  return std::exchange(Grant, std::nullopt);
}

auto group_joiner::setLeader(const std::string &LeaderText) -> void {
  Leader.reset();
  if (const auto Address = parseAddress(LeaderText);
      Address && *Address != OwnAddress)
    Leader = *Address;
}

auto group_joiner::scheduleRetry(const std::string &LeaderText) -> void {
  setLeader(LeaderText);
  Timer->start(RetryDelay);
}

auto group_joiner::sendRequest() -> void {
  const auto Target = Leader ? *Leader : Seeds[NextSeed++ % Seeds.size()];
  if (Target == OwnAddress)
    return scheduleRetry("");
  auto &Peer = Peers[Target];
  if (Peer == nullptr)
    Peer = std::make_unique<rpc_peer>(Loop, Target, Rpc);
  auto Client = Peer->as<wire::Control>();
  if (!Client)
    return scheduleRetry("");
  auto Message = Client->joinRequest();
  Message.setAddress(OwnAddress.text().c_str());
  Message.setToken(Token);
  Message.setReplica(Request.Replica);
  Message.setLeaving(Request.Leaving);
  auto Answer =
      Message.send().then([this, &Connection = *Peer](auto &&Response) {
        Connection.confirm();
        const auto Reply = Response.getGrant();
        if (Reply.getError() != 0)
          return scheduleRetry(toString(Reply.getLeader()));
        join_grant Granted;
        Granted.Group = Reply.getGroup();
        Granted.Replica = Reply.getReplica();
        Granted.Removed = Reply.getRemoved();
        for (const auto Text : Reply.getMembers())
          if (const auto Member = parseReplicaAddress(toString(Text)))
            Granted.Members.push_back(*Member);
        Grant = std::move(Granted);
      });
  // The next call destroys this promise, so its continuations retry through the
  // timer.
  Call = Answer
             .exclusiveJoin(
                 Loop.delay(AnswerTimeout).then([this] { scheduleRetry(""); }))
             .catch_([this](kj::Exception &&) { scheduleRetry(""); })
             .eagerlyEvaluate(nullptr);
}

} // namespace acacianotch
