/// \file Distribution of the catalogue to subscribed nodes.
#pragma once

#include "catalogue/catalogue_state.h"
#include "net/event_loop.h"
#include "node/backend_list.h"

#include <acacianotch.capnp.h>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace acacianotch {

/// State of one subscribed node.
struct node_status {
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

/// Pushes changes and confirmations to nodes. Each node has at most one
/// unacknowledged update.
class subscriptions {
public:
  /// Returns the epoch under which this replica may confirm the state, or
  /// nothing; called right before each update is sent.
  using epoch_source = std::function<std::optional<epoch>()>;

  /// \return the RPC addresses of the control group's members; sent to nodes
  /// with each update.
  std::function<std::vector<std::string>()> Members;

  subscriptions(event_loop &Loop, const catalogue_state &State,
                epoch_source CurrentEpoch);
  ~subscriptions();
  subscriptions(const subscriptions &) = delete;
  auto operator=(const subscriptions &) -> subscriptions & = delete;

  /// Adds a node. \return a promise that ends with the subscription.
  [[nodiscard]] auto add(node_status NewNode, revision HeldRevision,
                         wire::NodeSink::Client) -> kj::Promise<void>;

  /// Replaces the list of backend servers; nodes get the changes with their
  /// next updates.
  auto setBackends(std::vector<backend_record> Listed) -> void;

  [[nodiscard]] auto backends() const -> const backend_list & {
    return Backends;
  }

  /// Sends changes to every node without an unacknowledged update.
  auto push() -> void;

  /// Sends what could not be confirmed before. Call it while the lease is held.
  auto sendUnconfirmed() -> void;

  /// Ends all subscriptions; the nodes then search for the leader.
  auto endAll() -> void;

  /// \return the subscribed nodes.
  [[nodiscard]] auto nodes() const -> std::vector<node_status>;

private:
  struct subscriber;
  using subscriber_list = std::list<std::unique_ptr<subscriber>>;
  using update_list = std::shared_ptr<const std::vector<node_update>>;

  /// \return the updates from \p Base, encoded once for all nodes that hold it.
  [[nodiscard]] auto updatesSince(revision Base) -> update_list;
  /// \return the size of the payload sent.
  auto sendNext(subscriber &Subscriber) -> std::size_t;
  auto handleAck(subscriber &Subscriber, wire::NodeAck::Reader Ack) -> void;
  auto end(subscriber &Subscriber) -> void;

  event_loop &Loop;
  const catalogue_state &State;
  epoch_source CurrentEpoch;
  std::unique_ptr<loop_timer> Timer;
  subscriber_list Subscribers;
  std::map<revision, update_list> Updates; ///< By base, to revision UpdatesOf.
  revision UpdatesOf = revision::none;
  bool Unconfirmed = false; ///< An update waits for the lease.
  backend_list Backends;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace acacianotch
