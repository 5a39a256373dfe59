/// \file Raft state machine of the control log.
///
/// raft_node performs no I/O and reads no clock. Its host passes it inputs with
/// the current monotonic time and executes the resulting effects:
///
///     auto Durable = recover(SnapshotBytes, LogFrames);
///     auto Node = raft_node::create(Options, std::move(*Durable));
///     // After every batch of inputs: receive(), tick(), propose(), ...
///     auto drive() -> void {
///       const auto Effects = Node.takeEffects(Clock.now());
///       send(Effects.Messages);              // Safe before the sync below.
///       if (Effects.Restore) loadState(*Effects.Restore);
///       for (const auto &Record : Effects.Committed) apply(Record);
///       if (Effects.Write.Sequence != 0) {
///         auto Written = persist(Effects.Write, Log, WriteSnapshot);
///         if (!Written || !Log.sync())
///           Node.storageFailed(Clock.now());
///         else
///           Node.synced(Effects.Write.Sequence, Clock.now());
///       }                                    // synced() may add effects:
///     }                                      // repeat until none is left.
///
/// A host may write several batches before one sync and report the highest
/// sequence. It must call tick() at nextDeadline(). Before it acknowledges a
/// proposal to its caller, it must check that the record at the proposal's
/// index has the proposal's term and that leaseHeld(Clock.now()) is still true.
#pragma once

#include "core/clock_type.h"
#include "core/enum_table.h"
#include "core/id_type.h"
#include "core/random_type.h"
#include "core/result.h"
#include "replication/log_view.h"
#include "replication/message_type.h"
#include "replication/peer_type.h"
#include "replication/persistence.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace acacianotch {

/// Intervals and timeouts of the Raft protocol.
struct raft_timing {
  duration Heartbeat = std::chrono::milliseconds(50);
  duration ElectionMin = std::chrono::milliseconds(300);
  duration ElectionMax = std::chrono::milliseconds(600);
  /// Must be less than ElectionMin.
  duration Lease = std::chrono::milliseconds(200);
};

/// Limits for messages and memory.
struct raft_limits {
  /// Payload bytes of one append_request, unless a single record exceeds it.
  std::size_t AppendBytes = 256U << 10U;
  /// Unacknowledged records in flight to one replica.
  log_index Window = 1024;
  /// Uncommitted records at which further proposals are rejected.
  log_index MaxUncommitted = 16384;
  /// Bytes of one snapshot chunk.
  std::size_t ChunkBytes = 256U << 10U;
  /// Size of the largest snapshot that a replica accepts.
  std::uint64_t SnapshotBytes = 1ULL << 29U;
  /// Records kept in memory although the snapshot covers them.
  log_index TrailingRecords = 1024;
  /// Largest total payload of these records.
  std::size_t TrailingBytes = 4U << 20U;
  /// Records that a learner may lack when it is promoted.
  log_index PromotionLag = 64;
};

/// Identity and configuration of a replica.
struct raft_options {
  replica_id Id = replica_id::none; ///< Id from the identity file.
  time_point Start;                 ///< Current time.
  std::uint64_t Seed = 0;           ///< Seed of the random election timeouts.
  raft_timing Timing;               ///< Intervals and timeouts.
  raft_limits Limits;               ///< Limits for messages and memory.
};

/// Role of a replica in its current term.
enum class raft_role : std::uint8_t {
  follower,
  pre_candidate,
  candidate,
  leader
};

/// Names of the roles in log lines.
inline constexpr enum_table<raft_role, 4> RaftRoleNames{{{
    {raft_role::follower, "follower"},
    {raft_role::pre_candidate, "pre_candidate"},
    {raft_role::candidate, "candidate"},
    {raft_role::leader, "leader"},
}}};

/// Actions for the host to execute.
struct raft_effects {
  std::vector<envelope> Messages;    ///< To send; may be lost or reordered.
  write_batch Write;                 ///< To persist; then call synced().
  std::optional<snapshot> Restore;   ///< To load into the state machine before
                                     ///< Committed is applied.
  std::vector<log_record> Committed; ///< To apply in order.
};

/// Raft state machine of one replica of the control log.
class raft_node {
public:
  /// \return a node; `bad_settings` for invalid timing or a missing id, because
  /// a replica that lost its identity must not participate; `corrupt_data` for
  /// an invalid log.
  [[nodiscard]] static auto create(const raft_options &Options,
                                   durable_state Durable) -> result<raft_node>;

