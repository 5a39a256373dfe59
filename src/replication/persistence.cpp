/// \file Recovery of the durable state from disk.
#include "replication/persistence.h"

#include <algorithm>
#include <utility>

namespace acacianotch {

namespace {

/// Appends \p Record and removes the records that it replaces.
auto replayRecord(std::vector<log_record> &Records, log_record Record)
    -> result<void> {
  while (!Records.empty() && Records.back().Index >= Record.Index)
    Records.pop_back();
  if (!Records.empty() && Records.back().Index + 1 != Record.Index)
    return failure::of(errc::corrupt_data, "log file lacks the record before " +
                                               std::to_string(Record.Index));
  Records.push_back(std::move(Record));
  return {};
}

/// Removes the records that the snapshot covers. They remain in the log file
/// after a crash between the writes of the snapshot and the log. If the log
/// does not contain the last record of the snapshot, its records may conflict
/// with the snapshot, so all are removed. The log file still contains the
/// removed records, so it is marked as outdated.
auto removeCoveredRecords(durable_state &Durable) -> result<void> {
  auto &Records = Durable.Records;
  const auto &BaseSnapshot = Durable.BaseSnapshot;
  if (Records.empty() || Records.front().Index == BaseSnapshot.Index + 1)
    return {};
  if (Records.front().Index > BaseSnapshot.Index + 1)
    return failure::of(
        errc::corrupt_data,
        "log file starts at record " + std::to_string(Records.front().Index) +
            " but the snapshot ends at " + std::to_string(BaseSnapshot.Index));
  Durable.LogOutdated = true;
  const auto Last = std::find_if(Records.begin(), Records.end(),
                                 [&](const log_record &Record) {
                                   return Record.Index == BaseSnapshot.Index;
                                 });
  const auto Continues =
      Last != Records.end() && Last->Term == BaseSnapshot.Term;
  Records.erase(Records.begin(), Continues ? Last + 1 : Records.end());
  return {};
}

/// Raises the term to at least \p Term, without a vote: a vote is durable
/// before it is sent, so this replica has not voted in a term that is known
/// only from records or the snapshot.
auto raiseTerm(term_state &State, log_term Term) -> void {
  if (Term > State.Term)
    State = {Term, replica_id::none};
}

} // namespace

auto recover(const std::optional<std::string> &Snapshot,
             const std::vector<std::string> &Frames) -> result<durable_state> {
  durable_state Durable;
  if (Snapshot) {
    auto BaseSnapshot = decodeSnapshot(*Snapshot);
    if (!BaseSnapshot)
      return BaseSnapshot.error();
    Durable.BaseSnapshot = std::move(*BaseSnapshot);
  }
  for (const auto &Encoded : Frames) {
    auto Frame = decodeFrame(Encoded);
    if (!Frame)
      return Frame.error();
    if (auto *State = std::get_if<term_state>(&*Frame)) {
      Durable.State = *State;
      continue;
    }
    auto Outcome =
        replayRecord(Durable.Records, std::get<log_record>(std::move(*Frame)));
    if (!Outcome)
      return Outcome.error();
  }
  if (auto Outcome = removeCoveredRecords(Durable); !Outcome)
    return Outcome.error();
  raiseTerm(Durable.State, Durable.BaseSnapshot.Term);
  if (!Durable.Records.empty())
    raiseTerm(Durable.State, Durable.Records.back().Term);
  return Durable;
}

} // namespace acacianotch
