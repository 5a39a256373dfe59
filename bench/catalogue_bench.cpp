/// \file Memory and time of the catalogue's state machine, as JSON. Takes the
/// number of items per kind as its only argument (default 10,000).
#include "catalogue/catalogue_state.h"
#include "catalogue/catalogue_view.h"
#include "catalogue/cbor.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>

using namespace acacianotch;

namespace {

constexpr std::uint64_t StartMs = 1'781'481'600'000;

/// \return the bytes of all live allocations, with the allocator's overhead.
auto heapBytes() -> double {
  const auto Info = mallinfo2();
  return static_cast<double>(Info.uordblks + Info.hblkhd);
}

using body_maker = std::function<command_body(std::uint64_t)>;

/// Applies series of commands to one state and measures them.
class measurement {
public:
  explicit measurement(std::uint64_t Items) : Count(Items) {}

  /// Applies Count commands; reports the mean time and the heap bytes that the
  /// state retains.
  auto series(const std::string &Name, const body_maker &Make) -> void {
    std::vector<command> Commands;
    for (std::uint64_t Number = 0; Number < Count; ++Number)
      Commands.push_back(command{
          WithChangeIds ? "operator-1-change-" + std::to_string(++Changes) : "",
          "operator-1", NowMs, NowMs, Make(Number)});
    const auto Before = heapBytes();
    const auto Begin = std::chrono::steady_clock::now();
    std::uint64_t Failed = 0;
    for (const auto &Command : Commands)
      Failed += State.apply(Command, ++Index).ok() ? 0 : 1;
    const std::chrono::duration<double, std::micro> Time =
        std::chrono::steady_clock::now() - Begin;
    const auto Items = static_cast<double>(Count);
    Report["apply"][Name] = {{"us", Time.count() / Items},
                             {"failed", Failed},
                             {"heap_bytes", (heapBytes() - Before) / Items}};
  }

