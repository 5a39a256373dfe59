/// \file Simulation of replicas with disks and a network on a virtual clock.
#pragma once

#include "core/random_type.h"
#include "memory_file_system.h"
#include "replication/codec.h"
#include "replication/raft_node.h"
#include "replication_checker.h"
#include "storage/checksummed_file.h"
#include "storage/identity_file.h"
#include "storage/log_file.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace acacianotch::test {

/// Simulated VM. Its disk survives a restart of the process.
struct machine {
  memory_file_system Files;
  replica_id Id = replica_id::none; ///< Replica id stored on the disk.
  std::uint64_t Process = 0;        ///< Incremented when the process is killed.
  time_point PausedUntil;
  duration SyncDelay = std::chrono::microseconds(300);
  std::optional<raft_node> Node; ///< Empty while the process is down.
  std::optional<log_file<memory_file_system>> Log;
  chain_state State;
  std::map<log_index, log_term> Proposed; ///< Not yet committed.
  std::uint64_t WrittenSequence = 0;
  bool SyncScheduled = false;
  time_point NextTick = time_point::max();
};

/// Hosts the nodes of a replication group as described in raft_node.h.
class cluster {
public:
  cluster(std::size_t Size, std::uint64_t Seed) : Random(Seed) {
    Limits.ChunkBytes = 64;
    Limits.TrailingRecords = random(3) * 10;
    Limits.Window = 4 + random(30);
    Limits.AppendBytes = 100;
    SnapshotEvery = 10 + random(100);
    for (std::size_t Index = 0; Index < Size; ++Index)
      Machines.push_back(std::make_unique<machine>());
    for (std::size_t Index = 0; Index < Size; ++Index)
      bootstrap(Index);
  }

  [[nodiscard]] auto checker() const -> const replication_checker & {
    return Checker;
  }

protected:
  auto random(std::uint64_t Bound) -> std::uint64_t {
    return randomBelow(Random, Bound);
  }

  /// \return a random duration from \p Min to \p Max milliseconds.
  auto randomTime(std::uint64_t Min, std::uint64_t Max) -> duration {
    return duration(Min * 1000 + random((Max - Min) * 1000 + 1));
  }

  auto after(duration Delay, std::function<void()> Action) -> void {
    Events.push({Now + Delay, ++Order, std::move(Action)});
  }

  /// Runs \p Action in the current process of machine \p Index after \p Delay;
  /// if the process is paused then, once it resumes.
  auto onMachine(std::size_t Index, duration Delay,
                 std::function<void(machine &)> Action) -> void {
    after(Delay, [this, Index, Process = Machines[Index]->Process,
                  Action = std::move(Action)] {
      auto &Machine = *Machines[Index];
      if (Machine.Process != Process || !Machine.Node)
        return;
      if (Machine.PausedUntil > Now)
        return onMachine(Index, Machine.PausedUntil - Now, Action);
      Action(Machine);
      drive(Index);
    });
  }

  auto runUntil(time_point End) -> void {
    while (!Events.empty() && Events.top().When <= End && Checker.ok()) {
      auto Action = Events.top().Action;
      Now = Events.top().When;
      Events.pop();
      Action();
    }
    Now = End;
  }

  /// Starts the process of machine \p Index if its disk has an identity.
  auto start(std::size_t Index) -> void {
    auto &Machine = *Machines[Index];
    const auto Identity = readIdentity(Machine.Files, Folder);
    if (Machine.Node || !Identity || !Identity->has_value())
      return;
    const auto Snapshot =
        readChecksummedFile(Machine.Files, Folder, "snapshot", SnapshotKind);
    auto Opened =
        log_file<memory_file_system>::open(Machine.Files, Folder, "log");
    if (!Snapshot || !Opened)
      return Checker.violation(
          "storage does not open after a restart: " +
          (Opened ? Snapshot.error() : Opened.error()).text());
    auto Durable = recover(*Snapshot, Opened->Frames);
    if (!Durable)
      return Checker.violation(Durable.error().text());
    raft_options Options{Machine.Id, Now, Random(), {}, Limits};
    auto Node = raft_node::create(Options, std::move(*Durable));
    if (!Node)
      return Checker.violation(Node.error().text());
    Machine.Node.emplace(std::move(*Node));
    Machine.Log.emplace(std::move(Opened->Log));
    Machine.State = {};
    drive(Index);
  }