  /// Handles timeouts that have expired at \p Now.
  auto tick(time_point Now) -> void;

  /// Handles a message. Invalid and misdirected messages are ignored.
  auto receive(const envelope &Envelope, time_point Now) -> void;

  /// Appends a command to the log. On failure, the command is not appended.
  [[nodiscard]] auto propose(std::string Command, time_point Now)
      -> result<log_position>;

  /// Adds a learner. Its id must be at least members().NextId, because ids are
  /// never reused.
  [[nodiscard]] auto addLearner(replica_id Joining, std::string Address,
                                time_point Now) -> result<log_position>;

  /// Makes a learner a voter; the learner must have caught up.
  [[nodiscard]] auto promote(replica_id Learner, time_point Now)
      -> result<log_position>;

  /// Removes a replica. A leader that removes itself steps down when the change
  /// is committed.
  [[nodiscard]] auto remove(replica_id Leaving, time_point Now)
      -> result<log_position>;

  /// Reports that all batches up to sequence number \p Sequence are durable.
  auto synced(std::uint64_t Sequence, time_point Now) -> void;

  /// Reports a failed write or sync. The replica no longer participates,
  /// because the content of the disk is unknown until it is recovered again.
  auto storageFailed(time_point Now) -> void;

  /// Makes \p Data, the state after applying the record at \p Index, the new
  /// snapshot, and removes records that it covers.
  [[nodiscard]] auto compact(log_index Index, std::string Data) -> result<void>;

  /// Tells that this replica did not run for a while until \p Now, so that it
  /// has not read what its peers sent meanwhile. Their silence counts from now.
  auto resume(time_point Now) -> void;

  /// \return the actions that the host must execute now.
  [[nodiscard]] auto takeEffects(time_point Now) -> raft_effects;

  /// \return whether this replica holds the leader lease, which guarantees that
  /// it is the only leader at \p Now. Call it with a newly read time after all
  /// other work, directly before an effect becomes visible.
  [[nodiscard]] auto leaseHeld(time_point Now) const -> bool;

  /// \return an index that covers every change acknowledged before \p Now;
  /// `not_leader` or `not_ready` if this replica cannot determine one.
  [[nodiscard]] auto confirmedIndex(time_point Now) const -> result<log_index>;

  /// \return the time of the next tick() call.
  [[nodiscard]] auto nextDeadline() const -> time_point;

  [[nodiscard]] auto id() const -> replica_id { return Id; }
  [[nodiscard]] auto role() const -> raft_role { return Role; }
  [[nodiscard]] auto term() const -> log_term { return State.Term; }
  [[nodiscard]] auto fencingEpoch() const -> epoch { return epoch{State.Term}; }
  /// \return the leader of the current term; `none` if unknown.
  [[nodiscard]] auto leader() const -> replica_id { return Leader; }
  [[nodiscard]] auto commitIndex() const -> log_index { return CommitIndex; }
  [[nodiscard]] auto lastIndex() const -> log_index { return Log.last().Index; }
  /// \return the latest membership, which may be uncommitted.
  [[nodiscard]] auto members() const -> const membership & {
    return Log.members();
  }
  /// \return whether members() is committed.
  [[nodiscard]] auto membersCommitted() const -> bool {
    return Log.membersIndex() <= CommitIndex;
  }
  /// \return the time since the last message from a leader, or since the start
  /// if there was none; zero if this replica leads.
  [[nodiscard]] auto leaderContactAge(time_point Now) const -> duration {
    return Role == raft_role::leader ? duration::zero()
                                     : Now - LastLeaderContact;
  }
  /// \return the replication progress of the other replicas; empty unless this
  /// replica is the leader.
  [[nodiscard]] auto peers() const
      -> const std::map<replica_id, peer_progress> & {
    return Peers;
  }
  [[nodiscard]] auto failed() const -> bool { return Failed; }

private:
  struct pending_write {
    std::uint64_t Sequence;
    log_index Last;
  };
  struct deferred_message {
    std::uint64_t Sequence;
    envelope Envelope;
  };

  raft_node(const raft_options &Options, term_state Stored, log_view View);

  // Message handlers, each in the file of its message type.
  auto handle(replica_id From, const vote_request &Body, time_point Now)
      -> void;
  auto handle(replica_id From, const vote_reply &Body, time_point Now) -> void;
  auto handle(replica_id From, const append_request &Body, time_point Now)
      -> void;
  auto handle(replica_id From, const append_reply &Body, time_point Now)
      -> void;
  auto handle(replica_id From, const snapshot_chunk &Body, time_point Now)
      -> void;
  auto handle(replica_id From, const snapshot_reply &Body, time_point Now)
      -> void;

