/// \file Randomized fault injection into replicas, disks and network. Each seed
/// is one run; ACACIANOTCH_SEED selects a single seed.
#include "replication_cluster.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <string>

namespace acacianotch::test {

namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr std::uint64_t SeedCount = 50;
#else
constexpr std::uint64_t SeedCount = 2000;
#endif

constexpr duration FaultTime = std::chrono::seconds(5);
constexpr duration RecoveryTime = std::chrono::seconds(15);

/// Cluster with random faults, proposals, reads and replacement of lost
/// replicas.
class fault_campaign : public cluster {
public:
  fault_campaign(std::size_t Size, std::uint64_t Seed)
      : cluster(Size, Seed), NextId(Size + 1), RemoveFirst(Seed % 2 == 0) {}

  auto run() -> void {
    generateProposals();
    generateReads();
    replaceLostReplicas();
    injectFaults();
    runUntil(Now + FaultTime);
    endFaults();
    const auto End = Now + RecoveryTime;
    while (Checker.ok() && Now < End && !converged())
      runUntil(Now + std::chrono::milliseconds(100));
    if (!converged())
      Checker.violation("no agreement after the faults ended");
  }

  [[nodiscard]] auto repairs() const -> std::size_t { return Repairs; }

private:
  auto anyMachine() -> std::size_t { return random(Machines.size()); }

  /// \return the machine for the next fault, often the leader.
  auto faultTarget() -> std::size_t {
    const auto Leader = leaseHolder();
    return Leader && random(2) == 0 ? *Leader : anyMachine();
  }

  /// Occasionally pauses the proposals, so that a replica which the leader does
  /// not reach remains up to date and can win an election while the leader
  /// still holds its lease.
  auto generateProposals() -> void {
    const auto Leader = leaseHolder();
    propose(Leader && random(4) != 0 ? *Leader : anyMachine());
    after(random(60) == 0 ? randomTime(300, 1500) : randomTime(2, 30),
          [this] { generateProposals(); });
  }

  auto generateReads() -> void {
    for (std::size_t Index = 0; Index < Machines.size(); ++Index)
      confirm(Index);
    after(randomTime(5, 40), [this] { generateReads(); });
  }

  // Replacement of lost replicas.

  auto replaceLostReplicas() -> void {
    for (std::size_t Index = 0; Index < Machines.size(); ++Index) {
      if (Machines[Index]->Id != replica_id::none)
        continue;
      assignIdentity(Index, replica_id{NextId++});
      start(Index);
    }
    if (const auto Leader = leaseHolder())
      onMachine(*Leader, duration(0),
                [this](machine &Machine) { repairMembership(*Machine.Node); });
    after(randomTime(20, 150), [this] { replaceLostReplicas(); });
  }

  auto repairMembership(raft_node &Leader) -> void {
    const auto Members = Leader.members();
    if (RemoveFirst && removeLostMember(Leader, Members))
      return;
    for (std::uint64_t Id = 1; Id < NextId; ++Id) {
      if (!indexOf(replica_id{Id}) || Members.isVoter(replica_id{Id}))
        continue;
      if (Members.find(replica_id{Id}) == nullptr)
        (void)Leader.addLearner(replica_id{Id}, "", Now);
      else
        (void)Leader.promote(replica_id{Id}, Now);
      return;
    }
    if (removeLostMember(Leader, Members) || !Leader.membersCommitted())
      return;
    if (std::exchange(RepairPending, false))
      onRepaired();
  }

  auto removeLostMember(raft_node &Leader, const membership &Members) -> bool {
    for (const auto &Member : Members.Members) {
      if (indexOf(Member.Id))
        continue;
      (void)Leader.remove(Member.Id, Now);
      return true;
    }
    return false;
  }

  /// Often makes another replica lose its disk shortly after a repair.
  auto onRepaired() -> void {
    ++Repairs;
    if (!FaultsEnded && random(2) == 0)
      after(duration(random(2000)), [this] { loseDisk(anyMachine()); });
  }

  // Faults.

  auto injectFaults() -> void {
    if (FaultsEnded)
      return;
    switch (random(8)) {
    case 0:
    case 1:
      restart(faultTarget(), randomTime(5, 800));
      break;
    case 2:
      loseDisk(faultTarget());
      break;
    case 3:
      partition();
      break;
    case 4:
      Machines[faultTarget()]->PausedUntil = Now + randomTime(50, 1500);
      break;
    case 5:
      degradeNetwork();
      break;
    case 6:
      injectDiskFault(faultTarget());
      break;
    default:
      if (random(3) == 0)
        for (std::size_t Index = 0; Index < Machines.size(); ++Index)
          restart(Index, randomTime(5, 500));
    }
    after(randomTime(20, 500), [this] { injectFaults(); });
  }

  auto restart(std::size_t Index, duration Downtime) -> void {
    kill(Index);
    after(Downtime, [this, Index] { start(Index); });
  }

  /// \return whether machine \p Lost may lose its disk. Acknowledged records
  /// survive while every membership in use retains a majority of its disks.
  [[nodiscard]] auto canLoseDisk(std::size_t Lost) const -> bool {
    const auto Id = Machines[Lost]->Id;
    for (const auto &Machine : Machines) {
      if (!Machine->Node)
        return false;
      const auto &Members = Machine->Node->members();
      std::size_t Gone = 0;
      for (const auto &Member : Members.Members)
        if (Member.Voter && (Member.Id == Id || !indexOf(Member.Id)))
          ++Gone;
      if (Members.voterCount() > 0 && Gone > (Members.voterCount() - 1) / 2)
        return false;
    }
    return true;
  }