  /// Kills the process of machine \p Index. Unsynced writes may be lost.
  auto kill(std::size_t Index) -> void {
    auto &Machine = *Machines[Index];
    ++Machine.Process;
    Machine.Node.reset();
    Machine.Log.reset();
    Machine.Proposed.clear();
    Machine.SyncScheduled = false;
    Machine.NextTick = time_point::max();
    Machine.PausedUntil = Now;
    Machine.Files.crash(Random);
  }

  /// Writes the identity \p Id to an empty disk.
  auto assignIdentity(std::size_t Index, replica_id Id) -> void {
    auto &Machine = *Machines[Index];
    Machine.Id = Id;
    const auto Created = createIdentity(
        Machine.Files, Folder, identity{1, static_cast<std::uint64_t>(Id)});
    if (!Created)
      Checker.violation(Created.error().text());
  }

  [[nodiscard]] auto indexOf(replica_id Id) const
      -> std::optional<std::size_t> {
    for (std::size_t Index = 0; Index < Machines.size(); ++Index)
      if (Machines[Index]->Id == Id)
        return Index;
    return std::nullopt;
  }

  /// \return a running machine that holds the leader lease.
  [[nodiscard]] auto leaseHolder() const -> std::optional<std::size_t> {
    for (std::size_t Index = 0; Index < Machines.size(); ++Index)
      if (Machines[Index]->Node && Machines[Index]->PausedUntil <= Now &&
          Machines[Index]->Node->leaseHeld(Now))
        return Index;
    return std::nullopt;
  }

  auto propose(std::size_t Index) -> void {
    onMachine(Index, duration(0), [this](machine &Machine) {
      const auto Position =
          Machine.Node->propose("change " + std::to_string(++Proposals), Now);
      if (Position)
        Machine.Proposed[Position->Index] = Position->Term;
    });
  }

  auto confirm(std::size_t Index) -> void {
    onMachine(Index, duration(0), [this](machine &Machine) {
      const auto Confirmed = Machine.Node->confirmedIndex(Now);
      if (Confirmed)
        Checker.confirmed(*Confirmed, Machine.Node->term());
    });
  }

  static constexpr std::size_t MaxMachines = 5;
  using links = std::array<std::array<time_point, MaxMachines>, MaxMachines>;

  inline static const std::string Folder = "data";

  seeded_random Random;
  time_point Now{std::chrono::seconds(1)};
  std::vector<std::unique_ptr<machine>> Machines;
  replication_checker Checker;
  links BlockedUntil{}; ///< First index sends, second receives.
  duration MaxDelay = std::chrono::milliseconds(2);
  std::uint64_t DropPercent = 0;
  std::uint64_t DuplicatePercent = 0;
  std::uint64_t Proposals = 0;

private:
  struct event {
    time_point When;
    std::uint64_t Order;
    std::function<void()> Action;
    auto operator>(const event &Other) const -> bool {
      return std::tie(When, Order) > std::tie(Other.When, Other.Order);
    }
  };

  auto bootstrap(std::size_t Index) -> void {
    snapshot First;
    First.Members.NextId = Machines.size() + 1;
    for (std::uint64_t Id = 1; Id <= Machines.size(); ++Id)
      First.Members.Members.push_back({replica_id{Id}, true, ""});
    const auto Written =
        replaceChecksummedFile(Machines[Index]->Files, Folder, "snapshot",
                               SnapshotKind, encodeSnapshot(First));
    if (!Written)
      Checker.violation(Written.error().text());
    assignIdentity(Index, replica_id{Index + 1});
    start(Index);
  }

