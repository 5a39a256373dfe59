/// \file Implementation of the in-memory log.
#include "replication/log_view.h"

#include "replication/codec.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <string>
#include <utility>

namespace acacianotch {

log_view::log_view(snapshot Snapshot)
    : BaseSnapshot(std::move(Snapshot)), Start{BaseSnapshot.Index,
                                               BaseSnapshot.Term},
      Memberships{{BaseSnapshot.Index, BaseSnapshot.Members}} {}

auto log_view::create(snapshot BaseSnapshot, std::vector<log_record> Records)
    -> result<log_view> {
  log_view View(std::move(BaseSnapshot));
  for (auto &Record : Records) {
    const auto Last = View.last();
    if (Record.Index != Last.Index + 1 || Record.Term < Last.Term)
      return failure::of(errc::corrupt_data, "log record " +
                                                 std::to_string(Record.Index) +
                                                 " does not follow record " +
                                                 std::to_string(Last.Index));
    if (auto Outcome = View.append(std::move(Record)); !Outcome)
      return Outcome.error();
  }
  return View;
}

auto log_view::last() const -> log_position {
  if (Records.empty())
    return Start;
  return {Records.back().Index, Records.back().Term};
}

auto log_view::termAt(log_index Index) const -> std::optional<log_term> {
  if (Index == Start.Index)
    return Start.Term;
  if (Index < Start.Index || Index > last().Index)
    return std::nullopt;
  return at(Index).Term;
}

auto log_view::at(log_index Index) const -> const log_record & {
  assert(Index > Start.Index && Index <= last().Index);
  return Records[Index - Start.Index - 1];
}

auto log_view::append(log_record Record) -> result<void> {
  assert(Record.Index == last().Index + 1);
  if (Record.Kind == record_kind::membership) {
    auto Members = decodeMembership(Record.Payload);
    if (!Members)
      return Members.error();
    Memberships.push_back({Record.Index, std::move(*Members)});
  }
  Records.push_back(std::move(Record));
  return {};
}

auto log_view::truncate(log_index From) -> void {
  assert(From > BaseSnapshot.Index);
  while (!Records.empty() && Records.back().Index >= From)
    Records.pop_back();
  while (Memberships.back().Index >= From)
    Memberships.pop_back();
}

auto log_view::membersAt(log_index Index) const -> const membership & {
  const auto NextChange =
      std::find_if(Memberships.begin(), Memberships.end(),
                   [Index](const membership_change &Change) {
                     return Change.Index > Index;
                   });
  assert(NextChange != Memberships.begin());
  return std::prev(NextChange)->Members;
}

auto log_view::compact(log_index Index, std::shared_ptr<const std::string> Data,
                       log_index TrailingRecords, std::size_t TrailingBytes)
    -> void {
  assert(Index >= BaseSnapshot.Index && termAt(Index).has_value());
  BaseSnapshot = {Index, *termAt(Index), membersAt(Index), std::move(Data)};
  auto LastDropped = Index - std::min(Index, TrailingRecords);
  std::size_t Bytes = 0;
  for (auto Kept = Index; Kept > std::max(LastDropped, Start.Index); --Kept) {
    Bytes += at(Kept).Payload.size();
    if (Bytes > TrailingBytes)
      LastDropped = Kept;
  }
  while (!Records.empty() && Records.front().Index <= LastDropped) {
    Start = {Records.front().Index, Records.front().Term};
    Records.pop_front();
  }
  while (Memberships.size() > 1 && Memberships[1].Index <= Index)
    Memberships.erase(Memberships.begin());
}

auto log_view::install(snapshot Snapshot) -> void {
  if (termAt(Snapshot.Index) != Snapshot.Term) {
    *this = log_view(std::move(Snapshot));
    return;
  }
  const auto Index = Snapshot.Index;
  compact(Index, std::move(Snapshot.Data), 0, 0);
}

auto log_view::slice(log_index From, log_index To, std::size_t MaxBytes) const
    -> std::vector<log_record> {
  std::vector<log_record> Slice;
  std::size_t Bytes = 0;
  for (auto Index = From; Index <= To; ++Index) {
    const auto &Record = at(Index);
    Bytes += Record.Payload.size();
    if (!Slice.empty() && Bytes > MaxBytes)
      break;
    Slice.push_back(Record);
  }
  return Slice;
}

} // namespace acacianotch
