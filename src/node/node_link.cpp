/// \file Subscription of a node to the catalogue updates of control.
#include "node/node_link.h"

#include "core/log_func.h"
#include "net/kj_func.h"

#include <chrono>
#include <utility>

namespace acacianotch {

namespace {

constexpr duration RetryDelay = std::chrono::milliseconds(100);
// Control sends an update every 500 ms. After two missed updates the node tries
// another control VM, while the catalogue lease is still valid.
constexpr duration UpdateTimeout = std::chrono::milliseconds(1200);
// The leader answers a subscription with an immediate update.
constexpr duration FirstUpdateTimeout = std::chrono::milliseconds(500);
constexpr duration StallCheckInterval = std::chrono::milliseconds(100);

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

/// Receives the updates of one subscription. Updates of a replaced subscription
/// are rejected.
class node_link::sink final : public wire::NodeSink::Server {
public:
  explicit sink(node_link &TheLink)
      : Link(TheLink), Generation(TheLink.Generation),
        OwnGeneration(*Generation) {}

  auto update(UpdateContext Context) -> kj::Promise<void> override {
    if (OwnGeneration != *Generation)
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
  std::shared_ptr<const std::uint64_t> Generation;
  std::uint64_t OwnGeneration;
};

node_link::node_link(event_loop &TheLoop, leader_client &TheClient,
                     catalogue_view &TheView, node_facts TheFacts)
    : Loop(TheLoop), Client(TheClient), View(TheView),
      Facts(std::move(TheFacts)),
      RetryTimer(TheLoop.oneShot([this] { subscribe(); })),
      Watchdog(TheLoop.repeating([this] { checkStall(); })) {}

// Control can hold a sink beyond the lifetime of the link. Advancing the
// generation keeps the sink from accessing the destroyed link.
node_link::~node_link() {
  ++*Generation;
  Subscription = nullptr;
}

auto node_link::start() -> void {
  Watchdog->start(StallCheckInterval);
  subscribe();
}

auto node_link::onChange(std::function<void()> Callback) -> void {
  ChangeCallback = std::move(Callback);
}

auto node_link::leader() const -> std::optional<address> {
  const auto *Peer = leaderPeer();
  if (Peer == nullptr)
    return std::nullopt;
  return Peer->peerAddress();
}

auto node_link::leaderPeer() const -> rpc_peer * {
  return UpdateReceived && Subscription != nullptr ? SubscribedPeer : nullptr;
}

auto node_link::subscribe() -> void {
  ++*Generation;
  Silence = duration::zero();
  AckedAt = steady_clock::now();
  UpdateReceived = false;
  ++Attempts;
  SubscribedPeer = Client.peers()[NextPeer % Client.peers().size()].get();
  auto Control = SubscribedPeer->as<wire::Control>();
  if (!Control)
    return resubscribe(subscription_end::unreachable);
  auto Request = Control->subscribeRequest();
  auto FactsOut = Request.initFacts();
  FactsOut.setNodeId(Facts.Id.Text.c_str());
  FactsOut.setRole(Facts.Role.c_str());
  FactsOut.setZone(Facts.Zone.c_str());
  FactsOut.setBackend(Facts.Backend.c_str());
  FactsOut.setStartedAt(wallClockMs());
  Request.setRevision(static_cast<std::uint64_t>(View.currentRevision()));
  Request.setEpoch(static_cast<std::uint64_t>(View.currentEpoch()));
  Request.setSink(kj::heap<sink>(*this));
  const auto OnEnded = [this, Generation = Generation,
                        OwnGeneration = *Generation](
                           subscription_end Reason, const std::string &Leader,
                           const std::vector<address> &Members) {
    Loop.defer([this, Generation, OwnGeneration, Reason, Leader, Members] {
      if (*Generation == OwnGeneration)
        handleSubscriptionEnd(Reason, Leader, Members);
    });
  };
  Subscription =
      Request.send()
          .then(
              [OnEnded](auto &&Response) {
                OnEnded(subscription_end::refused,
                        toString(Response.getLeader()), readMembers(Response));
              },
              [OnEnded](kj::Exception &&) {
                OnEnded(subscription_end::lost, "", {});
              })
          .eagerlyEvaluate(nullptr);
}

// A replica that is not the leader may have an outdated list of members, so its
// members are only added to the peers; only the leader's list replaces them.
auto node_link::handleSubscriptionEnd(subscription_end Reason,
                                      const std::string &Leader,
                                      const std::vector<address> &Members)
    -> void {
  const auto *FormerPeer = SubscribedPeer;
  resubscribe(Reason);
  if (!FollowMembers)
    return;
  for (const auto &Member : Members)
    Client.addPeer(Member);
  const auto LeaderAddress = parseAddress(Leader);
  if (LeaderAddress && *LeaderAddress != FormerPeer->peerAddress())
    NextPeer = Client.addPeer(*LeaderAddress);
}

// After a cut, what an old connection carries waits for the kernel's next
// retransmission, whose interval grows with the cut. A new connection gets
// through at once.
auto node_link::resubscribe(subscription_end Reason) -> void {
  ++EndCounts[static_cast<std::size_t>(Reason)];
  logEnd(Reason);
  ++*Generation;
  Subscription = nullptr;
  if (Reason == subscription_end::silent)
    SubscribedPeer->disconnect();
  if (++NextPeer >= Client.peers().size()) {
    NextPeer = 0;
    if (FollowMembers)
      Client.addConfiguredPeers();
  }
  RetryTimer->start(RetryDelay);
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
  Silence = duration::zero();
  if (!std::exchange(UpdateReceived, true))
    logSubscribed();
  Attempts = 0;
  SubscribedPeer->confirm();
  if (FollowMembers)
    Client.replacePeers(Members);
  if (View.currentRevision() == Before)
    return;
  logDebug(log_category::catalogue, "catalogue updated",
           {{"revision", static_cast<std::uint64_t>(View.currentRevision())}});
  if (ChangeCallback)
    ChangeCallback();
}

auto node_link::handleBackends(wire::BackendList::Reader Backends) -> void {
  if (!OnBackends)
    return;
  const duration Age = std::chrono::milliseconds(Backends.getAgeMs());
  auto Changes = readBackends(Backends);
  if (Changes.Whole)
    KnownBackends.clear();
  BackendsChanged = BackendsChanged || Changes.Whole || !Changes.Rows.empty() ||
                    !Changes.Removed.empty();
  for (auto &Row : Changes.Rows)
    KnownBackends[Row.Id] = std::move(Row);
  for (const auto &Id : Changes.Removed)
    KnownBackends.erase(Id);
  // An incomplete list would make known servers look removed.
  if (!Changes.Complete)
    return;
  if (!std::exchange(BackendsChanged, false))
    return OnBackends(Age, nullptr);
  std::vector<backend_record> Rows;
  Rows.reserve(KnownBackends.size());
  for (const auto &[Id, Row] : KnownBackends)
    Rows.push_back(Row);
  OnBackends(Age, &Rows);
}

// The connection to a control VM that is frozen or partitioned stays open, so a
// missing update is the only sign of the failure. A late call counts as one
// interval: what arrived while this process did not run has not been read yet.
auto node_link::checkStall() -> void {
  if (Subscription == nullptr)
    return;
  Silence += StallCheckInterval;
  if (Silence > (UpdateReceived ? UpdateTimeout : FirstUpdateTimeout))
    resubscribe(subscription_end::silent);
}

auto node_link::logSubscribed() const -> void {
  logInfo(log_category::catalogue, "subscribed to updates of control",
          {{"control", SubscribedPeer->peerAddress().text()},
           {"attempts", Attempts},
           {"epoch", static_cast<std::uint64_t>(View.currentEpoch())},
           {"revision", static_cast<std::uint64_t>(View.currentRevision())},
           {"confirmed_ms", View.confirmedMsBefore(steady_clock::now())}});
}

auto node_link::logEnd(subscription_end Reason) const -> void {
  const auto GivenUp = Reason == subscription_end::silent;
  logLine(log_category::catalogue,
          GivenUp ? log_level::warning : log_level::info,
          GivenUp ? "no update from control; subscribing to another replica"
                  : "the subscription to updates of control ended",
          {{"control", SubscribedPeer->peerAddress().text()},
           {"reason", SubscriptionEndNames.name(Reason)},
           {"updated", UpdateReceived},
           {"silent_ms", Silence / std::chrono::milliseconds(1)},
           {"attempts", Attempts},
           {"epoch", static_cast<std::uint64_t>(View.currentEpoch())},
           {"revision", static_cast<std::uint64_t>(View.currentRevision())},
           {"confirmed_ms", View.confirmedMsBefore(steady_clock::now())}});
}

} // namespace acacianotch
