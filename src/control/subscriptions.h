/// \file Spread of the catalogue to nodes.
#pragma once

#include "catalogue/catalogue_state.h"
#include "net/event_loop.h"
#include "node/backend_list.h"

#include <acacianotch.capnp.h>

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

namespace acacianotch {

/// What control knows about one subscribed node.
struct node_row {
  std::string Id;
  std::string Role;
  std::string Zone;
  std::string Backend;
  std::uint64_t StartedMs = 0;
  revision Acknowledged = revision::none;
  time_point AcknowledgedAt{};
  std::uint32_t Running = 0; ///< Agents only.
  std::uint32_t Queued = 0;  ///< Agents only.
};

/// Pushes changes and confirmations to nodes, one update per node at a time:
/// the next one follows the acknowledgement.
class subscriptions {
public:
  /// Tells the epoch under which this replica may confirm the state, or
  /// nothing; asked right before each update is sent.
  using confirmation = std::function<std::optional<epoch>()>;

  /// \return the RPC addresses of the members of control; told to nodes.
  std::function<std::vector<std::string>()> Members;

  subscriptions(event_loop &Loop, const catalogue_state &State,
                confirmation Confirm);
  ~subscriptions();
  subscriptions(const subscriptions &) = delete;
  auto operator=(const subscriptions &) -> subscriptions & = delete;

  /// Adds a node. \return a promise that ends with the subscription.
  [[nodiscard]] auto add(node_row Facts, revision Held, wire::NodeSink::Client)
      -> kj::Promise<void>;

  /// Takes the platform's list; nodes get it with their next update.
  auto setBackends(std::vector<backend_record> Listed) -> void;

  /// Sends what has changed to every node that is not waiting.
  auto push() -> void;

  /// Ends all subscriptions; nodes then look for the leader.
  auto endAll() -> void;

  /// \return the subscribed nodes.
  [[nodiscard]] auto nodes() const -> std::vector<node_row>;

private:
  struct subscriber;
  using subscriber_list = std::list<std::unique_ptr<subscriber>>;

  auto sendNext(subscriber &Subscriber) -> void;
  auto handleAck(subscriber &Subscriber, wire::NodeAck::Reader Ack) -> void;
  auto end(subscriber &Subscriber) -> void;

  event_loop &Loop;
  const catalogue_state &State;
  confirmation Confirm;
  std::unique_ptr<loop_timer> Timer;
  subscriber_list Subscribers;
  backend_list Backends;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace acacianotch
