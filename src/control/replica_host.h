/// \file Connects a consensus replica to its storage and its peers.
#pragma once

#include "net/event_loop.h"
#include "net/rpc_peer.h"
#include "replication/raft_node.h"
#include "storage/data_folder.h"
#include "storage/log_file.h"
#include "storage/posix_file_system.h"
#include "table/settings_type.h"

#include <acacianotch.capnp.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace acacianotch {

/// Settings of a replica host.
struct replica_host_options {
  std::string DataFolder;
  raft_timing Timing;
  std::uint64_t SnapshotEvery = 10'000; ///< Log records between snapshots.
  /// Payload of log records between snapshots. Bounds the log of large
  /// documents in memory and on the disk.
  std::uint64_t SnapshotBytes = 8U << 20U;
  std::uint64_t Seed = 0;
  rpc_options Rpc;
  /// Addresses of replicas before the membership is known.
  std::map<replica_id, std::string> InitialAddresses;

  /// Sets InitialAddresses to those of \p Members.
  auto setInitialAddresses(const std::vector<replica_address> &Members) -> void;
};

/// Interface of the state machine to the replica.
struct replica_callbacks {
  std::function<result<void>(const snapshot &)> Restore;
  std::function<void(const log_record &)> Apply;
  /// Encodes the state after the last Apply.
  std::function<std::string()> Snapshot;
  std::function<void()> RoleChanged;
  /// Runs after inputs have been handled while the replica holds the lease.
  std::function<void()> LeaseHeld;
};

/// Writes the identity and the first membership into an empty data folder.
/// Only for a new group: a replica that lost its disk must join under a new id.
[[nodiscard]] auto initialiseReplica(const std::string &DataFolder,
                                     std::uint64_t Group, replica_id Id,
                                     const membership &Members) -> result<void>;

/// \return the replica id stored in the data folder; nothing if it has none.
[[nodiscard]] auto storedReplicaId(const std::string &DataFolder)
    -> result<std::optional<replica_id>>;

/// Drives a raft_node: sends its messages over RPC, writes its records to the
/// log file and applies committed records to the state machine. After a storage
/// error it reopens the data folder until that succeeds.
class replica_host {
public:
  /// Opens the data folder. \return `bad_settings` if it has no identity,
  /// `address_in_use` if another process uses it, `corrupt_data` if damaged.
  [[nodiscard]] static auto open(event_loop &Loop,
                                 const replica_host_options &Options,
                                 replica_callbacks Callbacks)
      -> result<std::unique_ptr<replica_host>>;

  ~replica_host();
  replica_host(const replica_host &) = delete;
  auto operator=(const replica_host &) -> replica_host & = delete;

  /// Restores the state and starts the timers.
  auto start() -> void;

  /// Handles one encoded message from a peer; malformed ones are ignored.
  auto receive(std::string_view Message) -> void;

  /// Proposes a command. \return its position, or an error such as `not_leader`
  /// if it was not added to the log.
  [[nodiscard]] auto propose(std::string Command) -> result<log_position>;

  /// Proposes a membership change through the log.
  [[nodiscard]] auto addLearner(replica_id Id, std::string Address)
      -> result<log_position>;
  [[nodiscard]] auto promote(replica_id Id) -> result<log_position>;
  [[nodiscard]] auto remove(replica_id Id) -> result<log_position>;

  [[nodiscard]] auto node() const -> const raft_node & { return Node; }

  [[nodiscard]] auto group() const -> std::uint64_t { return Group; }

  /// Takes part under the new id \p Replica from now on, with the records that
  /// this replica has. The group must have removed its present id before.
  auto adoptIdentity(std::uint64_t Replica,
                     const std::vector<replica_address> &Members) -> void;

  /// \return the RPC address of the leader, if known.
  [[nodiscard]] auto leaderAddress() const -> std::string;

private:
  using files = posix_file_system;

  replica_host(event_loop &Loop, replica_host_options Options,
               replica_callbacks Callbacks, data_folder Folder,
               std::unique_ptr<files> Files, log_file<files> Log,
               raft_node Node, std::uint64_t Group);

  /// What a data folder holds after recovery.
  struct recovered_replica;

  [[nodiscard]] static auto recoverReplica(files &Files,
                                           const replica_host_options &Options)
      -> result<recovered_replica>;

  auto handleStorageFailure(const failure &Failure) -> void;
  auto tryReopen() -> void;
  /// Recovers this replica from its data folder, as a restart would.
  [[nodiscard]] auto reopen() -> result<void>;
  auto scheduleDrive() -> void;
  auto drive() -> void;
  auto applyEffects(raft_effects &Effects) -> void;
  auto persistBatch(const write_batch &Batch) -> void;
  auto send(const envelope &Envelope) -> void;
  [[nodiscard]] auto addressOf(replica_id Id) -> std::string;
  auto peerFor(replica_id Id) -> rpc_peer *;
  auto compactIfDue() -> void;
  /// Tells the replica if this process was held up.
  /// \return whether it was and the replica was told.
  auto excuseHoldUp(time_point Now) -> bool;
  /// Lets the replica act on the time that has passed.
  auto tick() -> void;
  auto scheduleTick() -> void;
  auto reportRoleChange() -> void;

  event_loop &Loop;
  replica_host_options Options;
  replica_callbacks Callbacks;
  data_folder Folder;
  std::unique_ptr<files> Files;
  log_file<files> Log;
  raft_node Node;
  std::uint64_t Group;
  /// Last addresses of members and former members, whose ids are never reused.
  std::map<replica_id, std::string> KnownAddresses;
  std::map<std::string, std::unique_ptr<rpc_peer>> Peers;
  std::unique_ptr<loop_timer> TickTimer;
  time_point TickDue = steady_clock::now(); ///< When TickTimer is to fire.
  /// The replica was told of a hold-up, and no message or tick in time
  /// followed.
  bool Resumed = false;
  std::unique_ptr<loop_timer> ReopenTimer;
  std::string ReopenError; ///< Reason of the last failed attempt to reopen.
  bool DriveScheduled = false;
  raft_role LastRole = raft_role::follower;
  log_term LastTerm = 0;
  log_index AppliedIndex = 0;
  log_index CompactedIndex = 0;
  std::uint64_t UncompactedBytes = 0; ///< Payload applied after it.
};

} // namespace acacianotch
