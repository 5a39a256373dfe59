/// \file The stream of catalogue updates from control to a node.
#include "node/node_link.h"

#include "core/log_func.h"
#include "net/kj_func.h"

#include <chrono>
#include <utility>

namespace acacianotch {

namespace {

constexpr duration RetryPause = std::chrono::milliseconds(100);
// Updates come every 500 ms. Two missed ones are enough to try another control
// VM, and that still leaves time before the catalogue lease ends.
constexpr duration SilenceLimit = std::chrono::milliseconds(1200);
// A replica that leads answers a subscription at once.
constexpr duration FirstLimit = std::chrono::milliseconds(500);
constexpr duration WatchInterval = std::chrono::milliseconds(100);

auto wallClockMs() -> std::uint64_t {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Now).count());
}

auto readUpdate(wire::NodeUpdate::Reader Update) -> node_update {
  node_update Result;
  Result.Epoch = epoch{Update.getEpoch()};
  Result.Base = revision{Update.getBaseRevision()};
  Result.Revision = revision{Update.getRevision()};
  Result.Chunk = Update.getChunk();
  Result.Chunks = Update.getChunks();
  Result.Confirmed = Update.getConfirmed();
  Result.Payload = toString(Update.getPayload());
  return Result;
}

/// \return the addresses in the `control` field of a message.
auto readMembers(const auto &Update) -> std::vector<address> {
  std::vector<address> Members;
  for (const auto Text : Update.getControl())
    if (auto Address = parseAddress(toString(Text)))
      Members.push_back(*Address);
  return Members;
}

} // namespace

/// Receives the updates of one subscription; one that has been replaced is
/// ignored.
class node_link::sink final : public wire::NodeSink::Server {
public:
  explicit sink(node_link &TheLink)
      : Link(TheLink), Current(TheLink.Generation), Own(*Current) {}

  auto update(UpdateContext Context) -> kj::Promise<void> override {
    if (Own != *Current)
      return KJ_EXCEPTION(DISCONNECTED, "the subscription was replaced");
    const auto Update = Context.getParams().getUpdate();
    Link.handle(readUpdate(Update), readMembers(Update));
    if (Update.hasBackends())
      Link.handleBackends(Update.getBackends());
    auto Ack = Context.getResults().initAck();
    Ack.setRevision(static_cast<std::uint64_t>(Link.View.currentRevision()));
    Ack.setEpoch(static_cast<std::uint64_t>(Link.View.currentEpoch()));
    if (Link.FillLoad)
      Link.FillLoad(Ack.initLoad());
    Link.AckedAt = steady_clock::now();
    return kj::READY_NOW;
  }

private:
  node_link &Link;
  std::shared_ptr<const std::uint64_t> Current;
  std::uint64_t Own;
};

node_link::node_link(event_loop &TheLoop, leader_client &TheClient,
                     catalogue_view &TheView, node_facts TheFacts)
    : Loop(TheLoop), Client(TheClient), View(TheView),
      Facts(std::move(TheFacts)),
      Retry(TheLoop.oneShot([this] { subscribe(); })),
      Watchdog(TheLoop.repeating([this] { checkSilence(); })) {}

// Sinks that control still holds must not reach a destroyed link.
node_link::~node_link() {
  ++*Generation;
  Subscription = nullptr;
}

auto node_link::start() -> void {
  Watchdog->start(WatchInterval);
  subscribe();
}

auto node_link::onChange(std::function<void()> Callback) -> void {
  Changed = std::move(Callback);
}

auto node_link::leader() const -> std::optional<address> {
  const auto *Peer = leaderPeer();
  if (Peer == nullptr)
    return std::nullopt;
  return Peer->peerAddress();
}

auto node_link::leaderPeer() const -> rpc_peer * {
  return Heard && Subscription != nullptr ? Chosen : nullptr;
}

