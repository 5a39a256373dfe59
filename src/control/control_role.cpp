/// \file Wiring of the control role.
#include "control/control_role.h"

#include "control/control_service.h"
#include "node/admin_server.h"
#include "node/role_func.h"
#include "node/shutdown.h"

#include <xxhash.h>

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
  for (const auto &Peer : Control.Peers)
    Options.Contacts[replica_id{Peer.Id}] = Peer.Address.text();
  return Options;
}

auto membersOf(const settings &Settings) -> membership {
  membership Members;
  for (const auto &Peer : Settings.Control.Peers) {
    Members.Members.push_back({replica_id{Peer.Id}, true, Peer.Address.text()});
    Members.NextId = std::max(Members.NextId, Peer.Id + 1);
  }
  return Members;
}

auto groupOf(const settings &Settings) -> std::uint64_t {
  std::string Text;
  for (const auto &Peer : Settings.Control.Peers)
    Text += Peer.text() + "\n";
  return XXH3_64bits(Text.data(), Text.size());
}

auto updateMetrics(control_service &Service, metrics_registry &Metrics)
    -> void {
  const auto &Node = Service.replica().node();
  Metrics.gauge(metric::leader).Set(Node.role() == raft_role::leader ? 1 : 0);
  Metrics.gauge(metric::epoch).Set(static_cast<double>(Node.term()));
  Metrics.gauge(metric::catalogue_revision)
      .Set(static_cast<double>(Service.state().currentRevision()));
}

} // namespace

auto initialiseControl(const settings &Settings) -> result<void> {
  return initialiseReplica(
      Settings.Control.DataFolder.string(), groupOf(Settings),
      replica_id{Settings.Control.ReplicaId}, membersOf(Settings));
}

auto joinControl(const settings &Settings, std::uint64_t ReplicaId)
    -> result<void> {
  return initialiseReplica(Settings.Control.DataFolder.string(),
                           groupOf(Settings), replica_id{ReplicaId}, {});
}

auto runControl(const settings &Settings) -> result<void> {
  auto Loop = event_loop::create();
  if (!Loop)
    return Loop.error();
  auto Opened = control_service::open(**Loop, hostOptions(Settings));
  if (!Opened)
    return Opened.error();
  auto &Service = **Opened;
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
  const auto Admin = admin_server::create(**Loop, Settings.Admin,
                                          rpcOptions(Settings), Callbacks);
  if (!Admin)
    return Admin.error();
  const graceful_shutdown Shutdown(
      **Loop, Settings.ShutdownDeadline, [] {}, [] { return true; });
  Service.start();
  (*Loop)->run();
  return {};
}

} // namespace acacianotch