  auto drive(std::size_t Index) -> void {
    auto &Machine = *Machines[Index];
    const auto Effects = Machine.Node->takeEffects(Now);
    if (Machine.Node->role() == raft_role::leader)
      Checker.leader(Machine.Node->term(), Machine.Id);
    for (const auto &Envelope : Effects.Messages)
      send(Index, Envelope);
    apply(Index, Effects);
    if (Effects.Write.Sequence != 0)
      write(Index, Effects.Write);
    scheduleTick(Index);
  }

  auto write(std::size_t Index, const write_batch &Batch) -> void {
    auto &Machine = *Machines[Index];
    const auto WriteSnapshot = [&](const std::string &Bytes) {
      return replaceChecksummedFile(Machine.Files, Folder, "snapshot",
                                    SnapshotKind, Bytes);
    };
    Machine.WrittenSequence = Batch.Sequence;
    if (!persist(Batch, *Machine.Log, WriteSnapshot) || !Machine.Log->write())
      return Machine.Node->storageFailed(Now);
    if (!std::exchange(Machine.SyncScheduled, true))
      onMachine(Index, Machine.SyncDelay, [this](machine &Target) {
        Target.SyncScheduled = false;
        if (Target.Log->sync())
          Target.Node->synced(Target.WrittenSequence, Now);
        else
          Target.Node->storageFailed(Now);
      });
  }

  auto apply(std::size_t Index, const raft_effects &Effects) -> void {
    auto &Machine = *Machines[Index];
    if (Effects.Restore) {
      Machine.State = chain_state::decode(*Effects.Restore->Data);
      Checker.restored(Machine.State);
    }
    for (const auto &Record : Effects.Committed) {
      Machine.State.apply(Record);
      Checker.applied(Record, Machine.State);
      const auto Found = Machine.Proposed.find(Record.Index);
      if (Found == Machine.Proposed.end())
        continue;
      if (Found->second == Record.Term)
        acknowledge(Index, {Record.Index, Record.Term});
      Machine.Proposed.erase(Found);
    }
    const auto Applied = Machine.State.Applied;
    if (Applied % SnapshotEvery == 0 && !Effects.Committed.empty())
      (void)Machine.Node->compact(Applied, Machine.State.encode(random(400)));
  }

  /// Acknowledges a record after a delay, in which the process may pause.
  auto acknowledge(std::size_t Index, log_position Position) -> void {
    const auto Delay = randomTime(0, random(10) == 0 ? 300 : 2);
    onMachine(Index, Delay, [this, Position](machine &Machine) {
      if (Machine.Node->leaseHeld(Now))
        Checker.acknowledged(Position, Machine.Node->term());
    });
  }

  auto scheduleTick(std::size_t Index) -> void {
    auto &Machine = *Machines[Index];
    const auto Deadline = Machine.Node->nextDeadline();
    if (Deadline >= Machine.NextTick)
      return;
    Machine.NextTick = Deadline;
    const auto Delay = std::max(duration(0), Deadline - Now);
    onMachine(Index, Delay, [this, Deadline](machine &Target) {
      if (Target.NextTick == Deadline)
        Target.NextTick = time_point::max();
      Target.Node->tick(Now);
    });
  }

  auto send(std::size_t From, const envelope &Envelope) -> void {
    const auto To = indexOf(Envelope.To);
    if (!To || BlockedUntil[From][*To] > Now || random(100) < DropPercent)
      return;
    const auto Bytes = encodeEnvelope(Envelope);
    const auto Copies = random(100) < DuplicatePercent ? 2 : 1;
    for (auto Copy = 0; Copy < Copies; ++Copy) {
      const auto Delay =
          duration(200 + random(static_cast<std::uint64_t>(MaxDelay.count())));
      onMachine(*To, Delay, [this, Bytes](machine &Machine) {
        const auto Received = decodeEnvelope(Bytes);
        if (!Received)
          return Checker.violation("a sent message does not decode");
        Machine.Node->receive(*Received, Now);
      });
    }
  }

  raft_limits Limits;
  log_index SnapshotEvery;
  std::uint64_t Order = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> Events;
};

} // namespace acacianotch::test
