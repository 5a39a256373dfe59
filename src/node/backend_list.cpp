/// \file Replication of the platform's list of backend servers to nodes.
#include "node/backend_list.h"

#include "catalogue/routing_type.h"
#include "core/log_func.h"
#include "net/kj_func.h"

#include <algorithm>
#include <set>

namespace acacianotch {

namespace {

/// Number of removals that are kept for incremental updates. A node that lacks
/// an older one gets the full list.
constexpr std::size_t MaxRemovalHistory = 4096;

/// String table: texts that occur in many rows are sent once and referred to by
/// index.
class string_table {
public:
  auto indexOf(const std::string &Text) -> std::uint16_t {
    const auto [Position, Added] =
        Indexes.try_emplace(Text, static_cast<std::uint16_t>(Texts.size()));
    if (Added)
      Texts.push_back(Text);
    return Position->second;
  }

  [[nodiscard]] auto texts() const -> const std::vector<std::string> & {
    return Texts;
  }

private:
  std::map<std::string, std::uint16_t> Indexes;
  std::vector<std::string> Texts;
};

auto writeTexts(capnp::List<capnp::Text>::Builder Out,
                const std::vector<std::string> &Texts) -> void {
  for (unsigned Index = 0; Index < Out.size(); ++Index)
    Out.set(Index, Texts[Index].c_str());
}

auto writeRow(wire::BackendRow::Builder Out, const backend_record &Row,
              string_table &Table) -> void {
  Out.setId(Row.Id.c_str());
  Out.setAddress(Row.Address.text().c_str());
  Out.setService(Table.indexOf(Row.Service));
  Out.setZone(Table.indexOf(Row.Zone));
  Out.setVersion(Table.indexOf(Row.Version));
  Out.setSlots(Row.Slots);
  Out.setLeaving(Row.Leaving);
  Out.setStartedMs(Row.StartedMs);
  Out.setCold(Row.Cold);
}

auto readRow(wire::BackendRow::Reader In, const std::vector<std::string> &Texts)
    -> std::optional<backend_record> {
  const auto Address = parseAddress(toString(In.getAddress()));
  const auto ValidIndexes = In.getService() < Texts.size() &&
                            In.getZone() < Texts.size() &&
                            In.getVersion() < Texts.size();
  if (!Address || !ValidIndexes)
    return std::nullopt;
  backend_record Row;
  Row.Id = toString(In.getId());
  Row.Service = Texts[In.getService()];
  Row.Address = *Address;
  Row.Zone = Texts[In.getZone()];
  Row.Version = Texts[In.getVersion()];
  Row.Slots = In.getSlots();
  Row.Leaving = In.getLeaving();
  Row.StartedMs = In.getStartedMs();
  Row.Cold = In.getCold();
  return Row;
}

} // namespace

auto backend_list::recordChange(const std::string &Id) -> std::uint64_t {
  Changes.emplace(++Number, Id);
  return Number;
}

auto backend_list::replaceRows(std::vector<backend_record> Read, time_point Now)
    -> bool {
  ReadAt = Now;
  const auto Before = Number;
  // 0 means that there is no list yet, so the first one gets a sequence number
  // even if it is empty.
  if (Number == 0)
    ++Number;
  std::set<std::string> Present;
  for (auto &Record : Read) {
    Present.insert(Record.Id);
    auto &Row = Rows[Record.Id];
    if (Row.Number != 0 && Row.Record == Record)
      continue;
    Changes.erase(Row.Number);
    Row.Number = recordChange(Record.Id);
    Row.Record = std::move(Record);
  }
  for (auto Position = Rows.begin(); Position != Rows.end();) {
    if (Present.contains(Position->first)) {
      ++Position;
      continue;
    }
    Changes.erase(Position->second.Number);
    recordChange(Position->first);
    ++Removals;
    Position = Rows.erase(Position);
  }
  dropOldRemovals();
  return Number != Before;
}

auto backend_list::dropOldRemovals() -> void {
  for (auto Position = Changes.begin();
       Removals > MaxRemovalHistory && Position != Changes.end();) {
    const auto Row = Rows.find(Position->second);
    const auto Removed =
        Row == Rows.end() || Row->second.Number != Position->first;
    if (!Removed) {
      ++Position;
      continue;
    }
    LastDroppedRemoval = Position->first;
    --Removals;
    Position = Changes.erase(Position);
  }
}

auto backend_list::countPredecessors(const service_rollout &Rollout) const
    -> std::size_t {
  const auto Stays = [&](const backend_record &Record) {
    return Record.Service == Rollout.Service && !Record.Leaving;
  };
  const auto FromRuns =
      std::any_of(Rows.begin(), Rows.end(), [&](const auto &Row) {
        const auto &Record = Row.second.Record;
        return Stays(Record) && Record.Version == Rollout.From;
      });
  return static_cast<std::size_t>(
      std::count_if(Rows.begin(), Rows.end(), [&](const auto &Row) {
        const auto &Record = Row.second.Record;
        return Stays(Record) && Rollout.precededBy(Record.Version, FromRuns);
      }));
}

auto backend_list::changesAfter(std::uint64_t &Since, std::size_t Limit) const
    -> backend_changes {
  backend_changes Part;
  Part.Whole = Since == 0 || Since < LastDroppedRemoval;
  if (Part.Whole)
    Since = 0;
  auto Position = Changes.upper_bound(Since);
  for (; Position != Changes.end() && Limit > 0; ++Position, --Limit) {
    Since = Position->first;
    const auto Row = Rows.find(Position->second);
    if (Row != Rows.end() && Row->second.Number == Position->first)
      Part.Rows.push_back(Row->second.Record);
    else
      Part.Removed.push_back(Position->second);
  }
  Part.Complete = Position == Changes.end();
  if (Part.Complete)
    Since = Number;
  return Part;
}

auto writeBackends(wire::BackendList::Builder Out,
                   const backend_changes &Changes, duration Age) -> void {
  Out.setAgeMs(static_cast<std::uint32_t>(Age / std::chrono::milliseconds(1)));
  Out.setWhole(Changes.Whole);
  Out.setComplete(Changes.Complete);
  string_table Table;
  auto Rows = Out.initRows(static_cast<unsigned>(Changes.Rows.size()));
  for (unsigned Index = 0; Index < Rows.size(); ++Index)
    writeRow(Rows[Index], Changes.Rows[Index], Table);
  writeTexts(Out.initTexts(static_cast<unsigned>(Table.texts().size())),
             Table.texts());
  writeTexts(Out.initRemoved(static_cast<unsigned>(Changes.Removed.size())),
             Changes.Removed);
}

auto readBackends(wire::BackendList::Reader In) -> backend_changes {
  backend_changes Changes;
  Changes.Whole = In.getWhole();
  Changes.Complete = In.getComplete();
  std::vector<std::string> Texts;
  for (const auto Text : In.getTexts())
    Texts.push_back(toString(Text));
  for (const auto Encoded : In.getRows()) {
    auto Row = readRow(Encoded, Texts);
    if (!Row) {
      logWarning(log_category::placement,
                 "skipped an invalid row of the backend server list",
                 {{"backend", toString(Encoded.getId())}});
      continue;
    }
    Changes.Rows.push_back(std::move(*Row));
  }
  for (const auto Id : In.getRemoved())
    Changes.Removed.push_back(toString(Id));
  return Changes;
}

} // namespace acacianotch
