/// \file Snapshot transfer to replicas that lack records which the leader has
/// removed.
#include "replication/raft_node.h"

#include <algorithm>
#include <utility>

namespace acacianotch {

auto raft_node::sendChunk(replica_id To, peer_progress &Peer, time_point Now)
    -> void {
  if (!Peer.SnapshotInTransfer) {
    Peer.SnapshotInTransfer = Log.baseSnapshot();
    Peer.Offset = 0;
  }
  const auto &Snapshot = *Peer.SnapshotInTransfer;
  snapshot_chunk Body;
  Body.Term = State.Term;
  Body.Last = {Snapshot.Index, Snapshot.Term};
  Body.Members = Snapshot.Members;
  Body.Size = Snapshot.Data->size();
  Body.Offset = Peer.Offset;
  Body.Data = Snapshot.Data->substr(Peer.Offset, Limits.ChunkBytes);
  Body.SentAt = static_cast<std::uint64_t>(Now.time_since_epoch().count());
  Peer.AwaitingReply = true;
  send(To, std::move(Body));
}

auto raft_node::installSnapshot(const snapshot_chunk &Body, std::string Data)
    -> void {
  // The stored log is known to match the snapshot only up to the previous
  // commit index.
  DurableIndex = std::min(DurableIndex, CommitIndex);
  for (auto &Batch : Pending)
    Batch.Last = std::min(Batch.Last, CommitIndex);
  Log.install({Body.Last.Index, Body.Last.Term, Body.Members,
               std::make_shared<const std::string>(std::move(Data))});
  CommitIndex = Body.Last.Index;
  VerifiedIndex = std::max(VerifiedIndex, CommitIndex);
  RestoreDue = true;
  LateReplyDue = true;
  rewriteSnapshotAndLog();
}

auto raft_node::handle(replica_id From, const snapshot_chunk &Body,
                       time_point Now) -> void {
  if (!followLeader(From, Body.Term, Now))
    return;
  if (Body.Last.Index <= CommitIndex) {
    VerifiedIndex = std::max(VerifiedIndex, Body.Last.Index);
    if (stateDurable())
      send(From, acceptedReply(Body.SentAt));
    return;
  }
  if (Body.Size > Limits.SnapshotBytes)
    return;
  if (Incoming.Last != Body.Last)
    Incoming = {Body.Last, {}};
  if (Body.Offset == Incoming.Data.size())
    Incoming.Data += Body.Data;
  if (Incoming.Data.size() >= Body.Size)
    return installSnapshot(Body, std::exchange(Incoming, {}).Data);
  if (stateDurable())
    send(From, snapshot_reply{State.Term, Body.Last.Index, Incoming.Data.size(),
                              Body.SentAt});
}

auto raft_node::handle(replica_id From, const snapshot_reply &Body,
                       time_point Now) -> void {
  if (Body.Term > State.Term)
    return becomeFollower(Body.Term, replica_id::none, Now);
  const auto Found = Peers.find(From);
  if (Body.Term < State.Term || Role != raft_role::leader ||
      Found == Peers.end())
    return;
  auto &Peer = Found->second;
  recordReply(Peer, Body.SentAt, Now);
  if (!Peer.SnapshotInTransfer ||
      Peer.SnapshotInTransfer->Index != Body.Index ||
      Body.Offset > Peer.SnapshotInTransfer->Data->size())
    return;
  Peer.Offset = Body.Offset;
  Peer.AwaitingReply = false;
}

} // namespace acacianotch
