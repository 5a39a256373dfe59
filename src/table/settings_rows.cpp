/// \file The table of settings.
#include "table/settings.h"

#include <algorithm>
#include <array>

namespace acacianotch {

namespace {

/// \return access to a member of one group of settings.
template <auto Group, auto Member> constexpr auto in() -> setting_slot {
  return +[](settings & Settings) -> auto & { return Settings.*Group.*Member; };
}

/// \return access to a member outside any group.
template <auto Member> constexpr auto top() -> setting_slot {
  return +[](settings & Settings) -> auto & { return Settings.*Member; };
}

template <log_category Category> constexpr auto categoryLevel() {
  return setting_slot(+[](settings &Settings) -> log_level & {
    return Settings.Log.Levels[static_cast<std::size_t>(Category)];
  });
}

using all = settings;
using node = node_settings;
using ctl = control_settings;
using rpc = rpc_settings;
using http = http_settings;
using admin = admin_settings;
using agent = agent_settings;
using entry = entry_settings;
using gateway = gateway_settings;
using need = required_for;

constexpr auto NodeRoles = need::entry | need::agent | need::gateway;
constexpr auto SecretRoles = need::entry | need::agent | need::control;
constexpr auto HttpRoles = need::entry | need::gateway;
constexpr auto RpcRoles = need::agent | need::control;
constexpr double MaxPort = 65535;
constexpr double MaxName = 128;
constexpr double MaxPath = 4096;
constexpr std::string_view LevelText =
    "log level of this category; `log.level` if not set";

constexpr std::array Rows{
    setting_row{"role", top<&all::Role>(), "", 0, 0, need::all, "",
                "what this process does"},

    setting_row{"node.id", in<&all::Node, &node::Id>(), "", 1, MaxName,
                need::all, "", "name of this process, unique in a deployment"},
    setting_row{"node.zone", in<&all::Node, &node::Zone>(), "", 1, MaxName,
                need::all, "", "availability zone of this process"},
    setting_row{"node.secret_file", in<&all::Node, &node::SecretFile>(), "", 1,
                MaxPath, SecretRoles, "",
                "file with the cluster secret, the same in all processes"},

    setting_row{"node.memory_mb", in<&all::Node, &node::MemoryMb>(), "0", 0,
                1e9, need::none, "MiB",
                "memory that this process may use; half of it is for what "
                "peers have sent and not yet read; 0 for the memory that the "
                "system reports"},
    setting_row{"node.max_descriptors", in<&all::Node, &node::MaxDescriptors>(),
                "0", 0, 1e7, need::none, "descriptors",
                "descriptors that this process may use, which bound its "
                "connections; 0 for the limit of the process"},

    setting_row{"control.addresses", in<&all::Control, &ctl::Addresses>(), "",
                1, MaxPort, NodeRoles, "", "RPC addresses of control"},
    setting_row{"control.data_folder", in<&all::Control, &ctl::DataFolder>(),
                "", 1, MaxPath, need::control, "",
                "folder of the replicated log and snapshots"},
    setting_row{"control.replica_id", in<&all::Control, &ctl::ReplicaId>(), "",
                1, 9e15, need::control, "",
                "replica id; never used again after its disk is lost"},
    setting_row{"control.peers", in<&all::Control, &ctl::Peers>(), "", 1,
                MaxPort, need::control, "",
                "all replicas of control, this one included"},
    setting_row{"control.heartbeat_ms", in<&all::Control, &ctl::Heartbeat>(),
                "50", 5, 10000, need::none, "milliseconds",
                "interval of heartbeats from leader to followers"},
    setting_row{"control.election_timeout_min_ms",
                in<&all::Control, &ctl::ElectionTimeoutMin>(), "300", 20, 60000,
                need::none, "milliseconds",
                "least time without a heartbeat before an election"},
    setting_row{"control.election_timeout_max_ms",
                in<&all::Control, &ctl::ElectionTimeoutMax>(), "600", 20, 60000,
                need::none, "milliseconds",
                "greatest time without a heartbeat before an election"},
    setting_row{"control.lease_ms", in<&all::Control, &ctl::Lease>(), "200", 10,
                60000, need::none, "milliseconds",
                "leader lease after the last heartbeat that a majority "
                "answered"},
    setting_row{"control.snapshot_every",
                in<&all::Control, &ctl::SnapshotEvery>(), "10000", 10, 1e7,
                need::none, "records", "log records between two snapshots"},

    setting_row{"control.rpc_port", in<&all::Control, &ctl::RpcPort>(), "0", 0,
                MaxPort, need::none, "",
                "RPC port of control in place of the ports of "
                "`control.addresses` and `control.seeds`; 0 keeps those"},
    setting_row{"control.seeds", in<&all::Control, &ctl::Seeds>(), "", 1,
                MaxPort, need::none, "",
                "addresses of replicas through which this one forms or joins "
                "a group by itself; replaces `control.peers`"},
    setting_row{"control.bootstrap", in<&all::Control, &ctl::Bootstrap>(),
                "false", 0, 0, need::none, "",
                "whether the seeds form a new group if their data folders are "
                "empty"},
    setting_row{"control.tolerated_losses",
                in<&all::Control, &ctl::ToleratedLosses>(), "1", 0, 100,
                need::none, "replicas",
                "replicas that may be lost at once; a group that forms itself "
                "removes a silent or stopping voter only while more than twice "
                "as many and one remain"},
    setting_row{"control.operator_listen",
                in<&all::Control, &ctl::OperatorListen>(), "", 1, MaxPort,
                need::none, "",
                "HTTP address of the platform's operator interface; not served "
                "if not set"},
    setting_row{"control.zones", in<&all::Control, &ctl::Zones>(), "", 1,
                MaxName, need::none, "",
                "availability zones of the deployment; evacuation of another "
                "one is rejected; every name is accepted if not set"},

    setting_row{"rpc.listen", in<&all::Rpc, &rpc::Listen>(), "", 0, MaxPort,
                RpcRoles, "", "RPC address of this agent or control VM"},
    setting_row{"rpc.window_calls", in<&all::Rpc, &rpc::WindowCalls>(), "16", 1,
                1024, need::none, "calls",
                "unacknowledged writes of one stream"},
    setting_row{"rpc.batch_ms", in<&all::Rpc, &rpc::Batch>(), "5", 0, 1000,
                need::none, "milliseconds",
                "time over which an agent collects tokens for one write"},
    setting_row{"rpc.keepalive_s", in<&all::Rpc, &rpc::Keepalive>(), "10", 1,
                3600, need::none, "seconds",
                "idle time before a connection is probed"},

    setting_row{"http.listen", in<&all::Http, &http::Listen>(), "", 0, MaxPort,
                HttpRoles, "", "HTTP address for callers"},
    setting_row{"http.max_body_bytes", in<&all::Http, &http::MaxBodyBytes>(),
                "4194304", 1024, 1073741824, need::none, "bytes",
                "largest request body"},
    setting_row{"http.idle_timeout_s", in<&all::Http, &http::IdleTimeout>(),
                "60", 1, 86400, need::none, "seconds",
                "idle time before a caller's connection is closed"},
    setting_row{"http.max_connections", in<&all::Http, &http::MaxConnections>(),
                "10000", 1, 1e6, need::none, "connections",
                "callers' connections open at once"},

    setting_row{"admin.listen", in<&all::Admin, &admin::Listen>(), "", 0,
                MaxPort, need::all, "",
                "HTTP address of /healthz, /readyz, /metrics and /dump"},
    setting_row{"admin.rpc_listen", in<&all::Admin, &admin::RpcListen>(), "", 0,
                MaxPort, need::none, "",
                "RPC address for acacianotchctl; not served if not set"},

    setting_row{"agent.backend_name", in<&all::Agent, &agent::BackendName>(),
                "", 1, MaxName, need::agent, "",
                "catalogue name of the backend server"},
    setting_row{"agent.backend_address",
                in<&all::Agent, &agent::BackendAddress>(), "", 1, MaxPort,
                need::agent, "", "HTTP address of the backend server"},
    setting_row{"agent.slots", in<&all::Agent, &agent::Slots>(), "8", 1, 65536,
                need::none, "requests",
                "requests that run on the backend server at once"},
    setting_row{"agent.queue_limit", in<&all::Agent, &agent::QueueLimit>(),
                "64", 0, 1e6, need::none, "requests",
                "requests that wait at the agent"},
    setting_row{"agent.long_work_share",
                in<&all::Agent, &agent::LongWorkShare>(), "0.5", 0, 1,
                need::none, "of the slots",
                "share of slots that long work may take at once"},
    setting_row{"agent.fencing_checked_by_engine",
                in<&all::Agent, &agent::FencingCheckedByEngine>(), "false", 0,
                0, need::none, "",
                "whether the engine rejects orders with a stale fencing token"},

    setting_row{"entry.subset_size", in<&all::Entry, &entry::SubsetSize>(),
                "20", 1, 10000, need::none, "backend servers",
                "backend servers per version that this entry uses"},
    setting_row{"entry.retry_budget_share",
                in<&all::Entry, &entry::RetryBudgetShare>(), "0.1", 0, 1,
                need::none, "of the requests", "budget of retries"},
    setting_row{"entry.hedge_budget_share",
                in<&all::Entry, &entry::HedgeBudgetShare>(), "0.05", 0, 1,
                need::none, "of the requests", "budget of hedged attempts"},
    setting_row{"entry.default_deadline_ms",
                in<&all::Entry, &entry::DefaultDeadline>(), "60000", 1,
                86400000, need::none, "milliseconds",
                "deadline of a request whose class and headers give none"},
    setting_row{"entry.rating_address",
                in<&all::Entry, &entry::RatingAddress>(), "", 1, MaxPort,
                need::none, "",
                "HTTP address of the rating service; ratings are off if not "
                "set"},
    setting_row{"entry.rating_sample_share",
                in<&all::Entry, &entry::RatingSampleShare>(), "0.05", 0, 1,
                need::none, "of the responses",
                "share of responses that are sent for rating"},

    setting_row{"gateway.ready_listen",
                in<&all::Gateway, &gateway::ReadyListen>(), "", 1, MaxPort,
                need::gateway, "",
                "HTTP address where the balancer asks whether callers may "
                "come"},
    setting_row{"gateway.backends", in<&all::Gateway, &gateway::Backends>(), "",
                1, MaxPort, need::gateway, "",
                "HTTP address of the platform's list of backend servers"},
    setting_row{"gateway.backend_interval_ms",
                in<&all::Gateway, &gateway::BackendInterval>(), "1000", 50,
                60000, need::none, "milliseconds",
                "time between two reads of that list"},
    setting_row{"gateway.grace_s", in<&all::Gateway, &gateway::GraceSeconds>(),
                "0.0", 0, 86400, need::none, "seconds",
                "time after which the platform kills a process that it told "
                "to stop; 0 if it does not"},
    setting_row{"gateway.session_s",
                in<&all::Gateway, &gateway::SessionSeconds>(), "5.0", 0, 86400,
                need::none, "seconds",
                "time after a request in which the next one belongs to its "
                "session"},
    setting_row{"gateway.exposure_share",
                in<&all::Gateway, &gateway::ExposureShare>(), "0.15", 0, 1,
                need::none, "",
                "share of a service's requests that a bad version may get "
                "before its rollout is stopped"},
    setting_row{"gateway.answer_memory_mb",
                in<&all::Gateway, &gateway::AnswerMemoryMb>(), "0", 0, 65536,
                need::none, "MiB",
                "memory for answers that are held back until they are "
                "complete; beyond it they are passed on as they arrive; 0 for "
                "a fifth of the VM's memory, 24 at most"},
    setting_row{"gateway.cold_overage",
                in<&all::Gateway, &gateway::ColdOverage>(), "1.0", 0, 100,
                need::none, "",
                "factor on the rate that the routing document states for cold "
                "backend servers"},
    setting_row{"gateway.cold_slack", in<&all::Gateway, &gateway::ColdSlack>(),
                "0.0", 0, 10000, need::none, "requests",
                "requests a second that a cold backend server takes beyond "
                "that rate"},
    setting_row{"gateway.startup_hold_ms",
                in<&all::Gateway, &gateway::StartupHold>(), "0", 0, 60000,
                need::none, "milliseconds",
                "time after the start up to which requests are held until the "
                "gateway can serve; 0 to hold none, as does less than 500"},
    setting_row{"gateway.retry_budget_share",
                in<&all::Gateway, &gateway::RetryShare>(), "0.8", 0, 1,
                need::none, "of the requests",
                "budget of attempts beyond the first of a request"},

    setting_row{"catalogue.lease_ms", top<&all::CatalogueLease>(), "2000", 600,
                60000, need::none, "milliseconds",
                "time after the last confirmation in which a node accepts new "
                "work"},

    setting_row{"log.level", in<&all::Log, &log_settings::Level>(), "\"info\"",
                0, 0, need::none, "", "log level of all categories"},
    setting_row{"log.levels.net", categoryLevel<log_category::net>(), "", 0, 0,
                need::none, "", LevelText},
    setting_row{"log.levels.rpc", categoryLevel<log_category::rpc>(), "", 0, 0,
                need::none, "", LevelText},
    setting_row{"log.levels.http", categoryLevel<log_category::http>(), "", 0,
                0, need::none, "", LevelText},
    setting_row{"log.levels.entry", categoryLevel<log_category::entry>(), "", 0,
                0, need::none, "", LevelText},
    setting_row{"log.levels.agent", categoryLevel<log_category::agent>(), "", 0,
                0, need::none, "", LevelText},
    setting_row{"log.levels.control", categoryLevel<log_category::control>(),
                "", 0, 0, need::none, "", LevelText},
    setting_row{"log.levels.replication",
                categoryLevel<log_category::replication>(), "", 0, 0,
                need::none, "", LevelText},
    setting_row{"log.levels.storage", categoryLevel<log_category::storage>(),
                "", 0, 0, need::none, "", LevelText},
    setting_row{"log.levels.catalogue",
                categoryLevel<log_category::catalogue>(), "", 0, 0, need::none,
                "", LevelText},
    setting_row{"log.levels.placement",
                categoryLevel<log_category::placement>(), "", 0, 0, need::none,
                "", LevelText},
    setting_row{"log.levels.admission",
                categoryLevel<log_category::admission>(), "", 0, 0, need::none,
                "", LevelText},
    setting_row{"log.levels.version", categoryLevel<log_category::version>(),
                "", 0, 0, need::none, "", LevelText},
    setting_row{"log.levels.settings", categoryLevel<log_category::settings>(),
                "", 0, 0, need::none, "", LevelText},

    setting_row{"shutdown.deadline_s", top<&all::ShutdownDeadline>(), "600", 1,
                86400, need::none, "seconds",
                "time that a graceful shutdown waits for open streams"},
};

constexpr std::array Orders{
    setting_order{"control.heartbeat_ms", "control.lease_ms", true},
    // A lease as long as the election timeout would allow two leaders.
    setting_order{"control.lease_ms", "control.election_timeout_min_ms", true},
    setting_order{"control.election_timeout_min_ms",
                  "control.election_timeout_max_ms", false},
};

// A replica that finds its group through seeds gets its id there; without a
// data folder it only names the group's leader.
constexpr std::array Alternatives{
    setting_alternative{"control.data_folder", "control.seeds"},
    setting_alternative{"control.replica_id", "control.seeds"},
    setting_alternative{"control.peers", "control.seeds"},
    setting_alternative{"node.secret_file", "control.seeds"},
};

} // namespace

auto settingAlternatives() -> std::span<const setting_alternative> {
  return Alternatives;
}

auto settingRows() -> std::span<const setting_row> { return Rows; }

auto settingOrders() -> std::span<const setting_order> { return Orders; }

auto findSettingRow(std::string_view Key) -> const setting_row * {
  const auto *Place =
      std::find_if(Rows.begin(), Rows.end(),
                   [&](const setting_row &Row) { return Row.Key == Key; });
  return Place == Rows.end() ? nullptr : Place;
}

auto includes(required_for Roles, process_role Role) -> bool {
  const auto Bit = [Role] {
    switch (Role) {
    case process_role::entry:
      return required_for::entry;
    case process_role::agent:
      return required_for::agent;
    case process_role::control:
      return required_for::control;
    case process_role::gateway:
      return required_for::gateway;
    case process_role::invalid:
      return required_for::none;
    }
    return required_for::none;
  }();
  return (static_cast<unsigned>(Roles) & static_cast<unsigned>(Bit)) != 0;
}

} // namespace acacianotch