  std::uint64_t Count;
  catalogue_state State;
  std::uint64_t Index = 0;
  std::uint64_t Changes = 0;
  std::uint64_t NowMs = StartMs;
  bool WithChangeIds = true;
  json Report;
};

auto text(std::uint64_t Number) -> std::string {
  return std::to_string(Number);
}

auto account(std::uint64_t Number) -> model_entry {
  auto Digest = std::string(64, 'a');
  Digest.replace(0, text(Number).size(), text(Number));
  return {"account-" + text(Number),
          "team-platform",
          {},
          {},
          account_body{Digest,
                       {{"assistant-small", ""}, {"assistant", "2"}},
                       1'000'000'000,
                       1,
                       64}};
}

auto version(std::uint64_t Number) -> model_entry {
  return {"assistant@" + text(Number),
          "team-models",
          {},
          {},
          version_body{"assistant", text(Number), version_state::active, 300,
                       900, 0.8, 0}};
}

auto backend(std::uint64_t Number) -> model_entry {
  return {"engine-" + text(Number),
          "team-platform",
          {},
          {},
          backend_body{"10.1.2.3:9000",
                       "zone-a",
                       {{"assistant", text(Number % 9)}},
                       "",
                       16,
                       false}};
}

auto put(model_entry (*Make)(std::uint64_t)) -> body_maker {
  return [Make](std::uint64_t Number) {
    return put_entry{Make(Number), {}, false};
  };
}

auto usage(std::uint64_t Number) -> usage_record {
  return {request_id("entry-1-5f3a-" + text(Number)),
          account_id("account-" + text(Number % 10)),
          "entry-1",
          {{{"assistant", "2"}, "primary", 500, 300, 420, true}}};
}

auto claimOf(std::uint64_t Number) -> claim_request {
  return {account_id("account-" + text(Number % 10)),
          "5b0c2f0e-7d0a-4b5e-9f5e-" + text(Number), std::string(64, 'd'),
          request_id("entry-1-5f3a-" + text(Number)), 60'000};
}

auto settleOf(std::uint64_t Number) -> settle_request {
  const auto Claim = claimOf(Number);
  return {Claim.Account, Claim.Key, Claim.Request, claim_outcome::done,
          stored_response{200, "application/json", {std::string(200, 'x')}}};
}

auto measureEntries(measurement &Run) -> void {
  Run.series("put_entry_account", put(account));
  Run.series("put_entry_version", put(version));
  Run.series("put_entry_backend", put(backend));
  Run.series("drain_backend", [](std::uint64_t Number) {
    return drain_backend{"engine-" + text(Number), true};
  });
  Run.series("drain_backend_unchanged", [](std::uint64_t Number) {
    return drain_backend{"engine-" + text(Number), true};
  });
  Run.series("report_crash", [](std::uint64_t Number) {
    return report_crash{"engine-1-" + text(Number),
                        "engine-1",
                        false,
                        {fingerprint{Number / 2}},
                        {}};
  });
}

auto measureRequestPath(measurement &Run) -> void {
  Run.WithChangeIds = false;
  Run.series("claim_request", claimOf);
  Run.series("settle_request", settleOf);
  Run.series("record_usage_of_1", [](std::uint64_t Number) {
    return record_usage{{usage(Number)}};
  });
  Run.series("record_usage_of_100", [](std::uint64_t Number) {
    record_usage Body;
    for (std::uint64_t Item = 0; Item < 100; ++Item)
      Body.Records.push_back(usage(1'000'000 + Number * 100 + Item));
    return Body;
  });
  Run.series("lease_budget", [](std::uint64_t Number) {
    return lease_budget{account_id("account-" + text(Number)), "entry-1", 1000,
                        0, 0};
  });
}

auto measureRollouts(measurement &Run) -> void {
  Run.WithChangeIds = true;
  Run.State.apply({"start", "operator-1", StartMs, StartMs,
                   start_rollout{"assistant", "0", "1", {{0.1, 0, 0}}, {}}},
                  ++Run.Index);
  const auto Id = Run.State.data().Rollouts.at("assistant").Id;
  Run.WithChangeIds = false;
  Run.series("report_version_evidence", [&](std::uint64_t Number) {
    return report_version_evidence{
        Id, "entry-" + text(Number % 1000), Number + 1, {{"1", 10}, {"0", 90}}};
  });
}

auto measureNodeUpdate(measurement &Run) -> void {
  const auto Begin = std::chrono::steady_clock::now();
  const auto Updates = Run.State.updatesSince(revision::none);
  const std::chrono::duration<double, std::milli> Time =
      std::chrono::steady_clock::now() - Begin;
  std::size_t Bytes = 0;
  for (const auto &Update : Updates)
    Bytes += Update.Payload.size();
  const auto Shared = static_cast<double>(Run.State.sharedContent().size());
  const auto Base = Run.State.currentRevision();
  Run.State.apply(
      {"one", "operator-1", StartMs, StartMs, drain_backend{"engine-1", false}},
      ++Run.Index);
  const auto Delta = Run.State.updatesSince(Base).front().Payload.size();
  const auto Before = heapBytes();
  catalogue_view View;
  for (auto Update : Updates) {
    Update.Epoch = epoch{1};
    (void)View.apply(Update, {}).ok();
  }
  Run.Report["node"] = {
      {"snapshot_ms", Time.count()},
      {"snapshot_chunks", Updates.size()},
      {"snapshot_bytes_per_entry", static_cast<double>(Bytes) / Shared},
      {"delta_bytes_of_one_backend", Delta},
      {"view_heap_bytes_per_entry", (heapBytes() - Before) / Shared}};
}

auto measureSnapshot(measurement &Run) -> void {
  const auto Begin = std::chrono::steady_clock::now();
  const auto Bytes = Run.State.encodeSnapshot();
  const auto Middle = std::chrono::steady_clock::now();
  const auto Decoded = catalogue_state::decodeSnapshot(Bytes).ok();
  const auto End = std::chrono::steady_clock::now();
  using milliseconds = std::chrono::duration<double, std::milli>;
  Run.Report["snapshot"] = {{"bytes", Bytes.size()},
                            {"decoded", Decoded},
                            {"encode_ms", milliseconds(Middle - Begin).count()},
                            {"decode_ms", milliseconds(End - Middle).count()}};
}

/// Measures the command that triggers a sweep, without and with expired data.
auto measureSweeps(measurement &Run) -> void {
  const auto Sweep = [&](std::uint64_t TimeMs) {
    const auto Begin = std::chrono::steady_clock::now();
    Run.State.apply({"", "entry-1", TimeMs, TimeMs, record_usage{}},
                    ++Run.Index);
    const std::chrono::duration<double, std::milli> Time =
        std::chrono::steady_clock::now() - Begin;
    return Time.count();
  };
  Run.Report["sweep"] = {
      {"nothing_old_ms", Sweep(StartMs + SweepIntervalMs)},
      {"all_old_ms", Sweep(StartMs + RetentionMs + 2 * SweepIntervalMs)}};
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  const auto Items = Count > 1 ? std::strtoull(Arguments[1], nullptr, 10) : 0;
  measurement Run(Items == 0 ? 10'000 : Items);
  Run.Report["items"] = Run.Count;
  measureEntries(Run);
  measureRequestPath(Run);
  measureRollouts(Run);
  measureNodeUpdate(Run);
  measureSnapshot(Run);
  measureSweeps(Run);
  std::puts(printJson(Run.Report, 2).c_str());
  return 0;
}
