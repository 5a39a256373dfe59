/// \file Subscription of a node to the catalogue updates of control.
#pragma once

#include "catalogue/catalogue_view.h"
#include "core/enum_table.h"
#include "core/id_type.h"
#include "node/backend_list.h"
#include "node/leader_client.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace acacianotch {

/// What a node reports to control when it subscribes.
struct node_facts {
  node_id Id;
  std::string Role;
  std::string Zone;
  std::string Backend; ///< Name of the backend server; agents only.
};

/// Why a subscription ended.
enum class subscription_end : std::uint8_t {
  invalid,
  refused,     ///< The replica does not lead.
  lost,        ///< The connection ended.
  unreachable, ///< No connection could be made.
  silent,      ///< No update arrived in time.
};

/// Names of the reasons in logs and metrics.
inline constexpr enum_table<subscription_end, 4> SubscriptionEndNames{{{
    {subscription_end::refused, "refused"},
    {subscription_end::lost, "lost"},
    {subscription_end::unreachable, "unreachable"},
    {subscription_end::silent, "silent"},
}}};

/// Maintains a subscription to a control VM and applies its updates to the
/// node's view. The client and the view must outlive the link.
class node_link {
public:
  node_link(event_loop &Loop, leader_client &Client, catalogue_view &View,
            node_facts Facts);
  ~node_link();
  node_link(const node_link &) = delete;
  auto operator=(const node_link &) -> node_link & = delete;

  /// Subscribes, and subscribes again whenever the subscription ends or stalls.
  auto start() -> void;

  /// Sets the callback for updates that changed the view.
  auto onChange(std::function<void()> Callback) -> void;

  /// Called for each complete update of the platform's list of backend servers,
  /// with the time since the leader read it, and with all rows if they have
  /// changed, otherwise null.
  std::function<void(duration Age, const std::vector<backend_record> *Listed)>
      OnBackends;

  /// \return the RPC address of the leader while it sends updates.
  [[nodiscard]] auto leader() const -> std::optional<address>;

  /// \return the leader while it sends updates, or null.
  [[nodiscard]] auto leaderPeer() const -> rpc_peer *;

  /// Whether to replace the configured control addresses by the members of the
  /// control group. Off if the settings name other addresses on purpose, such
  /// as relays.
  bool FollowMembers = false;

  /// \return how many subscriptions ended for \p Reason since the start.
  [[nodiscard]] auto endCount(subscription_end Reason) const -> std::uint64_t {
    return EndCounts[static_cast<std::size_t>(Reason)];
  }

  /// Fills in the load report of an acknowledgement; set by agents.
  std::function<void(wire::LoadReport::Builder)> FillLoad;

private:
  class sink;

  auto subscribe() -> void;
  auto resubscribe(subscription_end Reason) -> void;
  auto handleSubscriptionEnd(subscription_end Reason, const std::string &Leader,
                             const std::vector<address> &Members) -> void;
  auto handle(const node_update &Update, const std::vector<address> &Members)
      -> void;
  auto handleBackends(wire::BackendList::Reader Backends) -> void;
  auto checkStall() -> void;
  auto logSubscribed() const -> void;
  auto logEnd(subscription_end Reason) const -> void;

  event_loop &Loop;
  leader_client &Client;
  catalogue_view &View;
  node_facts Facts;
  std::function<void()> ChangeCallback;
  std::size_t NextPeer = 0;           ///< Index of the peer to try next.
  rpc_peer *SubscribedPeer = nullptr; ///< Peer of the current subscription.
  bool UpdateReceived = false;        ///< On the current subscription.
  std::uint64_t Attempts = 0;         ///< Subscriptions since the last update.
  std::array<std::uint64_t, SubscriptionEndNames.Rows.size() + 1> EndCounts{};
  /// Number of subscriptions; shared with sinks, which can outlive the link.
  std::shared_ptr<std::uint64_t> Generation =
      std::make_shared<std::uint64_t>(0);
  time_point AckedAt{}; ///< When the last acknowledgement was sent.
  /// Time since the last subscribe call or update for which this process ran.
  duration Silence{};
  std::map<std::string, backend_record> KnownBackends; ///< By id.
  bool BackendsChanged = false; ///< Since OnBackends was last called with rows.
  kj::Maybe<kj::Promise<void>> Subscription;
  std::unique_ptr<loop_timer> RetryTimer;
  std::unique_ptr<loop_timer> Watchdog;
};

} // namespace acacianotch
