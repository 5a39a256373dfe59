/// \file Spread of the catalogue to nodes.
#include "control/subscriptions.h"

#include "core/log_func.h"
#include "net/kj_func.h"

#include <deque>

namespace acacianotch {

namespace {

/// Changes of the platform's list in one update, about 20 KB, so that changes
/// of the catalogue are not held up behind a long list.
constexpr std::size_t MaxBackendChanges = 256;
constexpr duration ConfirmInterval = std::chrono::milliseconds(500);

auto fill(wire::NodeUpdate::Builder Out, const node_update &Update) -> void {
  Out.setEpoch(static_cast<std::uint64_t>(Update.Epoch));
  Out.setBaseRevision(static_cast<std::uint64_t>(Update.Base));
  Out.setRevision(static_cast<std::uint64_t>(Update.Revision));
  Out.setChunk(Update.Chunk);
  Out.setChunks(Update.Chunks);
  Out.setConfirmed(Update.Confirmed);
  Out.setPayload(toBytes(Update.Payload));
}

} // namespace

struct subscriptions::subscriber {
  subscriber(node_row Facts, wire::NodeSink::Client TheSink)
      : Node(std::move(Facts)), Sink(kj::mv(TheSink)) {}

  node_row Node;
  wire::NodeSink::Client Sink;
  std::deque<node_update> Queue;  ///< Chunks still to send.
  std::uint64_t SentBackends = 0; ///< Last change of the list that was sent.
  bool Waiting = false;           ///< For an acknowledgement.
  bool Ended = false;
  kj::Own<kj::PromiseFulfiller<void>> Done;
  kj::Maybe<kj::Promise<void>> Call;
};

subscriptions::subscriptions(event_loop &TheLoop,
                             const catalogue_state &TheState,
                             confirmation TheConfirm)
    : Loop(TheLoop), State(TheState), Confirm(std::move(TheConfirm)),
      Timer(TheLoop.repeating([this] { push(); })) {
  Timer->start(ConfirmInterval);
}

subscriptions::~subscriptions() { *Alive = false; }

auto subscriptions::add(node_row Facts, revision Held,
                        wire::NodeSink::Client Sink) -> kj::Promise<void> {
  Facts.Acknowledged = Held;
  Facts.AcknowledgedAt = steady_clock::now();
  Subscribers.push_back(
      std::make_unique<subscriber>(std::move(Facts), kj::mv(Sink)));
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
  if (Backends.take(std::move(Listed), steady_clock::now()))
    push();
}

auto subscriptions::push() -> void {
  for (auto &Subscriber : Subscribers)
    sendNext(*Subscriber);
}

auto subscriptions::endAll() -> void {
  for (auto &Subscriber : Subscribers)
    if (!Subscriber->Ended)
      Subscriber->Done->fulfill();
}

auto subscriptions::nodes() const -> std::vector<node_row> {
  std::vector<node_row> Rows;
  for (const auto &Subscriber : Subscribers)
    Rows.push_back(Subscriber->Node);
  return Rows;
}

auto subscriptions::sendNext(subscriber &Subscriber) -> void {
  if (Subscriber.Waiting || Subscriber.Ended)
    return;
  const auto Epoch = Confirm();
  if (!Epoch)
    return;
  auto &Queue = Subscriber.Queue;
  if (Queue.empty())
    for (auto &Update : State.updatesSince(Subscriber.Node.Acknowledged))
      Queue.push_back(std::move(Update));
  if (Queue.empty())
    return;
  auto Update = std::move(Queue.front());
  Queue.pop_front();
  Update.Epoch = *Epoch;
  // A chunk is only a part of a state, so only the last one confirms.
  Update.Confirmed = Update.Chunks == 0 || Update.Chunk + 1 == Update.Chunks;
  auto Request = Subscriber.Sink.updateRequest();
  auto Body = Request.initUpdate();
  fill(Body, Update);
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
}

auto subscriptions::handleAck(subscriber &Subscriber, wire::NodeAck::Reader Ack)
    -> void {
  Subscriber.Waiting = false;
  auto &Node = Subscriber.Node;
  Node.Acknowledged = revision{Ack.getRevision()};
  Node.AcknowledgedAt = steady_clock::now();
  Node.Running = Ack.getLoad().getRunning();
  Node.Queued = Ack.getLoad().getQueued();
  const auto Behind = Node.Acknowledged != State.currentRevision() ||
                      Subscriber.SentBackends != Backends.number();
  if (!Behind)
    return;
  // The promise of this call must not be replaced while it runs.
  Loop.defer([this, Guard = Alive, &Subscriber] {
    if (*Guard && !Subscriber.Ended)
      sendNext(Subscriber);
  });
}

// Runs while the promise of the subscription is destroyed.
auto subscriptions::end(subscriber &Subscriber) -> void {
  Subscriber.Ended = true;
  Loop.defer([this, Guard = Alive, &Subscriber] {
    if (*Guard)
      Subscribers.remove_if(
          [&](const auto &Row) { return Row.get() == &Subscriber; });
  });
}

} // namespace acacianotch
