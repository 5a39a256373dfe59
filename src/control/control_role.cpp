/// \file Set-up of a control process.
#include "control/control_role.h"

#include "control/control_relay.h"
#include "control/control_service.h"
#include "control/group_join.h"
#include "control/group_leaver.h"
#include "control/group_rejoiner.h"
#include "control/membership_manager.h"
#include "control/rollout_manager.h"
#include "core/log_func.h"
#include "node/admin_server.h"
#include "node/loop_monitor.h"
#include "node/role_func.h"
#include "node/shutdown.h"
#include "platform/instance_poller.h"
#include "platform/operator_api.h"

#include <xxhash.h>

#include <csignal>
#include <optional>
#include <random>

namespace acacianotch {

namespace {

auto hostOptions(const settings &Settings) -> replica_host_options {
  const auto &Control = Settings.Control;
  replica_host_options Options;
  Options.DataFolder = Control.DataFolder.string();
  Options.Timing = {Control.Heartbeat, Control.ElectionTimeoutMin,
                    Control.ElectionTimeoutMax, Control.Lease};
  Options.SnapshotEvery = Control.SnapshotEvery;
  Options.Seed = std::random_device{}();
  Options.Rpc = rpcOptions(Settings);
  Options.setInitialAddresses(Control.Peers);
  return Options;
}

auto configuredMembers(const settings &Settings) -> membership {
  membership Members;
  for (const auto &Peer : Settings.Control.Peers) {
    Members.Members.push_back({replica_id{Peer.Id}, true, Peer.Address.text()});
    Members.NextId = std::max(Members.NextId, Peer.Id + 1);
  }
  return Members;
}

/// \return the settings of a self-forming group, whose first members are the
/// seeds.
auto withSeedMembers(const settings &Settings) -> settings {
  auto Formed = Settings;
  Formed.Control.Peers = seedMembers(Settings);
  for (const auto &Peer : Formed.Control.Peers)
    if (Peer.Address == Settings.Rpc.Listen)
      Formed.Control.ReplicaId = Peer.Id;
  return Formed;
}

auto groupId(const settings &Settings) -> std::uint64_t {
  std::string Text;
  for (const auto &Peer : Settings.Control.Peers)
    Text += Peer.text() + "\n";
  return XXH3_64bits(Text.data(), Text.size());
}

auto updateMetrics(control_service &Service, metrics_registry &Metrics)
    -> void {
  const auto &Node = Service.replica().node();
  Metrics.gauge(metric::leader).Set(Node.role() == raft_role::leader ? 1 : 0);
  Metrics.gauge(metric::voters)
      .Set(static_cast<double>(Node.members().voterCount()));
  Metrics.gauge(metric::epoch).Set(static_cast<double>(Node.term()));
  Metrics.gauge(metric::catalogue_revision)
      .Set(static_cast<double>(Service.state().currentRevision()));
  Metrics.gauge(metric::evacuated_zones)
      .Set(static_cast<double>(
          countEvacuated(Service.state().data().Evacuations)));
}

/// Counts commands and the time that proposals wait in \p Metrics, which
/// outlives the service's commands.
auto observeCommands(control_service &Service, metrics_registry &Metrics)
    -> void {
  Service.OnApplied = [&Metrics](std::string_view Name) {
    Metrics.counter(metric::commits, {{"command", std::string(Name)}})
        .Increment();
  };
  Service.OnProposalDone = [&Histogram = Metrics.histogram(
                                metric::commit_seconds, {})](duration Waited) {
    Histogram.Observe(std::chrono::duration<double>(Waited).count());
  };
}

} // namespace

auto initialiseControl(const settings &Settings) -> result<void> {
  return initialiseReplica(
      Settings.Control.DataFolder.string(), groupId(Settings),
      replica_id{Settings.Control.ReplicaId}, configuredMembers(Settings));
}

auto joinControl(const settings &Settings, std::uint64_t ReplicaId)
    -> result<void> {
  return initialiseReplica(Settings.Control.DataFolder.string(),
                           groupId(Settings), replica_id{ReplicaId}, {});
}

namespace {

/// Writes an identity into an empty data folder: that of a seed of a new group,
/// or one that the existing group grants.
auto obtainIdentity(event_loop &Loop, const settings &Settings,
                    replica_host_options &Options, const bool &Stopped)
    -> result<void> {
  const auto Stored = storedReplicaId(Options.DataFolder);
  if (!Stored)
    return Stored.error();
  if (*Stored)
    return {};
  if (formsGroup(Settings)) {
    logInfo(log_category::replication, "forming a new group");
    return initialiseControl(withSeedMembers(Settings));
  }
  logInfo(log_category::replication, "requesting membership of the group");
  group_joiner Joiner(Loop, seedAddresses(Settings), Settings.Rpc.Listen, {},
                      rpcOptions(Settings));
  const auto Grant = Joiner.wait(Stopped);
  if (!Grant)
    return failure::of(errc::shutting_down);
  Options.setInitialAddresses(Grant->Members);
  logInfo(log_category::replication, "membership granted",
          {{"replica", Grant->Replica}, {"members", Grant->Members.size()}});
  return initialiseReplica(Options.DataFolder, Grant->Group,
                           replica_id{Grant->Replica}, {});
}

} // namespace

auto runControl(const settings &Settings) -> result<void> {
  if (Settings.Control.DataFolder.empty())
    return runControlRelay(Settings);
  auto Loop = event_loop::create();
  if (!Loop)
    return Loop.error();
  auto Options = hostOptions(Settings);
  const auto SelfForming = !Settings.Control.Seeds.empty();
  bool Stopped = false;
  if (SelfForming) {
    (*Loop)->onSignal(SIGTERM, [&] { Stopped = true; });
    if (auto Obtained = obtainIdentity(**Loop, Settings, Options, Stopped);
        !Obtained)
      return Stopped ? result<void>() : Obtained;
  }
  auto Opened = control_service::open(**Loop, Options);
  if (!Opened)
    return Opened.error();
  auto &Service = **Opened;
  Service.Zones = Settings.Control.Zones;
  std::optional<membership_manager> MembershipManager;
  std::optional<group_rejoiner> Rejoiner;
  std::optional<group_leaver> Leaver;
  if (SelfForming) {
    Rejoiner.emplace(**Loop, Service, Settings);
    MembershipManager.emplace(
        **Loop, Service, 2 * Settings.Control.ToleratedLosses + 1,
        silence_limits::create(Settings.Control.ElectionTimeoutMax));
    Leaver.emplace(**Loop, Service, *MembershipManager, Settings);
    Service.OnJoin = [&](const std::string &Address, std::uint64_t Token,
                         const membership_request &Request) {
      return MembershipManager->join(Address, Token, Request);
    };
  }
  const rollout_manager RolloutManager(**Loop, Service,
                                       Settings.Gateway.ExposureShare);
  std::optional<platform::instance_poller> Poller;
  if (Settings.Gateway.Backends.valid()) {
    Poller.emplace(**Loop, Settings.Gateway.Backends,
                   Settings.Gateway.BackendInterval,
                   [&](std::vector<backend_record> Listed) {
                     Service.nodeSubscriptions().setBackends(std::move(Listed));
                   });
    Poller->start([&] { return Service.confirmedEpoch().has_value(); });
  }
  std::unique_ptr<platform::operator_api> OperatorServer;
  if (Settings.Control.OperatorListen.valid()) {
    auto Created = platform::operator_api::create(
        **Loop, Settings.Control.OperatorListen, Settings.Node, Service);
    if (!Created)
      return Created.error();
    OperatorServer = std::move(Created).value();
  }
  const auto Rpc =
      rpc_server::create(**Loop, Settings.Rpc.Listen, controlInterface(Service),
                         rpcOptions(Settings));
  if (!Rpc)
    return Rpc.error();
  admin_callbacks Callbacks;
  Callbacks.Ready = [&]() -> result<void> {
    if (Service.replica().node().failed())
      return failure::of(errc::storage_failed);
    if (Service.replica().leaderAddress().empty())
      return failure::of(errc::not_ready, "no leader is known");
    return {};
  };
  Callbacks.Query = [&](std::string_view What, const json &Arguments) {
    return Service.query(What, Arguments);
  };
  Callbacks.UpdateMetrics = [&](metrics_registry &Metrics) {
    updateMetrics(Service, Metrics);
  };
  const auto Admin = admin_server::create(**Loop, Settings.Node, Settings.Admin,
                                          rpcOptions(Settings), Callbacks);
  if (!Admin)
    return Admin.error();
  if (OperatorServer)
    (*Admin)->countDropped(OperatorServer->server(), "operators");
  observeCommands(Service, (*Admin)->metrics());
  if (MembershipManager)
    MembershipManager->OnChange = [&](std::string_view Action) {
      (*Admin)
          ->metrics()
          .counter(metric::membership_changes,
                   {{"action", std::string(Action)}})
          .Increment();
    };
  const graceful_shutdown Shutdown(
      **Loop, Settings.ShutdownDeadline,
      [&] {
        Rejoiner.reset();
        if (Leaver)
          Leaver->start();
      },
      [&] { return !Leaver || Leaver->done(); });
  const loop_monitor Monitor(**Loop);
  Service.start();
  (*Loop)->run();
  return {};
}

} // namespace acacianotch
