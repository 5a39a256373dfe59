/// \file Cost of the replicated log with real files: commits per second and
/// latency by batch size, bytes per record on disk and in memory, and time to
/// catch up. Prints JSON. All replicas run in one thread, so their syncs add
/// up; with one replica the figures are those of a single disk.
#include "replication/codec.h"
#include "replication/raft_node.h"
#include "storage/checksummed_file.h"
#include "storage/log_file.h"
#include "storage/posix_file_system.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <malloc.h>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace acacianotch {

namespace {

constexpr std::size_t PayloadBytes = 200;
constexpr std::size_t MemoryRecords = 100'000;

/// A replica with its files.
struct bench_replica {
  std::string Folder;
  posix_file_system Files;
  std::optional<log_file<posix_file_system>> Log;
  std::optional<raft_node> Node;
  std::deque<std::string> Inbox;
};

auto require(bool Condition, const std::string &Text) -> void {
  if (Condition)
    return;
  std::fprintf(stderr, "%s\n", Text.c_str());
  std::exit(1);
}

/// A replica group in one process; its folder is removed on destruction.
class bench_group {
public:
  explicit bench_group(std::size_t Size) {
    auto Name = std::string("replication_bench_XXXXXX");
    require(::mkdtemp(Name.data()) != nullptr, "cannot create a folder");
    Root = std::filesystem::absolute(Name).string();
    for (std::size_t Index = 0; Index < Size; ++Index)
      add(Index, Size);
    while (!Replicas.front()->Node->confirmedIndex(now()).ok())
      runRound();
  }
  bench_group(const bench_group &) = delete;
  auto operator=(const bench_group &) -> bench_group & = delete;
  ~bench_group() { std::filesystem::remove_all(Root); }

  /// Proposes \p Count records and waits until they are committed.
  auto commit(std::size_t Count) -> void {
    auto &Leader = *Replicas.front()->Node;
    for (std::size_t Done = 0; Done < Count; ++Done) {
      const auto Added = Leader.propose(std::string(PayloadBytes, 'x'), now());
      require(Added.ok(), "the leader rejects a record");
    }
    const auto Target = Leader.lastIndex();
    while (Leader.commitIndex() < Target)
      runRound();
  }

  /// Disconnects the last replica or reconnects it.
  auto setDisconnected(bool On) -> void { Disconnected = On; }

  /// Waits until the last replica has the leader's commit index.
  auto catchUp() -> void {
    while (Replicas.back()->Node->commitIndex() <
           Replicas.front()->Node->commitIndex())
      runRound();
  }

  [[nodiscard]] auto logBytes() const -> std::uint64_t {
    return Replicas.front()->Log->size();
  }

  [[nodiscard]] auto messages() const -> std::size_t { return Messages; }

private:
  static auto now() -> time_point { return steady_clock::now(); }

  auto add(std::size_t Index, std::size_t Size) -> void {
    auto Replica = std::make_unique<bench_replica>();
    Replica->Folder = Root + "/" + std::to_string(Index);
    std::filesystem::create_directory(Replica->Folder);
    auto Opened = log_file<posix_file_system>::open(Replica->Files,
                                                    Replica->Folder, "log");
    require(Opened.ok(), "cannot open the log");
    Replica->Log.emplace(std::move(Opened->Log));
    durable_state Durable;
    Durable.BaseSnapshot.Members.NextId = Size + 1;
    for (std::uint64_t Id = 1; Id <= Size; ++Id)
      Durable.BaseSnapshot.Members.Members.push_back(
          {replica_id{Id}, true, ""});
    raft_options Options{replica_id{Index + 1}, now(), Index, {}, {}};
    // Long election timeouts of the other replicas keep the first one leader.
    if (Index != 0) {
      Options.Timing.ElectionMin = std::chrono::seconds(30);
      Options.Timing.ElectionMax = std::chrono::seconds(60);
    }
    // With an election timeout already elapsed, a replica grants its first vote
    // without delay.
    Options.Start = now() - Options.Timing.ElectionMin;
    auto Node = raft_node::create(Options, std::move(Durable));
    require(Node.ok(), "cannot create a node");
    Replica->Node.emplace(std::move(*Node));
    Replicas.push_back(std::move(Replica));
  }

  auto runRound() -> void {
    for (auto &Replica : Replicas) {
      auto Inbox = std::exchange(Replica->Inbox, {});
      for (const auto &Bytes : Inbox)
        Replica->Node->receive(*decodeEnvelope(Bytes), now());
      if (Replica->Node->nextDeadline() <= now() && Replica == Replicas.front())
        Replica->Node->tick(now());
      applyEffects(*Replica);
    }
  }

