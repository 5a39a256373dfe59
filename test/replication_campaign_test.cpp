/// \file Randomized failures of replicas, disks and network. Every seed is one
/// run; ACACIANOTCH_SEED selects a single one.
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
constexpr duration HealTime = std::chrono::seconds(15);

/// A cluster with random faults, client load and an operator who replaces
/// lost replicas.
class campaign : public cluster {
public:
  campaign(std::size_t Size, std::uint64_t Seed)
      : cluster(Size, Seed), NextId(Size + 1), RemoveFirst(Seed % 2 == 0) {}

  auto run() -> void {
    load();
    read();
    operate();
    inject();
    runUntil(Now + FaultTime);
    heal();
    const auto End = Now + HealTime;
    while (Checker.ok() && Now < End && !converged())
      runUntil(Now + std::chrono::milliseconds(100));
    if (!converged())
      Checker.violation("no agreement after the faults ended");
  }

  [[nodiscard]] auto repairs() const -> std::size_t { return Repairs; }

private:
  auto anyMachine() -> std::size_t { return random(Machines.size()); }

  /// \return a machine to disturb, often the leader.
  auto victim() -> std::size_t {
    const auto Leader = leading();
    return Leader && random(2) == 0 ? *Leader : anyMachine();
  }

  /// Pauses let a replica that the leader does not reach stay up to date, so
  /// that it can win an election while the leader's lease lasts.
  auto load() -> void {
    const auto Leader = leading();
    propose(Leader && random(4) != 0 ? *Leader : anyMachine());
    after(random(60) == 0 ? randomTime(300, 1500) : randomTime(2, 30),
          [this] { load(); });
  }

  auto read() -> void {
    for (std::size_t Index = 0; Index < Machines.size(); ++Index)
      confirm(Index);
    after(randomTime(5, 40), [this] { read(); });
  }

  // Repair.

  auto operate() -> void {
    for (std::size_t Index = 0; Index < Machines.size(); ++Index) {
      if (Machines[Index]->Id != replica_id::none)
        continue;
      identify(Index, replica_id{NextId++});
      start(Index);
    }
    if (const auto Leader = leading())
      onMachine(*Leader, duration(0),
                [this](machine &Machine) { repair(*Machine.Node); });
    after(randomTime(20, 150), [this] { operate(); });
  }

  auto repair(raft_node &Leader) -> void {
    const auto Members = Leader.members();
    if (RemoveFirst && removeLost(Leader, Members))
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
    if (removeLost(Leader, Members) || !Leader.membersCommitted())
      return;
    if (std::exchange(RepairOpen, false))
      repaired();
  }

  auto removeLost(raft_node &Leader, const membership &Members) -> bool {
    for (const auto &Member : Members.Members) {
      if (indexOf(Member.Id))
        continue;
      (void)Leader.remove(Member.Id, Now);
      return true;
    }
    return false;
  }

  /// Often a second replica fails right after a repair.
  auto repaired() -> void {
    ++Repairs;
    if (!Healing && random(2) == 0)
      after(duration(random(2000)), [this] { loseDisk(anyMachine()); });
  }

  // Faults.

  auto inject() -> void {
    if (Healing)
      return;
    switch (random(8)) {
    case 0:
    case 1:
      restart(victim(), randomTime(5, 800));
      break;
    case 2:
      loseDisk(victim());
      break;
    case 3:
      partition();
      break;
    case 4:
      Machines[victim()]->FrozenUntil = Now + randomTime(50, 1500);
      break;
    case 5:
      disturbNetwork();
      break;
    case 6:
      breakDisk(victim());
      break;
    default:
      if (random(3) == 0)
        for (std::size_t Index = 0; Index < Machines.size(); ++Index)
          restart(Index, randomTime(5, 500));
    }
    after(randomTime(20, 500), [this] { inject(); });
  }