  // raft_node.cpp
  auto send(replica_id To, message Body) -> void;
  auto sendAfterSync(replica_id To, message Body) -> void;
  auto addRecord(record_kind Kind, std::string Payload) -> log_position;
  auto writeState() -> void;
  auto rewriteSnapshotAndLog() -> void;
  [[nodiscard]] auto stateDurable() const -> bool;
  auto releaseDeferred(time_point Now) -> void;
  auto takeWrite() -> write_batch;
  auto takeCommitted(raft_effects &Effects) -> void;

  // raft_election.cpp
  auto becomeFollower(log_term Term, replica_id NewLeader, time_point Now)
      -> void;
  auto startPreVote(time_point Now) -> void;
  auto startElection(time_point Now) -> void;
  auto becomeLeader(time_point Now) -> void;
  auto requestVotes(log_term Term, bool PreVote) -> void;
  auto countVote(replica_id From, time_point Now) -> void;
  auto resetElectionTimer(time_point Now) -> void;
  [[nodiscard]] auto canGrantVote(replica_id From, const vote_request &Body,
                                  time_point Now) const -> bool;
  [[nodiscard]] auto heardFromLeader(time_point Now) const -> bool;
  [[nodiscard]] auto majorityAckedSendTime(const membership &Members) const
      -> time_point;

  // raft_append.cpp
  auto followLeader(replica_id From, log_term Term, time_point Now) -> bool;
  auto storeRecords(const append_request &Body) -> bool;
  auto rejectAppend(replica_id From, const append_request &Body) -> void;
  [[nodiscard]] auto acceptedReply(std::uint64_t SentAt) const -> append_reply;
  auto recordReply(peer_progress &Peer, std::uint64_t SentAt, time_point Now)
      -> void;
  auto advanceCommit(time_point Now) -> void;
  auto sendAppends(time_point Now) -> void;
  auto sendAppend(replica_id To, peer_progress &Peer, time_point Now) -> void;
  [[nodiscard]] auto isUnresponsive(const peer_progress &Peer,
                                    time_point Now) const -> bool;
  auto replicateTo(replica_id To, peer_progress &Peer, time_point Now) -> void;

  // raft_snapshot.cpp
  auto sendChunk(replica_id To, peer_progress &Peer, time_point Now) -> void;
  auto installSnapshot(const snapshot_chunk &Body, std::string Data) -> void;

  // raft_membership.cpp
  [[nodiscard]] auto checkLeadership(time_point Now) const -> result<void>;
  auto changeMembers(const membership &Members, time_point Now)
      -> result<log_position>;
  auto updatePeers() -> void;

  replica_id Id;
  raft_timing Timing;
  raft_limits Limits;
  seeded_random Random;
  log_view Log;

  term_state State;
  raft_role Role = raft_role::follower;
  replica_id Leader = replica_id::none;
  bool Failed = false;
  log_index CommitIndex = 0;
  log_index AppliedIndex = 0;

  // Durability.
  write_batch Write;               ///< Collected until the next takeEffects().
  std::uint64_t WriteSequence = 1; ///< Sequence number of Write.
  std::uint64_t StateSequence = 0; ///< Batch that contains the current State.
  std::uint64_t SyncedSequence = 0;
  log_index DurableIndex = 0; ///< Last synced record.
  std::deque<pending_write> Pending;
  std::vector<deferred_message> Deferred;
  std::vector<envelope> Outbox;
  bool RestoreDue = false;

  // Election.
  time_point ElectionDeadline;
  time_point ReadUntil{}; ///< Before it silence has no effect; see resume().
  time_point LastLeaderContact; ///< Last message from a leader, or start time.
  std::set<replica_id> Votes;

  // Follower.
  log_index VerifiedIndex = 0; ///< Last record known to match the leader's log.
  bool LateReplyDue = false;   ///< Report records synced after the last reply.
  struct incoming_snapshot {
    log_position Last;
    std::string Data;
  };
  incoming_snapshot Incoming;

  // Leader.
  log_index TermStart = 0; ///< Index of the no-op record of this term.
  time_point LeaderSince;
  time_point HeartbeatDue;
  std::map<replica_id, peer_progress> Peers;
};

} // namespace acacianotch