  auto applyEffects(bench_replica &Replica) -> void {
    while (true) {
      const auto Effects = Replica.Node->takeEffects(now());
      send(Replica, Effects.Messages);
      if (Effects.Write.Sequence == 0)
        return;
      write(Replica, Effects.Write);
      Replica.Node->synced(Effects.Write.Sequence, now());
    }
  }

  static auto write(bench_replica &Replica, const write_batch &Batch) -> void {
    const auto WriteSnapshot = [&](const std::string &Bytes) {
      return replaceChecksummedFile(Replica.Files, Replica.Folder, "snapshot",
                                    SnapshotKind, Bytes);
    };
    require(persist(Batch, *Replica.Log, WriteSnapshot).ok() &&
                Replica.Log->sync().ok(),
            "cannot write the log");
  }

  auto send(const bench_replica &From, const std::vector<envelope> &Envelopes)
      -> void {
    for (const auto &Envelope : Envelopes) {
      auto &To = *Replicas[static_cast<std::size_t>(Envelope.To) - 1];
      const auto *Last = Replicas.back().get();
      if (Disconnected && (&To == Last || &From == Last))
        continue;
      To.Inbox.push_back(encodeEnvelope(Envelope));
      ++Messages;
    }
  }

  std::string Root;
  std::vector<std::unique_ptr<bench_replica>> Replicas;
  bool Disconnected = false;
  std::size_t Messages = 0;
};

/// Arguments: replicas, records per batch.
auto commitBatches(benchmark::State &State) -> void {
  bench_group Group(static_cast<std::size_t>(State.range(0)));
  const auto Batch = static_cast<std::size_t>(State.range(1));
  const auto Before = Group.logBytes();
  std::vector<double> Micros;
  for ([[maybe_unused]] auto Round : State) {
    const auto Start = std::chrono::steady_clock::now();
    Group.commit(Batch);
    const std::chrono::duration<double, std::micro> Elapsed =
        std::chrono::steady_clock::now() - Start;
    Micros.push_back(Elapsed.count());
  }
  std::sort(Micros.begin(), Micros.end());
  const auto Records = Micros.size() * Batch;
  State.counters["commits_per_second"] = benchmark::Counter(
      static_cast<double>(Records), benchmark::Counter::kIsRate);
  State.counters["latency_p50_us"] = Micros[Micros.size() / 2];
  State.counters["latency_p99_us"] = Micros[Micros.size() * 99 / 100];
  State.counters["log_bytes_per_record"] =
      static_cast<double>(Group.logBytes() - Before) /
      static_cast<double>(Records);
}

/// Argument: records missed.
auto catchUp(benchmark::State &State) -> void {
  bench_group Group(3);
  std::size_t Messages = 0;
  for ([[maybe_unused]] auto Round : State) {
    State.PauseTiming();
    Group.setDisconnected(true);
    for (auto Left = State.range(0); Left > 0; Left -= 100)
      Group.commit(100);
    Group.setDisconnected(false);
    const auto Before = Group.messages();
    State.ResumeTiming();
    Group.catchUp();
    Messages += Group.messages() - Before;
  }
  State.counters["messages"] = benchmark::Counter(
      static_cast<double>(Messages), benchmark::Counter::kAvgIterations);
}

auto memoryPerRecord(benchmark::State &State) -> void {
  for ([[maybe_unused]] auto Round : State) {
    const auto Before = ::mallinfo2().uordblks;
    auto View = log_view::create({}, {});
    for (log_index Index = 1; Index <= MemoryRecords; ++Index)
      (void)View->append(
          {Index, 1, record_kind::command, std::string(PayloadBytes, 'x')});
    const auto Used = ::mallinfo2().uordblks - Before;
    State.counters["bytes_per_record"] =
        static_cast<double>(Used) / static_cast<double>(MemoryRecords);
    State.counters["payload_bytes"] = PayloadBytes;
  }
}

BENCHMARK(commitBatches)
    ->ArgNames({"replicas", "batch"})
    ->ArgsProduct({{1, 3}, {1, 4, 16, 64}})
    ->MinTime(1.0)
    ->UseRealTime();
BENCHMARK(catchUp)
    ->ArgName("missed")
    ->Arg(100)
    ->Arg(1000)
    ->Arg(10000)
    ->Iterations(5)
    ->Unit(benchmark::kMillisecond)
    ->UseRealTime();
BENCHMARK(memoryPerRecord)->Iterations(1);

} // namespace

} // namespace acacianotch

auto main(int Count, char **Arguments) -> int {
  benchmark::Initialize(&Count, Arguments);
  benchmark::JSONReporter Reporter;
  benchmark::RunSpecifiedBenchmarks(&Reporter);
  return 0;
}
