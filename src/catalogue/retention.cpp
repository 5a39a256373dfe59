/// \file Change ids, and removal of data older than its retention.
#include "catalogue/cbor.h"
#include "catalogue/command_func.h"
#include "catalogue/update_type.h"

#include <xxhash.h>

#include <algorithm>

namespace acacianotch {

namespace {

constexpr std::uint64_t MonthsKept = 13;

/// A clock further ahead would let a resend pass as new after the change id is
/// forgotten.
constexpr std::uint64_t MaximumClockLeadMs = 3600ULL * 1000;

/// Digest of a command without its times, which differ between resends.
auto digestOf(const command &Command) -> std::uint64_t {
  auto Plain = Command;
  Plain.TimeMs = 0;
  Plain.IssuedMs = 0;
  const auto Bytes = encodeCommand(Plain);
  return XXH3_64bits(Bytes.data(), Bytes.size());
}

auto restore(const remembered_change &Change) -> command_result {
  auto Payload = decodeCbor(Change.Payload.Bytes);
  return {errcFromWire(Change.Code), Change.Detail, Change.Revision,
          Payload ? std::move(*Payload) : json(), true};
}

/// A change that was issued longer ago than change ids are remembered may be a
/// resend. The leader's clock decides, not the log time, so that one command
/// from a leader with a clock far ahead does not refuse all later changes.
auto checkIssued(const command &Command) -> std::optional<command_result> {
  if (!needsChangeId(Command))
    return std::nullopt;
  if (Command.IssuedMs == 0)
    return command_result::of(errc::bad_request, "missing key 'issued_ms'");
  if (Command.IssuedMs + RetentionMs < Command.TimeMs)
    return command_result::of(errc::bad_request,
                              "the change was issued more than 24 hours ago");
  if (Command.IssuedMs > Command.TimeMs + MaximumClockLeadMs)
    return command_result::of(errc::bad_request,
                              "the issuer's clock is over one hour ahead");
  return std::nullopt;
}

auto before(std::uint64_t NowMs, std::uint64_t Age) -> std::uint64_t {
  return NowMs > Age ? NowMs - Age : 0;
}

/// Keys of old claims stay refused. A released key never ran and needs no
/// memory.
auto sweepClaims(catalogue_data &Data, std::uint64_t NowMs) -> void {
  const auto BeforeMs = before(NowMs, RetentionMs);
  std::erase_if(Data.OldClaims,
                [&](const auto &Item) { return Item.second <= NowMs; });
  std::erase_if(Data.Claims, [&](const auto &Item) {
    const auto &[Key, Claim] = Item;
    if (Claim.LastMs >= BeforeMs)
      return false;
    if (Claim.State != claim_state::released)
      Data.OldClaims[oldClaimHash(Key)] = NowMs + OldClaimRetentionMs;
    return true;
  });
}

auto sweepLeases(catalogue_data &Data, std::uint64_t NowMs) -> void {
  for (auto &[Account, Leases] : Data.Leases)
    std::erase_if(Leases, [&](const budget_lease &Lease) {
      return Lease.UntilMs <= NowMs;
    });
  std::erase_if(Data.Leases,
                [](const auto &Item) { return Item.second.empty(); });
}

auto sweepCrashes(catalogue_data &Data, command_context &Context) -> void {
  const auto BeforeMs = before(Context.NowMs, RetentionMs);
  std::erase_if(Data.Crashes, [&](const auto &Item) {
    const auto &[Fingerprint, Record] = Item;
    if (Record.State == suspicion::quarantined || Record.LastMs >= BeforeMs)
      return false;
    if (Record.State == suspicion::suspect)
      Context.Changed.push_back(quarantineKey(Fingerprint));
    return true;
  });
}

auto sweepHistory(catalogue_data &Data, std::uint64_t NowMs) -> void {
  const auto BeforeMs = before(NowMs, OldClaimRetentionMs);
  std::erase_if(Data.History, [&](const auto &Item) {
    const auto &[Key, Rows] = Item;
    return !Data.Entries.contains(Key) &&
           (Rows.empty() || Rows.back().TimeMs < BeforeMs);
  });
}

auto sweepUsage(catalogue_data &Data, std::uint64_t NowMs) -> void {
  constexpr std::uint64_t LongestMonthMs = 31 * RetentionMs;
  const auto First = monthOf(before(NowMs, MonthsKept * LongestMonthMs));
  std::erase_if(Data.Usage,
                [&](const auto &Item) { return Item.first.Month < First; });
}

} // namespace

auto earlierResult(const catalogue_data &Data, const command_context &Context)
    -> std::optional<command_result> {
  const auto &Command = Context.Command;
  if (Command.ChangeId.empty()) {
    if (needsChangeId(Command))
      return command_result::of(errc::bad_request, "missing key 'change_id'");
    return std::nullopt;
  }
  const auto Place = Data.Changes.find(Command.ChangeId);
  if (Place != Data.Changes.end()) {
    if (Place->second.Digest != digestOf(Command))
      return command_result::of(errc::idempotency_conflict,
                                "the change id belongs to another change");
    return restore(Place->second);
  }
  return checkIssued(Command);
}

auto rememberResult(catalogue_data &Data, const command_context &Context,
                    const command_result &Result) -> void {
  const auto &Command = Context.Command;
  if (Command.ChangeId.empty())
    return;
  auto Payload =
      Result.Payload.is_null() ? blob() : blob{encodeCbor(Result.Payload)};
  Data.Changes.insert_or_assign(
      Command.ChangeId,
      remembered_change{digestOf(Command), Context.NowMs,
                        static_cast<std::uint16_t>(Result.Code), Result.Detail,
                        Result.Revision, std::move(Payload)});
}

auto sweep(catalogue_data &Data, command_context &Context) -> void {
  const auto NowMs = Context.NowMs;
  if (NowMs - Data.SweptMs < SweepIntervalMs)
    return;
  Data.SweptMs = NowMs;
  const auto BeforeMs = before(NowMs, RetentionMs);
  sweepClaims(Data, NowMs);
  sweepLeases(Data, NowMs);
  sweepCrashes(Data, Context);
  sweepHistory(Data, NowMs);
  sweepUsage(Data, NowMs);
  Data.Recorded.expire(BeforeMs, before(NowMs, OldClaimRetentionMs));
  std::erase_if(Data.Changes, [&](const auto &Item) {
    return Item.second.TimeMs < BeforeMs;
  });
}

} // namespace acacianotch
