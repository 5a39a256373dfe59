/// \file Distribution of the catalogue to subscribed nodes.
#include "control/subscriptions.h"

#include "core/log_func.h"
#include "net/kj_func.h"

#include <utility>

namespace acacianotch {

namespace {

/// Limit of changes to the list of backend servers in one update, about 20 KB,
/// so that a long list does not delay changes of the catalogue.
constexpr std::size_t MaxBackendChanges = 256;
/// Payload sent to nodes in one turn of the event loop, which also renews the
/// leader lease.
constexpr std::size_t MaxBytesPerTurn = 256U << 10U;
constexpr duration ConfirmInterval = std::chrono::milliseconds(500);

auto fill(wire::NodeUpdate::Builder Out, const node_update &Update, epoch Epoch)
    -> void {
  Out.setEpoch(static_cast<std::uint64_t>(Epoch));
  Out.setBaseRevision(static_cast<std::uint64_t>(Update.Base));
  Out.setRevision(static_cast<std::uint64_t>(Update.Revision));
  Out.setChunk(Update.Chunk);
  Out.setChunks(Update.Chunks);
  // A chunk holds only a part of a state, so only the last one confirms it.
  Out.setConfirmed(Update.Chunks == 0 || Update.Chunk + 1 == Update.Chunks);
  Out.setPayload(toBytes(Update.Payload));
}

} // namespace

struct subscriptions::subscriber {
  subscriber(node_status NewNode, wire::NodeSink::Client TheSink)
      : Node(std::move(NewNode)), Sink(kj::mv(TheSink)) {}

