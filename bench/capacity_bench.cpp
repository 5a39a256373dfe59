/// \file Costs per unit that docs/CAPACITY.md scales: processor time, memory
/// and bytes per entry, change, decision, claim, usage record and log record.
/// Prints JSON. Times are processor time of this process, except the rows that
/// end in `_wall_us`.
#include "capacity_fixture.h"

#include "controller/placement.h"
#include "entry/pool_set.h"
#include "entry/request_id_func.h"
#include "storage/log_file.h"
#include "storage/posix_file_system.h"

#include <acacianotch.capnp.h>
#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <filesystem>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

namespace acacianotch::bench {

namespace {

constexpr std::size_t ManyBackends = 10'000;
constexpr std::size_t FewBackends = 1'000;
constexpr std::size_t Requests = 20'000;
constexpr std::size_t Changes = 100;

auto rounded(double Value) -> double { return std::round(Value * 1000) / 1000; }

/// Named results in the order of measurement.
class report {
public:
  auto add(const std::string &Name, double Value) -> void {
    Rows[Name] = rounded(Value);
  }
  [[nodiscard]] auto rows() const -> const nlohmann::ordered_json & {
    return Rows;
  }

private:
  nlohmann::ordered_json Rows;
};

auto suffix(std::size_t Count) -> std::string {
  return "_at_" + std::to_string(Count);
}

/// State, view, snapshot and delta with \p Count backend servers.
auto measureCatalogue(report &Report, std::size_t Count) -> void {
  const auto Size = static_cast<double>(Count);
  const auto Name = [&](const std::string &Text) {
    return Text + suffix(Count);
  };
  const memory_meter StateMemory;
  const processor_meter PutTime;
  sized_catalogue Catalogue(Count);
  Report.add(Name("put_us"), PutTime.micros() / Size);
  Report.add(Name("state_bytes_per_entry"), StateMemory.bytes() / Size);

  const processor_meter EncodeTime;
  const auto Updates = Catalogue.State.updatesSince(revision::none);
  Report.add(Name("node_snapshot_encode_us"), EncodeTime.micros());
  Report.add(Name("node_snapshot_chunks"), static_cast<double>(Updates.size()));

  const memory_meter ViewMemory;
  const processor_meter ViewTime;
  catalogue_view View;
  const auto Bytes = static_cast<double>(Catalogue.update(View));
  // The update encodes the snapshot again, which is work of control, not of
  // the node.
  Report.add(Name("node_snapshot_encode_and_apply_us"), ViewTime.micros());
  Report.add(Name("view_bytes_per_entry"), ViewMemory.bytes() / Size);
  Report.add(Name("node_snapshot_bytes_per_entry"), Bytes / Size);

  const processor_meter DumpTime;
  const auto Dump = Catalogue.State.encodeSnapshot();
  Report.add(Name("state_snapshot_encode_us"), DumpTime.micros());
  Report.add(Name("state_snapshot_bytes_per_entry"),
             static_cast<double>(Dump.size()) / Size);
}

/// Changes one entry at a time, at control and on the wire.
/// \return the updates that carry them.
auto measureControlChange(report &Report, sized_catalogue &Catalogue,
                          std::size_t Count) -> std::vector<node_update> {
  std::vector<node_update> Updates;
  double Apply = 0;
  double Encode = 0;
  double Bytes = 0;
  for (std::size_t Change = 0; Change < Changes; ++Change) {
    const auto BaseRevision = Catalogue.State.currentRevision();
    const processor_meter ApplyTime;
    Catalogue.drain(Change, true);
    Apply += ApplyTime.micros();
    const processor_meter EncodeTime;
    Updates.push_back(Catalogue.State.updatesSince(BaseRevision).front());
    Encode += EncodeTime.micros();
    Updates.back().Epoch = epoch{1};
    Updates.back().Confirmed = true;
    Bytes += static_cast<double>(Updates.back().Payload.size());
  }
  Report.add("change_apply_us" + suffix(Count), Apply / Changes);
  Report.add("delta_encode_us" + suffix(Count), Encode / Changes);
  Report.add("delta_bytes" + suffix(Count), Bytes / Changes);
  return Updates;
}

/// Applies the same changes at an agent, which has a view, and at an entry,
/// which has boards and pools as well. The two are measured separately because
/// pool_set frees many small blocks, which slows the allocator down for
/// subsequent measurements.
auto measureNodeChange(report &Report, catalogue_view &View,
                       const std::vector<node_update> &Updates,
                       std::size_t Count) -> void {
  const auto Apply = [&](const node_update &Update) {
    require(View.apply(Update, steady_clock::now()).ok(), "delta rejected");
  };
  const processor_meter Time;
  for (const auto &Update : Updates)
    Apply(Update);
  Report.add("node_delta_apply_us" + suffix(Count), Time.micros() / Changes);
}

auto measureEntryChange(report &Report, catalogue_view &View,
                        const std::vector<node_update> &Updates,
                        std::size_t Count) -> void {
  pool_set Pools(node_id("entry-17"), zone_id("region-1-zone-1"), 1, {});
  const memory_meter PoolMemory;
  Pools.applyCatalogue(View);
  Report.add("entry_board_bytes_per_backend" + suffix(Count),
             PoolMemory.bytes() / static_cast<double>(Count));
  double PoolUpdate = 0;
  for (const auto &Update : Updates) {
    require(View.apply(Update, steady_clock::now()).ok(), "delta rejected");
    const processor_meter PoolUpdateTime;
    Pools.applyCatalogue(View);
    PoolUpdate += PoolUpdateTime.micros();
  }
  Report.add("entry_follow_us" + suffix(Count), PoolUpdate / Changes);
}

auto measureChange(report &Report, std::size_t Count) -> void {
  sized_catalogue Catalogue(Count);
  catalogue_view AgentView;
  catalogue_view EntryView;
  Catalogue.update(AgentView);
  Catalogue.update(EntryView);
  const auto Updates = measureControlChange(Report, Catalogue, Count);
  measureNodeChange(Report, AgentView, Updates, Count);
  measureEntryChange(Report, EntryView, Updates, Count);
}

/// Placement over one pool in one availability zone.
auto measurePlacement(report &Report, std::size_t Count) -> void {
  constexpr std::size_t Picks = 100'000;
  seeded_random Random(7);
  virtual_clock Clock;
  backend_board Board;
  std::vector<backend_handle> Members;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Members.push_back(Board.put(
        {backend_id(backendEntry(Index).Name), zone_id("a"), 32, false}));
  placement<virtual_clock, seeded_random> Placement(
      Clock, Random, Board, node_id("entry-17"), zone_id("a"));
  const processor_meter BuildTime;
  Placement.update(Members);
  Report.add("placement_build_us" + suffix(Count), BuildTime.micros());
  const processor_meter PickTime;
  for (std::size_t Pick = 0; Pick < Picks; ++Pick)
    require(Placement.pick({Random(), {}, false}).ok(), "no backend server");
  Report.add("decision_us" + suffix(Count), PickTime.micros() / Picks);
  Report.add("decision_steps" + suffix(Count),
             static_cast<double>(Placement.steps()) / Picks);
}

auto claimOf(std::size_t Index) -> claim_request {
  const auto Number = std::to_string(Index);
  return {account_id("account-1"), "booking-key-0000-" + Number,
          std::string(64, 'd'), request_id("entry-17.1a2b3c-" + Number),
          30'000};
}

auto settleOf(std::size_t Index) -> settle_request {
  const auto Claim = claimOf(Index);
  return {Claim.Account, Claim.Key, Claim.Request, claim_outcome::done,
          stored_response{200, "application/json", {std::string(200, 'r')}}};
}

/// \param RandomIds Whether newRequestId generates the ids; otherwise they are
/// numbered.
auto usageOf(std::size_t Index, bool RandomIds) -> usage_record {
  const auto Id = RandomIds
                      ? newRequestId()
                      : request_id("entry-17.1a2b3c-" + std::to_string(Index));
  return {Id,
          account_id("account-1"),
          "entry-17",
          {{{"assistant", "1"}, "primary", 400, 300, 65, true}}};
}

auto measureUsage(report &Report, const std::string &Name, bool RandomIds)
    -> void {
  // 43,000 records a second from 1,100 entries that flush ten times a second.
  constexpr std::size_t Batch = 4;
  sized_catalogue Catalogue(10);
  const memory_meter Memory;
  const processor_meter Time;
  std::size_t Bytes = 0;
  for (std::size_t Index = 0; Index < Requests;) {
    record_usage Usage;
    while (Usage.Records.size() < Batch)
      Usage.Records.push_back(usageOf(Index++, RandomIds));
    // Control decodes and tests a command, then encodes it for the log and
    // decodes it again to apply it.
    const auto Encoded =
        encodeCommand({"", "entry-17", StartMs, StartMs, std::move(Usage)});
    const auto Decoded = decodeCommand(Encoded);
    require(Decoded.ok() && Catalogue.State.test(*Decoded).ok(), "bad usage");
    const auto Logged = decodeCommand(encodeCommand(*Decoded));
    require(Logged.ok(), "bad usage");
    Bytes += Encoded.size();
    Catalogue.send(*Logged);
  }
  Report.add("usage_record_us_" + Name, Time.micros() / Requests);
  Report.add("usage_record_state_bytes_" + Name, Memory.bytes() / Requests);
  Report.add("usage_record_log_bytes_" + Name,
             static_cast<double>(Bytes) / static_cast<double>(Requests));
}

auto measureRequests(report &Report) -> void {
  sized_catalogue Catalogue(10);
  const memory_meter ClaimMemory;
  const processor_meter ClaimTime;
  for (std::size_t Index = 0; Index < Requests; ++Index) {
    Catalogue.request(claimOf(Index));
    Catalogue.request(settleOf(Index));
  }
  Report.add("claim_and_settle_us", ClaimTime.micros() / Requests);
  Report.add("claim_bytes", ClaimMemory.bytes() / Requests);
  measureUsage(Report, "random_id", true);
  measureUsage(Report, "numbered_id", false);
}

/// An entry buffers a usage record until control has stored it.
auto measureBufferedUsage(report &Report) -> void {
  std::deque<usage_record> Buffer;
  const memory_meter Memory;
  for (std::size_t Index = 0; Index < Requests; ++Index)
    Buffer.push_back(usageOf(Index, true));
  Report.add("usage_record_held_bytes", Memory.bytes() / Requests);
}

/// Repeated drains of one backend server add only change ids and history.
auto measureChangeIds(report &Report) -> void {
  constexpr std::size_t Drains = 10'000;
  sized_catalogue Catalogue(10);
  const memory_meter Memory;
  for (std::size_t Drain = 0; Drain < Drains; ++Drain)
    Catalogue.drain(1, Drain % 2 == 0);
  Report.add("change_id_and_history_bytes", Memory.bytes() / Drains);
}

/// \param Folder on the disk that is measured.
auto measureLog(report &Report, const std::string &Folder, std::size_t Batch)
    -> void {
  constexpr std::size_t Rounds = 200;
  const auto Payload =
      encodeCommand({"", "entry-17", StartMs, StartMs, claimOf(1)});
  posix_file_system Files;
  auto Opened = log_file<posix_file_system>::open(
      Files, Folder, "log-" + std::to_string(Batch));
  require(Opened.ok(), "cannot open the log");
  auto &Log = Opened->Log;
  const auto Before = Log.size();
  const processor_meter Processor;
  std::vector<double> Walls;
  for (std::size_t Round = 0; Round < Rounds; ++Round) {
    const auto Start = std::chrono::steady_clock::now();
    for (std::size_t Index = 0; Index < Batch; ++Index)
      require(Log.append(Payload).ok(), "cannot append");
    require(Log.sync().ok(), "cannot sync");
    Walls.push_back(std::chrono::duration<double, std::micro>(
                        std::chrono::steady_clock::now() - Start)
                        .count());
  }
  std::sort(Walls.begin(), Walls.end());
  const auto Name = "_at_batch_" + std::to_string(Batch);
  Report.add("log_record_us" + Name,
             Processor.micros() / static_cast<double>(Rounds * Batch));
  Report.add("log_batch_p50_wall_us" + Name, Walls[Rounds / 2]);
  Report.add("log_batch_p99_wall_us" + Name, Walls[Rounds * 99 / 100]);
  Report.add("log_record_bytes" + Name,
             static_cast<double>(Log.size() - Before) /
                 static_cast<double>(Rounds * Batch));
}

/// Builds the message without the RPC envelope, which path_bench.py measures.
auto measureConfirmation(report &Report, std::size_t Count) -> void {
  constexpr std::size_t Rounds = 10'000;
  const sized_catalogue Catalogue(Count);
  const auto BaseRevision = Catalogue.State.currentRevision();
  std::size_t Bytes = 0;
  const processor_meter Time;
  for (std::size_t Round = 0; Round < Rounds; ++Round) {
    const auto Update = Catalogue.State.updatesSince(BaseRevision).front();
    capnp::MallocMessageBuilder Message;
    auto Out = Message.initRoot<wire::NodeUpdate>();
    Out.setEpoch(1);
    Out.setRevision(static_cast<std::uint64_t>(Update.Revision));
    Out.setConfirmed(true);
    Out.initPayload(static_cast<unsigned>(Update.Payload.size()));
    Bytes = capnp::computeSerializedSizeInWords(Message) * sizeof(capnp::word);
  }
  Report.add("confirmation_build_us" + suffix(Count), Time.micros() / Rounds);
  Report.add("confirmation_message_bytes" + suffix(Count),
             static_cast<double>(Bytes));
}

auto run() -> void {
  report Report;
  for (const std::size_t Count : {FewBackends, ManyBackends}) {
    measureCatalogue(Report, Count);
    measureChange(Report, Count);
    measureConfirmation(Report, Count);
  }
  for (const std::size_t Count : {10, 100, 1'000, 10'000})
    measurePlacement(Report, Count);
  measureRequests(Report);
  measureBufferedUsage(Report);
  measureChangeIds(Report);
  auto Folder = std::string("capacity_bench_XXXXXX");
  require(::mkdtemp(Folder.data()) != nullptr, "cannot create a folder");
  for (const std::size_t Batch : {1, 4, 16, 64})
    measureLog(Report, Folder, Batch);
  std::filesystem::remove_all(Folder);
  std::cout << nlohmann::ordered_json{{"program", "capacity_bench"},
                                      {"rows", Report.rows()}}
                   .dump(2)
            << '\n';
}

} // namespace

} // namespace acacianotch::bench

auto main() -> int {
  acacianotch::bench::run();
  return 0;
}