  auto loseDisk(std::size_t Index) -> void {
    if (FaultsEnded || !canLoseDisk(Index))
      return;
    kill(Index);
    Machines[Index]->Files.wipe();
    RepairPending = true;
    after(randomTime(1, 300),
          [this, Index] { Machines[Index]->Id = replica_id::none; });
    Machines[Index]->Id = LostId;
  }

  auto partition() -> void {
    const auto Target = faultTarget();
    const auto Until = Now + randomTime(100, 1500);
    const auto Inward = random(3) != 0;
    const auto Outward = !Inward || random(2) == 0;
    const auto Single = random(2) == 0 ? Machines.size() : anyMachine();
    for (std::size_t Other = 0; Other < Machines.size(); ++Other) {
      if (Single < Machines.size() && Other != Single)
        continue;
      if (Inward)
        BlockedUntil[Other][Target] = Until;
      if (Outward)
        BlockedUntil[Target][Other] = Until;
    }
  }

  auto degradeNetwork() -> void {
    MaxDelay = randomTime(2, 400);
    DropPercent = random(30);
    DuplicatePercent = random(40);
    after(randomTime(100, 1000), [this] { restoreNetwork(); });
  }

  auto restoreNetwork() -> void {
    MaxDelay = std::chrono::milliseconds(2);
    DropPercent = 0;
    DuplicatePercent = 0;
  }

  auto injectDiskFault(std::size_t Index) -> void {
    auto &Machine = *Machines[Index];
    if (!Machine.Node)
      return;
    switch (random(5)) {
    case 0:
      Machine.Files.FailSync = true;
      break;
    case 1:
      Machine.Files.FreeBytes = random(1000);
      break;
    case 2:
      Machine.Files.OperationsLeft = random(20);
      break;
    case 3: // Fails between the writes of the snapshot and the log.
      Machine.Files.FailCreate = Folder + "/log.new";
      break;
    default:
      Machine.SyncDelay = randomTime(0, random(3) == 0 ? 400 : 20);
      return;
    }
    after(randomTime(100, 800),
          [this, Index] { restart(Index, randomTime(5, 300)); });
  }

  auto endFaults() -> void {
    FaultsEnded = true;
    restoreNetwork();
    BlockedUntil = {};
    for (std::size_t Index = 0; Index < Machines.size(); ++Index) {
      auto &Machine = *Machines[Index];
      Machine.PausedUntil = Now;
      Machine.SyncDelay = std::chrono::microseconds(300);
      after(std::chrono::seconds(1),
            [this, Index] { restart(Index, duration(0)); });
    }
    AcksBeforeRecovery = Checker.acknowledgements();
    RecoveryStart = Now + std::chrono::seconds(1);
  }

  /// \return whether every machine is a voter and has applied all acknowledged
  /// records, and the group has acknowledged new ones.
  auto converged() -> bool {
    if (Now <= RecoveryStart ||
        Checker.acknowledgements() == AcksBeforeRecovery)
      return false;
    const auto Leader = leaseHolder();
    if (!Leader)
      return false;
    const auto &Members = Machines[*Leader]->Node->members();
    return Members.voterCount() == Machines.size() &&
           Members.Members.size() == Machines.size() &&
           std::all_of(Machines.begin(), Machines.end(), [&](const auto &Row) {
             return Row->Node && Members.isVoter(Row->Id) &&
                    Row->State.Applied >= Checker.lastAcknowledged();
           });
  }

  /// Placeholder id of a machine whose lost disk has not been detected yet.
  static constexpr replica_id LostId{~std::uint64_t{0}};

  std::uint64_t NextId;
  bool RemoveFirst;
  bool FaultsEnded = false;
  bool RepairPending = false;
  std::size_t Repairs = 0;
  std::size_t AcksBeforeRecovery = 0;
  time_point RecoveryStart;
};

} // namespace

// Guards against lost, reordered or diverging acknowledged records, two leaders
// in one term, and acknowledgements by a deposed leader.
TEST_CASE("replicas keep acknowledged records through random failures") {
  const auto *Selected = std::getenv("ACACIANOTCH_SEED");
  const auto First = Selected != nullptr ? std::stoull(Selected) : 1;
  const auto Last = Selected != nullptr ? First : SeedCount;
  std::size_t Acks = 0;
  std::size_t Repairs = 0;
  std::size_t Terms = 0;
  for (auto Seed = First; Seed <= Last; ++Seed) {
    fault_campaign Campaign(Seed % 3 == 0 ? 5 : 3, Seed);
    Campaign.run();
    Acks += Campaign.checker().acknowledgements();
    Repairs += Campaign.repairs();
    Terms += Campaign.checker().terms();
    INFO("ACACIANOTCH_SEED=", Seed);
    REQUIRE_MESSAGE(Campaign.checker().ok(), Campaign.checker().text());
  }
  MESSAGE("seeds ", Last - First + 1, ", acknowledged ", Acks, ", repairs ",
          Repairs, ", terms with a leader ", Terms);
  CHECK(Acks > 0);
}

} // namespace acacianotch::test