  node_status Node;
  wire::NodeSink::Client Sink;
  update_list Queue;              ///< Updates in progress.
  std::size_t NextUpdate = 0;     ///< Position in Queue.
  std::uint64_t SentBackends = 0; ///< Number of the last list change sent.
  bool Waiting = false;           ///< For an acknowledgement.
  time_point SentAt{};            ///< Of the update without one.
  std::size_t SentBytes = 0;      ///< Size of its payload.
  bool Ended = false;
  kj::Own<kj::PromiseFulfiller<void>> Done;
  kj::Maybe<kj::Promise<void>> Call;
};

subscriptions::subscriptions(event_loop &TheLoop,
                             const catalogue_state &TheState,
                             epoch_source TheCurrentEpoch)
    : Loop(TheLoop), State(TheState), CurrentEpoch(std::move(TheCurrentEpoch)),
      Timer(TheLoop.repeating([this] { push(); })) {
  Timer->start(ConfirmInterval);
}

subscriptions::~subscriptions() { *Alive = false; }

auto subscriptions::add(node_status NewNode, revision HeldRevision,
                        wire::NodeSink::Client Sink) -> kj::Promise<void> {
  NewNode.Acknowledged = HeldRevision;
  NewNode.AcknowledgedAt = steady_clock::now();
  Subscribers.push_back(
      std::make_unique<subscriber>(std::move(NewNode), kj::mv(Sink)));
  auto &Added = *Subscribers.back();
  auto Pair = kj::newPromiseAndFulfiller<void>();
  Added.Done = kj::mv(Pair.fulfiller);
  sendNext(Added);
  return Pair.promise.attach(kj::defer([this, Guard = Alive, &Added] {
    if (*Guard)
      end(Added);
  }));
}

auto subscriptions::setBackends(std::vector<backend_record> Listed) -> void {
  if (Backends.replaceRows(std::move(Listed), steady_clock::now()))
    push();
}

auto subscriptions::push() -> void {
  std::size_t Bytes = 0;
  for (auto &Subscriber : Subscribers) {
    Bytes += sendNext(*Subscriber);
    if (Bytes < MaxBytesPerTurn)
      continue;
    // Subscribers that wait for an acknowledgement are passed over then.
    return Loop.defer([this, Guard = Alive] {
      if (*Guard)
        push();
    });
  }
}

auto subscriptions::sendUnconfirmed() -> void {
  if (std::exchange(Unconfirmed, false))
    push();
}

auto subscriptions::endAll() -> void {
  for (auto &Subscriber : Subscribers)
    if (!Subscriber->Ended)
      Subscriber->Done->fulfill();
}

auto subscriptions::nodes() const -> std::vector<node_status> {
  std::vector<node_status> Rows;
  for (const auto &Subscriber : Subscribers)
    Rows.push_back(Subscriber->Node);
  return Rows;
}

auto subscriptions::updatesSince(revision Base) -> update_list {
  if (UpdatesOf != State.currentRevision())
    Updates.clear();
  UpdatesOf = State.currentRevision();
  auto &List = Updates[Base];
  if (List == nullptr)
    List = std::make_shared<const std::vector<node_update>>(
        State.updatesSince(Base));
  return List;
}

auto subscriptions::sendNext(subscriber &Subscriber) -> std::size_t {
  if (Subscriber.Waiting || Subscriber.Ended)
    return 0;
  const auto Epoch = CurrentEpoch();
  if (!Epoch) {
    Unconfirmed = true;
    return 0;
  }
  auto &Queue = Subscriber.Queue;
  if (Queue == nullptr || Subscriber.NextUpdate >= Queue->size()) {
    Queue = updatesSince(Subscriber.Node.Acknowledged);
    Subscriber.NextUpdate = 0;
  }
  if (Queue->empty())
    return 0;
  const auto &Update = (*Queue)[Subscriber.NextUpdate++];
  auto Request = Subscriber.Sink.updateRequest();
  auto Body = Request.initUpdate();
  fill(Body, Update, *Epoch);
  if (Members) {
    const auto Addresses = Members();
    auto List = Body.initControl(static_cast<unsigned>(Addresses.size()));
    for (unsigned Index = 0; Index < List.size(); ++Index)
      List.set(Index, Addresses[Index].c_str());
  }
  if (Backends.number() != 0)
    writeBackends(
        Body.initBackends(),
        Backends.changesAfter(Subscriber.SentBackends, MaxBackendChanges),
        steady_clock::now() - Backends.readAt());
  Subscriber.Waiting = true;
  Subscriber.SentAt = steady_clock::now();
  Subscriber.SentBytes = Update.Payload.size();
  Subscriber.Call = Request.send()
                        .then(
                            [this, &Subscriber](auto &&Response) {
                              handleAck(Subscriber, Response.getAck());
                            },
                            [&Subscriber](kj::Exception &&) {
                              if (!Subscriber.Ended)
                                Subscriber.Done->fulfill();
                            })
                        .eagerlyEvaluate(nullptr);
  return Update.Payload.size();
}

auto subscriptions::handleAck(subscriber &Subscriber, wire::NodeAck::Reader Ack)
    -> void {
  Subscriber.Waiting = false;
  auto &Node = Subscriber.Node;
  Node.Acknowledged = revision{Ack.getRevision()};
  Node.AcknowledgedAt = steady_clock::now();
  Node.Running = Ack.getLoad().getRunning();
  Node.Queued = Ack.getLoad().getQueued();
  if (Subscriber.SentBytes != 0)
    logInfo(log_category::catalogue, "a node acknowledged an update",
            {{"node", Node.Id},
             {"revision", Ack.getRevision()},
             {"current", static_cast<std::uint64_t>(State.currentRevision())},
             {"bytes", Subscriber.SentBytes},
             {"chunks_left", Subscriber.Queue->size() - Subscriber.NextUpdate},
             {"ms", (Node.AcknowledgedAt - Subscriber.SentAt) /
                        std::chrono::milliseconds(1)}});
  const auto Behind = Node.Acknowledged != State.currentRevision() ||
                      Subscriber.SentBackends != Backends.number();
  if (!Behind)
    return;
  // sendNext() replaces the promise whose continuation runs here, so it is
  // deferred.
  Loop.defer([this, Guard = Alive, &Subscriber] {
    if (*Guard && !Subscriber.Ended)
      sendNext(Subscriber);
  });
}

// Runs while the promise of the subscription is being destroyed, so the
// subscriber is removed later.
auto subscriptions::end(subscriber &Subscriber) -> void {
  Subscriber.Ended = true;
  Loop.defer([this, Guard = Alive, &Subscriber] {
    if (*Guard)
      Subscribers.remove_if(
          [&](const auto &Row) { return Row.get() == &Subscriber; });
  });
}

} // namespace acacianotch