  auto restart(std::size_t Index, duration Downtime) -> void {
    kill(Index);
    after(Downtime, [this, Index] { start(Index); });
  }

  /// Acknowledged records survive while each membership in use keeps a
  /// majority of its disks.
  [[nodiscard]] auto lossAllowed(std::size_t Lost) const -> bool {
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
    if (Healing || !lossAllowed(Index))
      return;
    kill(Index);
    Machines[Index]->Files.wipe();
    RepairOpen = true;
    after(randomTime(1, 300),
          [this, Index] { Machines[Index]->Id = replica_id::none; });
    Machines[Index]->Id = LostId;
  }

  auto partition() -> void {
    const auto One = victim();
    const auto Until = Now + randomTime(100, 1500);
    const auto Inward = random(3) != 0;
    const auto Outward = !Inward || random(2) == 0;
    const auto Single = random(2) == 0 ? Machines.size() : anyMachine();
    for (std::size_t Other = 0; Other < Machines.size(); ++Other) {
      if (Single < Machines.size() && Other != Single)
        continue;
      if (Inward)
        BlockedUntil[Other][One] = Until;
      if (Outward)
        BlockedUntil[One][Other] = Until;
    }
  }

  auto disturbNetwork() -> void {
    MaxDelay = randomTime(2, 400);
    DropPercent = random(30);
    DuplicatePercent = random(40);
    after(randomTime(100, 1000), [this] { calmNetwork(); });
  }

  auto calmNetwork() -> void {
    MaxDelay = std::chrono::milliseconds(2);
    DropPercent = 0;
    DuplicatePercent = 0;
  }

  auto breakDisk(std::size_t Index) -> void {
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
    case 3: // Between the writes of snapshot and log.
      Machine.Files.FailCreate = Folder + "/log.new";
      break;
    default:
      Machine.SyncDelay = randomTime(0, random(3) == 0 ? 400 : 20);
      return;
    }
    after(randomTime(100, 800),
          [this, Index] { restart(Index, randomTime(5, 300)); });
  }

  auto heal() -> void {
    Healing = true;
    calmNetwork();
    BlockedUntil = {};
    for (std::size_t Index = 0; Index < Machines.size(); ++Index) {
      auto &Machine = *Machines[Index];
      Machine.FrozenUntil = Now;
      Machine.SyncDelay = std::chrono::microseconds(300);
      after(std::chrono::seconds(1),
            [this, Index] { restart(Index, duration(0)); });
    }
    AcksBeforeHealing = Checker.acknowledgements();
    HealedAt = Now + std::chrono::seconds(1);
  }

  /// \return whether every machine is a voter, has applied everything that
  /// was acknowledged, and the group accepts changes.
  auto converged() -> bool {
    if (Now <= HealedAt || Checker.acknowledgements() == AcksBeforeHealing)
      return false;
    const auto Leader = leading();
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

  /// Stands for the id of a blank machine that nobody has noticed yet.
  static constexpr replica_id LostId{~std::uint64_t{0}};

  std::uint64_t NextId;
  bool RemoveFirst;
  bool Healing = false;
  bool RepairOpen = false;
  std::size_t Repairs = 0;
  std::size_t AcksBeforeHealing = 0;
  time_point HealedAt;
};

} // namespace

// Guards against every fault that loses, reorders or forks acknowledged
// records, elects two leaders, or lets a deposed leader acknowledge.
TEST_CASE("replicas keep acknowledged records through random failures") {
  const auto *Selected = std::getenv("ACACIANOTCH_SEED");
  const auto First = Selected != nullptr ? std::stoull(Selected) : 1;
  const auto Last = Selected != nullptr ? First : SeedCount;
  std::size_t Acks = 0;
  std::size_t Repairs = 0;
  std::size_t Terms = 0;
  for (auto Seed = First; Seed <= Last; ++Seed) {
    campaign Campaign(Seed % 3 == 0 ? 5 : 3, Seed);
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
