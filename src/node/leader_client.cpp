/// \file Client of the control group that sends commands to its leader.
#include "node/leader_client.h"

#include "core/log_func.h"
#include "net/kj_func.h"

#include <algorithm>

namespace acacianotch {

namespace {

constexpr duration RetryDelay = std::chrono::milliseconds(25);
constexpr duration AttemptTimeout = std::chrono::milliseconds(1000);

auto readOutcome(wire::CommandOutcome::Reader Outcome) -> command_result {
  command_result Result;
  Result.Code = errcFromWire(Outcome.getError());
  Result.Detail = toString(Outcome.getDetail());
  Result.Revision = revision{Outcome.getRevision()};
  const auto Payload = Outcome.getPayload();
  if (Payload.size() > 0)
    Result.Payload =
        json::from_cbor(Payload.begin(), Payload.end(), true, false);
  return Result;
}

} // namespace

struct leader_client::call {
  std::string Bytes;
  time_point Deadline;
  std::string LastError;
};

leader_client::leader_client(event_loop &TheLoop,
                             const std::vector<address> &Addresses,
                             const rpc_options &TheOptions)
    : Loop(TheLoop), Configured(Addresses), Options(TheOptions) {
  for (const auto &Address : Addresses)
    Peers.push_back(std::make_unique<rpc_peer>(Loop, Address, Options));
}

auto leader_client::replacePeers(const std::vector<address> &Members) -> void {
  const auto Known = [&](const address &Address) {
    return std::any_of(Peers.begin(), Peers.end(), [&](const auto &Peer) {
      return Peer->peerAddress() == Address;
    });
  };
  const auto Unchanged = Members.size() == Peers.size() &&
                         std::all_of(Members.begin(), Members.end(), Known);
  if (Members.empty() || Unchanged)
    return;
  auto Old = std::exchange(Peers, {});
  for (const auto &Address : Members) {
    const auto Found = std::find_if(Old.begin(), Old.end(), [&](auto &Peer) {
      return Peer != nullptr && Peer->peerAddress() == Address;
    });
    if (Found != Old.end())
      Peers.push_back(std::move(*Found));
    else
      Peers.push_back(std::make_unique<rpc_peer>(Loop, Address, Options));
  }
  for (auto &Peer : Old)
    if (Peer != nullptr)
      Retired.push_back(std::move(Peer));
  CurrentPeer = 0;
  logInfo(log_category::catalogue, "members of the control group changed",
          {{"members", Peers.size()}});
}

auto leader_client::addPeer(const address &Address) -> std::size_t {
  for (std::size_t Index = 0; Index < Peers.size(); ++Index)
    if (Peers[Index]->peerAddress() == Address)
      return Index;
  Peers.push_back(std::make_unique<rpc_peer>(Loop, Address, Options));
  return Peers.size() - 1;
}

auto leader_client::addConfiguredPeers() -> void {
  for (const auto &Address : Configured)
    addPeer(Address);
}

auto leader_client::execute(const command &Command, duration Timeout)
    -> kj::Promise<command_result> {
  auto Call = std::make_shared<call>();
  Call->Bytes = encodeCommand(Command);
  Call->Deadline = steady_clock::now() + Timeout;
  return attempt(std::move(Call));
}

auto leader_client::retry(std::shared_ptr<call> Call)
    -> kj::Promise<command_result> {
  CurrentPeer = (CurrentPeer + 1) % Peers.size();
  if (steady_clock::now() >= Call->Deadline)
    return command_result::of(errc::no_quorum, Call->LastError);
  return Loop.delay(RetryDelay).then([this, Call = std::move(Call)]() mutable {
    return attempt(std::move(Call));
  });
}

auto leader_client::switchToLeader(std::string_view Address) -> void {
  if (const auto Leader = parseAddress(Address))
    CurrentPeer = addPeer(*Leader);
}

// Each attempt has its own timeout, so that a leader that accepts a command but
// cannot commit it does not block the caller.
auto leader_client::attempt(std::shared_ptr<call> Call)
    -> kj::Promise<command_result> {
  auto &Peer = *Peers[CurrentPeer];
  auto Client = Peer.as<wire::Control>();
  if (!Client) {
    Call->LastError = Client.error().text();
    return retry(std::move(Call));
  }
  auto Request = Client->executeRequest();
  Request.setCommand(toBytes(Call->Bytes));
  const auto Remaining = Call->Deadline - steady_clock::now();
  auto Answer = Request.send().then([&Peer](auto &&Response) {
    Peer.confirm();
    auto Outcome = Response.getOutcome();
    return std::pair{readOutcome(Outcome), toString(Outcome.getLeader())};
  });
  auto Timeout =
      Loop.delay(std::min<duration>(Remaining, AttemptTimeout))
          .then([]() -> std::pair<command_result, std::string> {
            return {command_result::of(errc::no_quorum, "no answer"), ""};
          });
  return Answer.exclusiveJoin(kj::mv(Timeout))
      .then(
          [this, Call](auto &&Pair) mutable -> kj::Promise<command_result> {
            auto &[Result, Leader] = Pair;
            const auto Retryable = Result.Code == errc::not_leader ||
                                   Result.Code == errc::no_quorum ||
                                   Result.Code == errc::not_ready;
            if (!Retryable)
              return std::move(Result);
            Call->LastError = Result.Detail;
            auto Next = retry(std::move(Call));
            switchToLeader(Leader);
            return Next;
          },
          [this, Call](kj::Exception &&Exception) mutable
          -> kj::Promise<command_result> {
            Call->LastError = failureFrom(Exception).text();
            return retry(std::move(Call));
          });
}

} // namespace acacianotch
