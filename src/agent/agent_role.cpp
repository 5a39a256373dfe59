/// \file Set-up and main loop of the agent role.
#include "agent/agent_role.h"

#include "agent/agent_service.h"
#include "core/log_func.h"
#include "node/admin_server.h"
#include "node/log_query.h"
#include "node/node_link.h"
#include "node/role_func.h"
#include "node/shutdown.h"

namespace acacianotch {

namespace {

constexpr duration CommandTimeout = std::chrono::seconds(30);

auto queueSettings(const agent_settings &Settings) -> agent_queue_settings {
  agent_queue_settings Queue;
  Queue.Slots = static_cast<std::uint32_t>(Settings.Slots);
  Queue.LongShare = Settings.LongWorkShare;
  Queue.TotalLimit = static_cast<std::uint32_t>(Settings.QueueLimit);
  return Queue;
}

auto streamLimits(const rpc_settings &Settings) -> stream_limits {
  stream_limits Limits;
  Limits.WindowCalls = Settings.WindowCalls;
  Limits.FlushInterval = Settings.Batch;
  return Limits;
}

/// Components of an agent process, connected to each other.
class agent_process {
public:
  agent_process(event_loop &TheLoop, const settings &TheSettings)
      : Loop(TheLoop), Settings(TheSettings),
        Control(TheLoop, TheSettings.Control.Addresses,
                rpcOptions(TheSettings)),
        Link(TheLoop, Control, View,
             {node_id(TheSettings.Node.Id), "agent", TheSettings.Node.Zone,
              TheSettings.Agent.BackendName}),
        State{TheSettings.Agent.BackendName},
        Service(TheLoop, View, State, TheSettings.Agent.BackendAddress,
                queueSettings(TheSettings.Agent),
                streamLimits(TheSettings.Rpc)),
        StartedMs(static_cast<std::uint64_t>(
            std::chrono::system_clock::now().time_since_epoch() /
            std::chrono::milliseconds(1))) {
    Link.FillLoad = [this](auto Load) { Service.fillLoad(Load); };
    Link.onChange([this] { applyCatalogue(); });
    Service.OnCrash = [this](std::vector<fingerprint> Running, bool Isolated) {
      reportCrash(std::move(Running), Isolated);
    };
    Service.OnCleared = [this](fingerprint Cleared) { reportCleared(Cleared); };
  }

  auto start() -> void { Link.start(); }
  auto service() -> agent_service & { return Service; }
  auto stopAccepting() -> void { State.ShuttingDown = true; }
  [[nodiscard]] auto idle() const -> bool { return Service.open() == 0; }

  [[nodiscard]] auto ready() const -> result<void> {
    return nodeReady(View, State.ShuttingDown);
  }

  [[nodiscard]] auto query(std::string_view Name, const json &Arguments)
      -> result<json> {
    if (Name == "log_level")
      return queryLogLevel(Arguments);
    if (Name != "status" && Name != "dump")
      return failure::of(errc::bad_request,
                         "unknown query " + std::string(Name));
    const auto &Counters = Service.counters();
    return json{
        {"role", "agent"},
        {"backend", State.Backend},
        {"revision", static_cast<std::uint64_t>(View.currentRevision())},
        {"epoch", static_cast<std::uint64_t>(View.currentEpoch())},
        {"ready", View.ready()},
        {"fresh", View.fresh(steady_clock::now())},
        {"open", Service.open()},
        {"completed", Counters.Completed},
        {"failed", Counters.Failed},
        {"rejected", Counters.Rejected},
        {"cancelled", Counters.Cancelled}};
  }

private:
  auto applyCatalogue() -> void {
    const auto *Entry = View.find(entry_kind::backend, State.Backend);
    if (Entry == nullptr)
      return;
    const auto &Body = std::get<backend_body>(Entry->Body);
    Service.configure(Body.Slots, Settings.Agent.LongWorkShare);
  }

  auto reportCrash(std::vector<fingerprint> Running, bool Isolated) -> void {
    report_crash Report;
    Report.CrashId = State.Backend + "/" + std::to_string(StartedMs) + "/" +
                     std::to_string(++Crashes);
    Report.Backend = State.Backend;
    Report.Isolated = Isolated;
    Report.Crashed = std::move(Running);
    send(std::move(Report));
  }

  auto reportCleared(fingerprint Cleared) -> void {
    report_crash Report;
    Report.CrashId = State.Backend + "/" + std::to_string(StartedMs) +
                     "/cleared/" + std::to_string(++Crashes);
    Report.Backend = State.Backend;
    Report.Cleared = {Cleared};
    send(std::move(Report));
  }

  auto send(report_crash Report) -> void {
    command Command;
    Command.Issuer = Settings.Node.Id;
    Command.Body = std::move(Report);
    Control.execute(Command, CommandTimeout)
        .then([](const command_result &Result) {
          if (!Result.ok())
            logWarning(log_category::agent, "failed to store a crash report",
                       {{"error", Result.Detail}});
        })
        .detach([](kj::Exception &&) {});
  }

  event_loop &Loop;
  const settings &Settings;
  catalogue_view View;
  leader_client Control;
  node_link Link;
  agent_state State;
  agent_service Service;
  std::uint64_t StartedMs;
  std::uint64_t Crashes = 0;
};

} // namespace

auto runAgent(const settings &Settings) -> result<void> {
  auto Loop = event_loop::create();
  if (!Loop)
    return Loop.error();
  agent_process Process(**Loop, Settings);
  const auto Rpc =
      rpc_server::create(**Loop, Settings.Rpc.Listen,
                         Process.service().client(), rpcOptions(Settings));
  if (!Rpc)
    return Rpc.error();
  admin_callbacks Callbacks;
  Callbacks.Ready = [&] { return Process.ready(); };
  Callbacks.Query = [&](std::string_view Name, const json &Arguments) {
    return Process.query(Name, Arguments);
  };
  const auto Admin = admin_server::create(**Loop, Settings.Node, Settings.Admin,
                                          rpcOptions(Settings), Callbacks);
  if (!Admin)
    return Admin.error();
  const graceful_shutdown Shutdown(
      **Loop, Settings.ShutdownDeadline, [&] { Process.stopAccepting(); },
      [&] { return Process.idle(); });
  Process.start();
  (*Loop)->run();
  return {};
}

} // namespace acacianotch
