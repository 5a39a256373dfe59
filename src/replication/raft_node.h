/// \file Consensus core of the control log.
///
/// raft_node decides; it does no I/O and reads no clock. Its host feeds it
/// inputs, each with the current monotonic time, and carries out the effects:
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
///       }                                    // synced() gives new effects:
///     }                                      // repeat while any is left.
///
/// A host may collect several batches before one sync and report the highest
/// sequence. It calls tick() at nextDeadline(). Before it acknowledges a
/// proposal to its caller, it checks that the record at the proposal's index
/// has the proposal's term and that leaseHeld(Clock.now()) still holds.
#pragma once

#include "core/clock_type.h"
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

/// Times of the consensus protocol.
struct raft_timing {
  duration Heartbeat = std::chrono::milliseconds(50);
  duration ElectionMin = std::chrono::milliseconds(300);
  duration ElectionMax = std::chrono::milliseconds(600);
  duration Lease = std::chrono::milliseconds(200); ///< Below ElectionMin.
};

/// Bounds on messages and memory.
struct raft_limits {
  std::size_t AppendBytes = 256U << 10U; ///< Payload bytes of one message.
  log_index Window = 1024;               ///< Records sent but not acknowledged.
  log_index Uncommitted = 16384; ///< Proposals accepted but not committed.
  std::size_t ChunkBytes = 256U << 10U;      ///< Bytes of a snapshot piece.
  std::uint64_t SnapshotBytes = 1ULL << 29U; ///< Largest snapshot accepted.
  log_index Trailing = 1024; ///< Records kept in memory after compaction.
  log_index CatchUp = 64;    ///< Records a learner may lack when promoted.
};

/// Identity and settings of one replica.
struct raft_options {
  replica_id Id = replica_id::none; ///< From the identity file.
  time_point Start;                 ///< Current time.
  std::uint64_t Seed = 0;           ///< For election timeouts.
  raft_timing Timing;               ///< Times.
  raft_limits Limits;               ///< Bounds.
};

/// Part that a replica plays in its term.
enum class raft_role : std::uint8_t {
  follower,
  pre_candidate,
  candidate,
  leader
};

/// What the host must do.
struct raft_effects {
  std::vector<envelope> Messages;    ///< Send; loss and reordering are allowed.
  write_batch Write;                 ///< Persist, then call synced().
  std::optional<snapshot> Restore;   ///< Load into the state machine first.
  std::vector<log_record> Committed; ///< Apply in order.
};

/// One replica of the control log.
class raft_node {
public:
  /// \return a node; `bad_settings` without an id, because a replica that lost
  /// its identity must not take part, or `corrupt_data` for an invalid log.
  [[nodiscard]] static auto create(const raft_options &Options,
                                   durable_state Durable) -> result<raft_node>;

  /// Runs timeouts that are due at \p Now.
  auto tick(time_point Now) -> void;

  /// Handles a message; invalid or misdirected ones are ignored.
  auto receive(const envelope &Envelope, time_point Now) -> void;

  /// Adds a command to the log. A failure means that it was not added.
  [[nodiscard]] auto propose(std::string Command, time_point Now)
      -> result<log_position>;

  /// Adds a learner. Its id must never have been used: at least
  /// members().NextId.
  [[nodiscard]] auto addLearner(replica_id Joining, std::string Address,
                                time_point Now) -> result<log_position>;

  /// Makes a learner that has caught up a voter.
  [[nodiscard]] auto promote(replica_id Learner, time_point Now)
      -> result<log_position>;

  /// Removes a replica; a leader that removes itself steps down on commit.
  [[nodiscard]] auto remove(replica_id Leaving, time_point Now)
      -> result<log_position>;

  /// Reports that all batches up to \p Sequence are durable.
  auto synced(std::uint64_t Sequence, time_point Now) -> void;

  /// Reports a failed write or sync: the replica takes no part any more. What
  /// the disk holds is known only after a restart.
  auto storageFailed(time_point Now) -> void;

  /// Takes \p Data as the state after applying \p Index, writes it as the new
  /// snapshot and drops records that it covers.
  [[nodiscard]] auto compact(log_index Index, std::string Data) -> result<void>;

  /// \return what the host must do now.
  [[nodiscard]] auto takeEffects(time_point Now) -> raft_effects;

  /// \return whether this replica is certainly the only leader at \p Now. Call
  /// it with a fresh time after the work and before the effect.
  [[nodiscard]] auto leaseHeld(time_point Now) const -> bool;

  /// \return an index at or after every change acknowledged before \p Now;
  /// `not_leader` or `not_ready` if this replica cannot know one.
  [[nodiscard]] auto confirmedIndex(time_point Now) const -> result<log_index>;

