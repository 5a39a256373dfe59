/// \file Connects a consensus replica to its storage and its peers.
#include "control/replica_host.h"

#include "core/log_func.h"
#include "net/kj_func.h"
#include "replication/codec.h"
#include "storage/checksummed_file.h"
#include "storage/identity_file.h"

namespace acacianotch {

namespace {

constexpr const char *SnapshotName = "snapshot";
constexpr const char *LogName = "log";
/// Pause before the data folder is reopened after a storage error.
constexpr duration ReopenInterval = std::chrono::milliseconds(500);

auto readDurable(posix_file_system &Files, const std::string &Folder,
                 const std::vector<std::string> &Frames)
    -> result<durable_state> {
  auto Snapshot =
      readChecksummedFile(Files, Folder, SnapshotName, SnapshotKind);
  if (!Snapshot)
    return Snapshot.error();
  return recover(*Snapshot, Frames);
}

auto requireIdentity(posix_file_system &Files, const std::string &Folder)
    -> result<identity> {
  const auto Identity = readIdentity(Files, Folder);
  if (!Identity)
    return Identity.error();
  if (!Identity->has_value())
    return failure::of(errc::bad_settings,
                       Folder +
                           " holds no replica: initialise a new group, or join "
                           "under a new replica id if its disk was lost");
  return **Identity;
}

} // namespace

auto initialiseReplica(const std::string &DataFolder, std::uint64_t Group,
                       replica_id Id, const membership &Members)
    -> result<void> {
  auto Folder = data_folder::open(DataFolder);
  if (!Folder)
    return Folder.error();
  posix_file_system Files;
  auto Present = readIdentity(Files, DataFolder);
  if (!Present)
    return Present.error();
  if (Present->has_value())
    return failure::of(errc::bad_settings,
                       DataFolder + " already belongs to a replica");
  snapshot First;
  First.Members = Members;
  if (auto Written = replaceChecksummedFile(
          Files, DataFolder, SnapshotName, SnapshotKind, encodeSnapshot(First));
      !Written)
    return Written;
  return createIdentity(Files, DataFolder,
                        {Group, static_cast<std::uint64_t>(Id)});
}

auto storedReplicaId(const std::string &DataFolder)
    -> result<std::optional<replica_id>> {
  posix_file_system Files;
  const auto Identity = readIdentity(Files, DataFolder);
  if (!Identity)
    return Identity.error();
  if (!Identity->has_value())
    return std::optional<replica_id>();
  return std::optional(replica_id{(*Identity)->Replica});
}

auto replica_host_options::setInitialAddresses(
    const std::vector<replica_address> &Members) -> void {
  InitialAddresses.clear();
  for (const auto &Member : Members)
    InitialAddresses[replica_id{Member.Id}] = Member.Address.text();
}

struct replica_host::recovered_replica {
  log_file<files> Log;
  raft_node Node;
  std::uint64_t Group;
  snapshot BaseSnapshot; ///< State that Node's records continue.
};

auto replica_host::recoverReplica(files &Files,
                                  const replica_host_options &Options)
    -> result<recovered_replica> {
  const auto Identity = requireIdentity(Files, Options.DataFolder);
  if (!Identity)
    return Identity.error();
  auto Log = log_file<files>::open(Files, Options.DataFolder, LogName);
  if (!Log)
    return Log.error();
  if (Log->TornBytes > 0)
    logWarning(log_category::storage, "truncated the unsynced tail of the log",
               {{"bytes", Log->TornBytes}});
  auto Durable = readDurable(Files, Options.DataFolder, Log->Frames);
  if (!Durable)
    return Durable.error();
  auto BaseSnapshot = Durable->BaseSnapshot;
  raft_options Raft;
  Raft.Id = replica_id{Identity->Replica};
  Raft.Start = steady_clock::now();
  Raft.Seed = Options.Seed;
  Raft.Timing = Options.Timing;
  auto Node = raft_node::create(Raft, std::move(*Durable));
  if (!Node)
    return Node.error();
  logInfo(log_category::storage, "restored a replica from its data folder",
          {{"group", Identity->Group},
           {"replica", Identity->Replica},
           {"term", Node->term()},
           {"snapshot", BaseSnapshot.Index},
           {"last_record", Node->lastIndex()}});
  return recovered_replica{std::move(Log->Log), std::move(*Node),
                           Identity->Group, std::move(BaseSnapshot)};
}

auto replica_host::open(event_loop &Loop, const replica_host_options &Options,
                        replica_callbacks Callbacks)
    -> result<std::unique_ptr<replica_host>> {
  auto Folder = data_folder::open(Options.DataFolder);
  if (!Folder)
    return Folder.error();
  auto Files = std::make_unique<files>();
  auto Recovered = recoverReplica(*Files, Options);
  if (!Recovered)
    return Recovered.error();
  return std::unique_ptr<replica_host>(new replica_host(
      Loop, Options, std::move(Callbacks), std::move(*Folder), std::move(Files),
      std::move(Recovered->Log), std::move(Recovered->Node), Recovered->Group));
}

replica_host::replica_host(event_loop &TheLoop, replica_host_options TheOptions,
                           replica_callbacks TheCallbacks,
                           data_folder TheFolder,
                           std::unique_ptr<files> TheFiles,
                           log_file<files> TheLog, raft_node TheNode,
                           std::uint64_t TheGroup)
    : Loop(TheLoop), Options(std::move(TheOptions)),
      Callbacks(std::move(TheCallbacks)), Folder(std::move(TheFolder)),
      Files(std::move(TheFiles)), Log(std::move(TheLog)),
      Node(std::move(TheNode)), Group(TheGroup),
      KnownAddresses(Options.InitialAddresses),
      TickTimer(TheLoop.oneShot([this] { tick(); })),
      ReopenTimer(TheLoop.oneShot([this] { tryReopen(); })) {}

replica_host::~replica_host() = default;

auto replica_host::start() -> void { scheduleDrive(); }

auto replica_host::receive(std::string_view Message) -> void {
  const auto Envelope = decodeEnvelope(Message);
  if (!Envelope) {
    logWarning(log_category::replication, "ignored a malformed message",
               {{"error", Envelope.error().text()}});
    return;
  }
  Resumed = false;
  Node.receive(*Envelope, steady_clock::now());
  scheduleDrive();
}

auto replica_host::propose(std::string Command) -> result<log_position> {
  auto Position = Node.propose(std::move(Command), steady_clock::now());
  scheduleDrive();
  return Position;
}

auto replica_host::addLearner(replica_id Id, std::string Address)
    -> result<log_position> {
  auto Position = Node.addLearner(Id, std::move(Address), steady_clock::now());
  scheduleDrive();
  return Position;
}

auto replica_host::promote(replica_id Id) -> result<log_position> {
  auto Position = Node.promote(Id, steady_clock::now());
  scheduleDrive();
  return Position;
}

auto replica_host::remove(replica_id Id) -> result<log_position> {
  auto Position = Node.remove(Id, steady_clock::now());
  scheduleDrive();
  return Position;
}

auto replica_host::leaderAddress() const -> std::string {
  const auto *Leader = Node.members().find(Node.leader());
  return Leader == nullptr ? "" : Leader->Address;
}

// Inputs of one turn of the event loop share one call of drive(), and so one
// sync of the log.
auto replica_host::scheduleDrive() -> void {
  if (std::exchange(DriveScheduled, true))
    return;
  Loop.defer([this] { drive(); });
}

auto replica_host::drive() -> void {
  DriveScheduled = false;
  while (true) {
    auto Effects = Node.takeEffects(steady_clock::now());
    const auto Idle = Effects.Messages.empty() && !Effects.Restore &&
                      Effects.Committed.empty() && Effects.Write.Sequence == 0;
    if (Idle)
      break;
    applyEffects(Effects);
  }
  compactIfDue();
  reportRoleChange();
  if (Node.leaseHeld(steady_clock::now()))
    Callbacks.LeaseHeld();
  scheduleTick();
}

auto replica_host::applyEffects(raft_effects &Effects) -> void {
  for (const auto &Envelope : Effects.Messages)
    send(Envelope);
  if (Effects.Restore) {
    const auto Restored = Callbacks.Restore(*Effects.Restore);
    if (!Restored)
      return handleStorageFailure(Restored.error());
    AppliedIndex = Effects.Restore->Index;
    CompactedIndex = AppliedIndex;
    UncompactedBytes = 0;
  }
  for (const auto &Record : Effects.Committed) {
    Callbacks.Apply(Record);
    AppliedIndex = Record.Index;
    UncompactedBytes += Record.Payload.size();
  }
  if (Effects.Write.Sequence != 0)
    persistBatch(Effects.Write);
}

auto replica_host::persistBatch(const write_batch &Batch) -> void {
  const auto WriteSnapshot = [this](std::string_view Bytes) {
    return replaceChecksummedFile(*Files, Options.DataFolder, SnapshotName,
                                  SnapshotKind, Bytes);
  };
  auto Stored = persist(Batch, Log, WriteSnapshot);
  if (Stored)
    Stored = Log.sync();
  if (Stored) {
    Node.synced(Batch.Sequence, steady_clock::now());
    return;
  }
  handleStorageFailure(Stored.error());
}

// Until the folder is read again it is unknown what the disk holds, so the
// replica takes no part. A disk that refuses writes refuses the reopening too.
auto replica_host::handleStorageFailure(const failure &Failure) -> void {
  logError(log_category::storage,
           "storage failed; this replica takes no part until its data folder "
           "can be reopened",
           {{"error", Failure.text()},
            {"applied", AppliedIndex},
            {"term", Node.term()}});
  Node.storageFailed(steady_clock::now());
  ReopenTimer->start(ReopenInterval);
}

// The identity is replaced before anything else changes, so that the former id
// never appears without the records and votes that it has acknowledged.
auto replica_host::adoptIdentity(std::uint64_t Replica,
                                 const std::vector<replica_address> &Members)
    -> void {
  for (const auto &Member : Members)
    KnownAddresses[replica_id{Member.Id}] = Member.Address.text();
  auto Adopted = replaceIdentity(*Files, Options.DataFolder, {Group, Replica});
  if (Adopted)
    Adopted = reopen();
  if (!Adopted)
    handleStorageFailure(Adopted.error());
}

auto replica_host::tryReopen() -> void {
  const auto Reopened = reopen();
  if (Reopened)
    return;
  const auto Error = Reopened.error().text();
  if (Error != ReopenError)
    logWarning(log_category::storage, "cannot reopen the data folder",
               {{"error", Error}});
  ReopenError = Error;
  ReopenTimer->start(ReopenInterval);
}

auto replica_host::reopen() -> result<void> {
  auto Recovered = recoverReplica(*Files, Options);
  if (!Recovered)
    return Recovered.error();
  // The node replays all records that the snapshot does not cover.
  if (auto Restored = Callbacks.Restore(Recovered->BaseSnapshot); !Restored)
    return Restored;
  Log = std::move(Recovered->Log);
  Node = std::move(Recovered->Node);
  Group = Recovered->Group;
  AppliedIndex = CompactedIndex = Recovered->BaseSnapshot.Index;
  ReopenError.clear();
  ReopenTimer->stop();
  logInfo(log_category::storage, "reopened the data folder",
          {{"replica", static_cast<std::uint64_t>(Node.id())}});
  scheduleDrive();
  return {};
}

// A replica that has just joined knows no members yet. It needs an address to
// answer the leader, which otherwise would not send it the missing records. A
// leader that removes itself needs the answers of its followers to commit that.
auto replica_host::addressOf(replica_id Id) -> std::string {
  if (const auto *Member = Node.members().find(Id))
    return KnownAddresses[Id] = Member->Address;
  const auto Known = KnownAddresses.find(Id);
  return Known == KnownAddresses.end() ? "" : Known->second;
}

auto replica_host::peerFor(replica_id Id) -> rpc_peer * {
  const auto Text = addressOf(Id);
  if (Text.empty())
    return nullptr;
  auto &Peer = Peers[Text];
  if (Peer != nullptr)
    return Peer.get();
  const auto Address = parseAddress(Text);
  if (!Address)
    return nullptr;
  Peer = std::make_unique<rpc_peer>(Loop, *Address, Options.Rpc);
  return Peer.get();
}

auto replica_host::send(const envelope &Envelope) -> void {
  auto *Peer = peerFor(Envelope.To);
  if (Peer == nullptr)
    return;
  auto Client = Peer->as<wire::Control>();
  if (!Client)
    return;
  auto Request = Client->replicateRequest();
  const auto Encoded = encodeEnvelope(Envelope);
  Request.setMessage(toBytes(Encoded));
  Request.send().then([](auto &&) {}).detach([](kj::Exception &&) {
  }); // The protocol resends lost messages.
}

auto replica_host::compactIfDue() -> void {
  const auto Due = AppliedIndex >= CompactedIndex + Options.SnapshotEvery ||
                   UncompactedBytes >= Options.SnapshotBytes;
  if (!Due)
    return;
  const auto Done = Node.compact(AppliedIndex, Callbacks.Snapshot());
  CompactedIndex = AppliedIndex;
  UncompactedBytes = 0;
  if (!Done)
    logWarning(log_category::replication, "cannot compact the log",
               {{"error", Done.error().text()}});
  else
    scheduleDrive();
}

auto replica_host::reportRoleChange() -> void {
  if (Node.role() == LastRole && Node.term() == LastTerm)
    return;
  LastRole = Node.role();
  LastTerm = Node.term();
  logInfo(log_category::replication, "role or term changed",
          {{"leader", LastRole == raft_role::leader},
           {"role", RaftRoleNames.name(LastRole)},
           {"term", LastTerm},
           {"voters", Node.members().voterCount()},
           {"votes", Node.members().isVoter(Node.id())},
           {"last_record", Node.lastIndex()}});
  Callbacks.RoleChanged();
}

// A process that did not run for a while handles its timers before it reads
// what arrived meanwhile. If nothing has arrived by the next tick, it acts even
// though it is late again.
auto replica_host::excuseHoldUp(time_point Now) -> bool {
  if (Resumed || Now - TickDue < Options.Timing.Heartbeat)
    return false;
  Resumed = true;
  Node.resume(Now);
  return true;
}

auto replica_host::tick() -> void {
  const auto Now = steady_clock::now();
  if (!excuseHoldUp(Now))
    Resumed = false;
  TickDue = Now; // This hold-up has been handled; scheduleTick() looks again.
  Node.tick(Now);
  drive();
}

// The process can be held up within a turn of the loop. Other inputs are then
// handled before the tick, which is late only by the time scheduled before.
auto replica_host::scheduleTick() -> void {
  constexpr duration MinDelay = std::chrono::milliseconds(1);
  const auto Now = steady_clock::now();
  excuseHoldUp(Now);
  TickDue = std::max(Node.nextDeadline(), Now + MinDelay);
  TickTimer->start(TickDue - Now);
}

} // namespace acacianotch
