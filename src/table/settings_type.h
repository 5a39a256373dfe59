/// \file Typed settings of one process.
#pragma once

#include "core/address_type.h"
#include "core/enum_table.h"
#include "core/log_type.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace acacianotch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// What a process of acacianotchd does.
enum class process_role : std::uint8_t {
  invalid,
  entry,
  agent,
  control,
  gateway
};

/// Names of roles in settings and logs; the invalid value is not in the table.
inline constexpr enum_table<process_role, 4> ProcessRoleNames{{{
    {process_role::entry, "entry"},
    {process_role::agent, "agent"},
    {process_role::control, "control"},
    {process_role::gateway, "gateway"},
}}};

/// Settings under `node`.
struct node_settings {
  std::string Id;
  std::string Zone;
  std::filesystem::path SecretFile;
  std::uint64_t MemoryMb = 0;       ///< 0 for what the system reports.
  std::uint64_t MaxDescriptors = 0; ///< 0 for the limit of the process.
};

/// Settings under `control`.
struct control_settings {
  std::vector<address> Addresses;
  std::filesystem::path DataFolder;
  std::uint64_t ReplicaId = 0;
  std::vector<replica_address> Peers;
  milliseconds Heartbeat{};
  milliseconds ElectionTimeoutMin{};
  milliseconds ElectionTimeoutMax{};
  milliseconds Lease{};
  std::uint64_t SnapshotEvery = 0; ///< Log records between snapshots.
  std::uint64_t RpcPort = 0;  ///< In place of the port of addresses; 0 if not.
  std::vector<address> Seeds; ///< A group that forms itself starts from these.
  bool Bootstrap = false;     ///< The seeds may form a new group.
  std::uint64_t ToleratedLosses = 0; ///< Replicas lost at once.
  address OperatorListen;         ///< Invalid without the operators' interface.
  std::vector<std::string> Zones; ///< That may be evacuated; empty for any.
};

/// Settings under `rpc`.
struct rpc_settings {
  address Listen;
  std::uint64_t WindowCalls = 0; ///< Unacknowledged writes of one stream.
  milliseconds Batch{};
  seconds Keepalive{};
};

/// Settings under `http`.
struct http_settings {
  address Listen;
  std::uint64_t MaxBodyBytes = 0;
  seconds IdleTimeout{};
  std::uint64_t MaxConnections = 0;
};

/// Settings under `admin`.
struct admin_settings {
  address Listen;    ///< HTTP.
  address RpcListen; ///< RPC.
};

/// Settings under `agent`.
struct agent_settings {
  std::string BackendName;
  address BackendAddress;
  std::uint64_t Slots = 0;
  std::uint64_t QueueLimit = 0;
  double LongWorkShare = 0;
  bool FencingCheckedByEngine = false;
};

/// Settings under `entry`.
struct entry_settings {
  std::uint64_t SubsetSize = 0;
  double RetryBudgetShare = 0;
  double HedgeBudgetShare = 0;
  milliseconds DefaultDeadline{};
  address RatingAddress; ///< Invalid without a rating service.
  double RatingSampleShare = 0;
};

/// Settings under `gateway`.
struct gateway_settings {
  address ReadyListen;
  address Backends;
  milliseconds BackendInterval{};
  double RetryShare = 0;
  double SessionSeconds = 0;
  double ExposureShare = 0; ///< Of a service's requests, on a bad version.
  double GraceSeconds = 0;
  std::uint64_t AnswerMemoryMb = 0; ///< 0 for a share of the VM's memory.
  double ColdOverage = 0;     ///< Times the rate that a cold server takes.
  double ColdSlack = 0;       ///< Requests a second beyond it.
  milliseconds StartupHold{}; ///< Requests are held up to it; 0 to hold none.
};

/// Settings under `log`.
struct log_settings {
  log_level Level = log_level::invalid;
  /// Level of each category by its number; `invalid` means `Level`.
  std::array<log_level, LogCategoryNames.Rows.size() + 1> Levels{};

  /// \return the level that \p Category has at start.
  [[nodiscard]] auto level(log_category Category) const -> log_level {
    const auto Own = Levels[static_cast<std::size_t>(Category)];
    return Own == log_level::invalid ? Level : Own;
  }
};

/// All settings of one process. Only the settings parser fills it; it has no
/// defaults of its own, because the rows hold them.
struct settings {
  process_role Role = process_role::invalid;
  node_settings Node;
  control_settings Control;
  rpc_settings Rpc;
  http_settings Http;
  admin_settings Admin;
  agent_settings Agent;
  entry_settings Entry;
  gateway_settings Gateway;
  milliseconds CatalogueLease{};
  log_settings Log;
  seconds ShutdownDeadline{};
};

} // namespace acacianotch
