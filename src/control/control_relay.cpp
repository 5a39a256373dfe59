/// \file Control role on a VM without a disk: refers clients to the leader.
#include "control/control_relay.h"

#include "catalogue/catalogue_view.h"
#include "control/group_join.h"
#include "core/log_func.h"
#include "node/admin_server.h"
#include "node/log_query.h"
#include "node/loop_monitor.h"
#include "node/node_link.h"
#include "node/role_func.h"
#include "node/shutdown.h"
#include "platform/operator_redirect.h"

#include <acacianotch.capnp.h>

namespace acacianotch {

namespace {

/// Answers replicas and nodes that use this process as a seed with the leader's
/// address.
class relay_server final : public wire::Control::Server {
public:
  explicit relay_server(const node_link &TheLink) : Link(TheLink) {}

  auto subscribe(SubscribeContext Context) -> kj::Promise<void> override {
    Context.getResults().setLeader(leader().c_str());
    return kj::READY_NOW;
  }

  auto execute(ExecuteContext Context) -> kj::Promise<void> override {
    auto Outcome = Context.getResults().initOutcome();
    Outcome.setError(static_cast<std::uint16_t>(errc::not_leader));
    Outcome.setLeader(leader().c_str());
    return kj::READY_NOW;
  }

  auto replicate(ReplicateContext /*Context*/) -> kj::Promise<void> override {
    return kj::READY_NOW;
  }

  auto join(JoinContext Context) -> kj::Promise<void> override {
    auto Grant = Context.getResults().initGrant();
    Grant.setError(static_cast<std::uint16_t>(errc::not_leader));
    Grant.setLeader(leader().c_str());
    return kj::READY_NOW;
  }

private:
  [[nodiscard]] auto leader() const -> std::string {
    const auto Leader = Link.leader();
    return Leader ? Leader->text() : "";
  }

  const node_link &Link;
};

} // namespace

auto runControlRelay(const settings &Settings) -> result<void> {
  auto Loop = event_loop::create();
  if (!Loop)
    return Loop.error();
  catalogue_view View;
  leader_client Control(**Loop, seedAddresses(Settings), rpcOptions(Settings));
  node_link Link(
      **Loop, Control, View,
      {node_id(Settings.Node.Id), "control-relay", Settings.Node.Zone, ""});
  Link.FollowMembers = true;
  std::unique_ptr<platform::operator_redirect> OperatorServer;
  if (Settings.Control.OperatorListen.valid()) {
    auto Created = platform::operator_redirect::create(
        **Loop, Settings.Control.OperatorListen, Settings.Node,
        [&Link] { return Link.leader(); });
    if (!Created)
      return Created.error();
    OperatorServer = std::move(Created).value();
  }
  const auto Rpc =
      rpc_server::create(**Loop, Settings.Rpc.Listen,
                         kj::heap<relay_server>(Link), rpcOptions(Settings));
  if (!Rpc)
    return Rpc.error();
  admin_callbacks Callbacks;
  Callbacks.Ready = [&]() -> result<void> {
    if (!Link.leader())
      return failure::of(errc::not_ready, "no leader is known");
    return {};
  };
  Callbacks.Query = [&](std::string_view What,
                        const json &Arguments) -> result<json> {
    if (What == "log_level")
      return queryLogLevel(Arguments);
    const auto Leader = Link.leader();
    return json{
        {"role", "control-relay"},
        {"leader", Leader ? Leader->text() : ""},
        {"revision", static_cast<std::uint64_t>(View.currentRevision())}};
  };
  const auto Admin = admin_server::create(**Loop, Settings.Node, Settings.Admin,
                                          rpcOptions(Settings), Callbacks);
  if (!Admin)
    return Admin.error();
  if (OperatorServer)
    (*Admin)->countDropped(OperatorServer->server(), "operators");
  const graceful_shutdown Shutdown(
      **Loop, Settings.ShutdownDeadline, [] {}, [] { return true; });
  logInfo(log_category::control,
          "no data folder: running as a relay to the leader");
  const loop_monitor Monitor(**Loop);
  Link.start();
  (*Loop)->run();
  return {};
}

} // namespace acacianotch
