/// \file Blackboard of the backend servers of one entry.
#include "board/backend_board.h"

#include <cassert>

namespace acacianotch {

namespace {

auto saturatingDifference(std::uint32_t Total, std::uint32_t Own)
    -> std::uint32_t {
  return Total > Own ? Total - Own : 0;
}

} // namespace

auto backend_board::newRow() -> std::uint32_t {
  if (!Free.empty()) {
    const auto Index = Free.back();
    Free.pop_back();
    return Index;
  }
  Rows.emplace_back();
  return static_cast<std::uint32_t>(Rows.size() - 1);
}

auto backend_board::put(const backend_facts &Facts) -> backend_handle {
  if (const auto Known = find(Facts.Id)) {
    auto &Row = Rows[Known->Index];
    const bool WasEligible = Row.eligible();
    Row.Facts = Facts;
    if (Row.eligible() != WasEligible)
      ++EligibilityRevision;
    return *Known;
  }
  const auto Index = newRow();
  auto &Row = Rows[Index];
  const auto Generation = Row.Generation + 1;
  Row = backend_row{};
  Row.Facts = Facts;
  Row.Generation = Generation;
  const backend_handle Handle{Index, Generation};
  Handles.emplace(Facts.Id, Handle);
  ++EligibilityRevision;
  return Handle;
}

auto backend_board::remove(const backend_id &Id) -> void {
  const auto Found = Handles.find(Id);
  if (Found == Handles.end())
    return;
  auto &Row = Rows[Found->second.Index];
  Row.Removed = true;
  ++EligibilityRevision;
  if (Row.InFlight == 0)
    Free.push_back(Found->second.Index);
  Handles.erase(Found);
}

auto backend_board::find(const backend_id &Id) const
    -> std::optional<backend_handle> {
  const auto Found = Handles.find(Id);
  if (Found == Handles.end())
    return std::nullopt;
  return Found->second;
}

auto backend_board::row(backend_handle Handle) const -> const backend_row * {
  if (Handle.Index >= Rows.size())
    return nullptr;
  const auto &Row = Rows[Handle.Index];
  return Row.Generation == Handle.Generation ? &Row : nullptr;
}

auto backend_board::mutableRow(backend_handle Handle) -> backend_row * {
  return const_cast<backend_row *>(row(Handle));
}

auto backend_board::eligible(backend_handle Handle) const -> bool {
  const auto *Row = row(Handle);
  return Row != nullptr && Row->eligible();
}

auto backend_board::started(backend_handle Handle, bool Long) -> void {
  auto *Row = mutableRow(Handle);
  if (Row == nullptr)
    return;
  ++Row->InFlight;
  Row->InFlightLong += Long ? 1 : 0;
}

auto backend_board::finished(backend_handle Handle, bool Long,
                             const std::optional<load_report> &Report,
                             time_point Now) -> void {
  auto *Row = mutableRow(Handle);
  if (Row == nullptr)
    return;
  assert(Row->InFlight > 0);
  --Row->InFlight;
  Row->InFlightLong -= Long ? 1 : 0;
  if (Report)
    reported(Handle, *Report, Now);
  if (Row->Removed && Row->InFlight == 0)
    Free.push_back(Handle.Index);
}

auto backend_board::reported(backend_handle Handle, const load_report &Report,
                             time_point Now) -> void {
  auto *Row = mutableRow(Handle);
  if (Row == nullptr)
    return;
  Row->OtherLoad =
      saturatingDifference(Report.Running + Report.Queued, Row->InFlight);
  Row->OtherLongLoad = saturatingDifference(Report.Long, Row->InFlightLong);
  Row->ReportedAt = Now;
  if (Report.Slots > 0)
    Row->Facts.Slots = Report.Slots;
  // A report never clears the flag: the catalogue may mark the backend server
  // as draining before its agent does.
  if (Report.Leaving)
    setLeaving(*Row, true);
}

auto backend_board::setLeaving(backend_row &Row, bool Leaving) -> void {
  if (Row.Facts.Leaving == Leaving)
    return;
  Row.Facts.Leaving = Leaving;
  ++EligibilityRevision;
}

auto backend_board::eject(backend_handle Handle) -> void {
  auto *Row = mutableRow(Handle);
  if (Row == nullptr)
    return;
  ++Row->Ejections;
  ++EligibilityRevision;
}

auto backend_board::restore(backend_handle Handle) -> void {
  auto *Row = mutableRow(Handle);
  if (Row == nullptr || Row->Ejections == 0)
    return;
  --Row->Ejections;
  ++EligibilityRevision;
}

} // namespace acacianotch
