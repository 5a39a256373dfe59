/// \file The stream of catalogue updates from control to a node.
#pragma once

#include "catalogue/catalogue_view.h"
#include "core/id_type.h"
#include "node/backend_list.h"
#include "node/leader_client.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace acacianotch {

/// What a node tells control about itself.
struct node_facts {
  node_id Id;
  std::string Role;
  std::string Zone;
  std::string Backend; ///< Agents only.
};

/// Keeps one subscription to any control VM and applies its updates to the
/// node's view. The owner of the client and the view outlives the link.
class node_link {
public:
  node_link(event_loop &Loop, leader_client &Client, catalogue_view &View,
            node_facts Facts);
  ~node_link();
  node_link(const node_link &) = delete;
  auto operator=(const node_link &) -> node_link & = delete;

  /// Starts to subscribe, and subscribes again whenever a stream ends.
  auto start() -> void;

  /// Runs \p Callback after each update that changed the view.
  auto onChange(std::function<void()> Callback) -> void;

  /// Runs for each update with the time since the leader read the platform's
  /// list, and with the whole list if it has changed.
  std::function<void(duration Age, const std::vector<backend_record> *Listed)>
      OnBackends;

  /// \return the RPC address of the leader while it sends updates.
  [[nodiscard]] auto leader() const -> std::optional<address>;

  /// \return the leader while it sends updates, or null.
  [[nodiscard]] auto leaderPeer() const -> rpc_peer *;

  /// Whether the node follows the members that control names. Off where the
  /// settings name other addresses, such as relays, on purpose.
  bool FollowMembers = false;

  /// \return the load that acknowledgements carry; agents set it.
  std::function<void(wire::LoadReport::Builder)> FillLoad;

private:
  class sink;

  auto subscribe() -> void;
  auto subscribeAgain() -> void;
  auto takeHint(const std::string &Leader, const std::vector<address> &Members)
      -> void;
  auto handle(const node_update &Update, const std::vector<address> &Members)
      -> void;
  auto handleBackends(wire::BackendList::Reader Backends) -> void;
  auto checkSilence() -> void;

  event_loop &Loop;
  leader_client &Client;
  catalogue_view &View;
  node_facts Facts;
  std::function<void()> Changed;
  std::size_t Peer = 0;       ///< Position of the peer to try next.
  rpc_peer *Chosen = nullptr; ///< Peer of the current subscription.
  bool Heard = false;         ///< The current subscription has sent an update.
  /// Counts subscriptions; shared with sinks, which can outlive the link.
  std::shared_ptr<std::uint64_t> Generation =
      std::make_shared<std::uint64_t>(0);
  time_point AckedAt{}; ///< When the last acknowledgement was sent.
  time_point HeardAt{};
  std::map<std::string, backend_record> Listed; ///< By id, as control sent it.
  bool ListChanged = false; ///< Since OnBackends had the list.
  kj::Maybe<kj::Promise<void>> Subscription;
  std::unique_ptr<loop_timer> Retry;
  std::unique_ptr<loop_timer> Watchdog;
};

} // namespace acacianotch