  /// \return when to call tick() next.
  [[nodiscard]] auto nextDeadline() const -> time_point;

  [[nodiscard]] auto id() const -> replica_id { return Id; }
  [[nodiscard]] auto role() const -> raft_role { return Role; }
  [[nodiscard]] auto term() const -> log_term { return State.Term; }
  [[nodiscard]] auto fencingEpoch() const -> epoch { return epoch{State.Term}; }
  /// \return the leader of the term, if known.
  [[nodiscard]] auto leader() const -> replica_id { return Leader; }
  [[nodiscard]] auto commitIndex() const -> log_index { return Commit; }
  [[nodiscard]] auto lastIndex() const -> log_index { return Log.last().Index; }
  /// \return the latest membership, committed or not.
  [[nodiscard]] auto members() const -> const membership & {
    return Log.members();
  }
  /// \return whether members() is committed.
  [[nodiscard]] auto membersCommitted() const -> bool {
    return Log.membersIndex() <= Commit;
  }
  /// \return what a leader knows about the others; empty for a follower.
  [[nodiscard]] auto peers() const -> const std::map<replica_id, peer> & {
    return Peers;
  }
  [[nodiscard]] auto failed() const -> bool { return Failed; }

private:
  struct pending_write {
    std::uint64_t Sequence;
    log_index Last;
  };
  struct held_message {
    std::uint64_t Sequence;
    envelope Envelope;
  };

  raft_node(const raft_options &Options, term_state Stored, log_view View);

  // raft_node.cpp
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
  auto send(replica_id To, message Body) -> void;
  auto sendAfterSync(replica_id To, message Body) -> void;
  auto addRecord(record_kind Kind, std::string Payload) -> log_position;
  auto writeState() -> void;
  auto writeBase() -> void;
  [[nodiscard]] auto stateDurable() const -> bool;
  auto releaseHeld(time_point Now) -> void;
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
  [[nodiscard]] auto mayGrant(replica_id From, const vote_request &Body,
                              time_point Now) const -> bool;
  [[nodiscard]] auto heardFromLeader(time_point Now) const -> bool;
  [[nodiscard]] auto majorityAnswered(const membership &Members) const
      -> time_point;

  // raft_append.cpp
  auto followLeader(replica_id From, log_term Term, time_point Now) -> bool;
  auto storeRecords(const append_request &Body) -> bool;
  auto rejectAppend(replica_id From, const append_request &Body) -> void;
  [[nodiscard]] auto acceptedReply(std::uint64_t SentAt) const -> append_reply;
  auto noteAnswer(peer &Peer, std::uint64_t SentAt, time_point Now) -> void;
  auto advanceCommit(time_point Now) -> void;
  auto sendAppends(time_point Now) -> void;
  auto sendAppend(replica_id To, peer &Peer, time_point Now) -> void;
  [[nodiscard]] auto silent(const peer &Peer, time_point Now) const -> bool;
  auto replicateTo(replica_id To, peer &Peer, time_point Now) -> void;

  // raft_snapshot.cpp
  auto sendChunk(replica_id To, peer &Peer, time_point Now) -> void;
  auto installSnapshot(const snapshot_chunk &Body, std::string Data) -> void;

  // raft_membership.cpp
  [[nodiscard]] auto checkLeading(time_point Now) const -> result<void>;
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
  log_index Commit = 0;
  log_index Applied = 0;

  // Durability.
  write_batch Write;               ///< Collected for the next takeEffects().
  std::uint64_t WriteSequence = 1; ///< Sequence that Write will get.
  std::uint64_t StateSequence = 0; ///< Batch that holds the current State.
  std::uint64_t SyncedSequence = 0;
  log_index Durable = 0; ///< Last record on disk.
  std::deque<pending_write> Pending;
  std::vector<held_message> Held;
  std::vector<envelope> Outbox;
  bool RestoreDue = false;

  // Election.
  time_point ElectionDeadline;
  time_point LeaderContact; ///< Last message from a leader, or start.
  std::set<replica_id> Votes;

  // Follower.
  log_index Verified = 0; ///< Last record known to match the leader's log.
  bool ReportDue = false; ///< Tell the leader about records synced late.
  struct incoming_snapshot {
    log_position Last;
    std::string Data;
  };
  incoming_snapshot Incoming;

  // Leader.
  log_index TermStart = 0; ///< Index of the no-op of this term.
  time_point LeaderSince;
  time_point HeartbeatDue;
  std::map<replica_id, peer> Peers;
};

} // namespace acacianotch