auto node_link::subscribe() -> void {
  ++*Generation;
  HeardAt = steady_clock::now();
  AckedAt = HeardAt;
  Heard = false;
  Chosen = Client.peers()[Peer % Client.peers().size()].get();
  auto Control = Chosen->as<wire::Control>();
  if (!Control) {
    subscribeAgain();
    return;
  }
  auto Request = Control->subscribeRequest();
  auto Stated = Request.initFacts();
  Stated.setNodeId(Facts.Id.Text.c_str());
  Stated.setRole(Facts.Role.c_str());
  Stated.setZone(Facts.Zone.c_str());
  Stated.setBackend(Facts.Backend.c_str());
  Stated.setStartedAt(wallClockMs());
  Request.setRevision(static_cast<std::uint64_t>(View.currentRevision()));
  Request.setEpoch(static_cast<std::uint64_t>(View.currentEpoch()));
  Request.setSink(kj::heap<sink>(*this));
  const auto Ended = [this, Current = Generation,
                      Own = *Generation](const std::string &Leader,
                                         const std::vector<address> &Members) {
    Loop.defer([this, Current, Own, Leader, Members] {
      if (*Current == Own)
        takeHint(Leader, Members);
    });
  };
  Subscription =
      Request.send()
          .then(
              [Ended](auto &&Response) {
                Ended(toString(Response.getLeader()), readMembers(Response));
              },
              [Ended](kj::Exception &&) { Ended("", {}); })
          .eagerlyEvaluate(nullptr);
}

// A process that does not lead may be out of date, so what it names is added
// to the peers; only the leader's list replaces them.
auto node_link::takeHint(const std::string &Leader,
                         const std::vector<address> &Members) -> void {
  const auto *Asked = Chosen;
  subscribeAgain();
  if (!FollowMembers)
    return;
  for (const auto &Member : Members)
    Client.learn(Member);
  const auto Named = parseAddress(Leader);
  if (Named && *Named != Asked->peerAddress())
    Peer = Client.learn(*Named);
}

auto node_link::subscribeAgain() -> void {
  ++*Generation;
  Subscription = nullptr;
  if (++Peer >= Client.peers().size()) {
    Peer = 0;
    if (FollowMembers)
      Client.learnConfigured();
  }
  Retry->start(RetryPause);
}

auto node_link::handle(const node_update &Update,
                       const std::vector<address> &Members) -> void {
  const auto Before = View.currentRevision();
  const auto Outcome = View.apply(Update, AckedAt);
  if (!Outcome) {
    logWarning(log_category::catalogue, "rejected a catalogue update",
               {{"error", Outcome.error().text()}});
    return;
  }
  if (*Outcome == update_outcome::stale_epoch)
    return;
  HeardAt = steady_clock::now();
  Heard = true;
  Chosen->confirm();
  if (FollowMembers)
    Client.follow(Members);
  if (View.currentRevision() == Before)
    return;
  logDebug(log_category::catalogue, "catalogue updated",
           {{"revision", static_cast<std::uint64_t>(View.currentRevision())}});
  if (Changed)
    Changed();
}

auto node_link::handleBackends(wire::BackendList::Reader Backends) -> void {
  if (!OnBackends)
    return;
  const duration Age = std::chrono::milliseconds(Backends.getAgeMs());
  auto Changes = readBackends(Backends);
  if (Changes.Whole)
    Listed.clear();
  ListChanged = ListChanged || Changes.Whole || !Changes.Rows.empty() ||
                !Changes.Removed.empty();
  for (auto &Row : Changes.Rows)
    Listed[Row.Id] = std::move(Row);
  for (const auto &Id : Changes.Removed)
    Listed.erase(Id);
  // A part of a list names too few servers.
  if (!Changes.Complete)
    return;
  if (!std::exchange(ListChanged, false))
    return OnBackends(Age, nullptr);
  std::vector<backend_record> Rows;
  Rows.reserve(Listed.size());
  for (const auto &[Id, Row] : Listed)
    Rows.push_back(Row);
  OnBackends(Age, &Rows);
}

// A control VM that is frozen or cut off keeps its connection open; silence is
// the only sign of it.
auto node_link::checkSilence() -> void {
  const auto Waiting = Subscription != nullptr;
  const auto Limit = Heard ? SilenceLimit : FirstLimit;
  if (Waiting && steady_clock::now() - HeardAt > Limit) {
    logWarning(log_category::catalogue,
               "no update from control; subscribing to another replica",
               {{"control", Chosen->peerAddress().text()}});
    subscribeAgain();
  }
}

} // namespace acacianotch
