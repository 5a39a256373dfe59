/// \file The platform's list of backend servers between processes.
#include "node/backend_list.h"

#include "core/log_func.h"
#include "net/kj_func.h"

#include <set>

namespace acacianotch {

namespace {

/// Removals that are remembered; a node that lacks an older one gets the whole
/// list again.
constexpr std::size_t MaxRemovals = 4096;

/// Gives texts that occur in many rows a number.
class text_table {
public:
  auto number(const std::string &Text) -> std::uint16_t {
    const auto [Place, Added] =
        Numbers.try_emplace(Text, static_cast<std::uint16_t>(Texts.size()));
    if (Added)
      Texts.push_back(Text);
    return Place->second;
  }

  [[nodiscard]] auto texts() const -> const std::vector<std::string> & {
    return Texts;
  }

private:
  std::map<std::string, std::uint16_t> Numbers;
  std::vector<std::string> Texts;
};

auto writeTexts(capnp::List<capnp::Text>::Builder Out,
                const std::vector<std::string> &Texts) -> void {
  for (unsigned Index = 0; Index < Out.size(); ++Index)
    Out.set(Index, Texts[Index].c_str());
}

auto writeRow(wire::BackendRow::Builder Out, const backend_record &Row,
              text_table &Table) -> void {
  Out.setId(Row.Id.c_str());
  Out.setAddress(Row.Address.text().c_str());
  Out.setService(Table.number(Row.Service));
  Out.setZone(Table.number(Row.Zone));
  Out.setVersion(Table.number(Row.Version));
  Out.setSlots(Row.Slots);
  Out.setLeaving(Row.Leaving);
  Out.setStartedMs(Row.StartedMs);
}

auto readRow(wire::BackendRow::Reader In, const std::vector<std::string> &Texts)
    -> std::optional<backend_record> {
  const auto Address = parseAddress(toString(In.getAddress()));
  const auto Known = In.getService() < Texts.size() &&
                     In.getZone() < Texts.size() &&
                     In.getVersion() < Texts.size();
  if (!Address || !Known)
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
  return Row;
}

} // namespace

auto backend_list::note(const std::string &Id) -> std::uint64_t {
  Changes.emplace(++Number, Id);
  return Number;
}

auto backend_list::take(std::vector<backend_record> Read, time_point Now)
    -> bool {
  ReadAt = Now;
  const auto Before = Number;
  // An empty first list is a list as well.
  if (Number == 0)
    ++Number;
  std::set<std::string> Present;
  for (auto &Record : Read) {
    Record.Warmup = duration::zero();
    Present.insert(Record.Id);
    auto &Row = Rows[Record.Id];
    if (Row.Number != 0 && Row.Record == Record)
      continue;
    Changes.erase(Row.Number);
    Row.Number = note(Record.Id);
    Row.Record = std::move(Record);
  }
  for (auto Place = Rows.begin(); Place != Rows.end();) {
    if (Present.contains(Place->first)) {
      ++Place;
      continue;
    }
    Changes.erase(Place->second.Number);
    note(Place->first);
    ++Removals;
    Place = Rows.erase(Place);
  }
  trim();
  return Number != Before;
}

auto backend_list::trim() -> void {
  for (auto Place = Changes.begin();
       Removals > MaxRemovals && Place != Changes.end();) {
    const auto Row = Rows.find(Place->second);
    const auto Removed =
        Row == Rows.end() || Row->second.Number != Place->first;
    if (!Removed) {
      ++Place;
      continue;
    }
    Dropped = Place->first;
    --Removals;
    Place = Changes.erase(Place);
  }
}

auto backend_list::changesAfter(std::uint64_t &Since, std::size_t Limit) const
    -> backend_changes {
  backend_changes Part;
  Part.Whole = Since == 0 || Since < Dropped;
  if (Part.Whole)
    Since = 0;
  auto Place = Changes.upper_bound(Since);
  for (; Place != Changes.end() && Limit > 0; ++Place, --Limit) {
    Since = Place->first;
    const auto Row = Rows.find(Place->second);
    if (Row != Rows.end() && Row->second.Number == Place->first)
      Part.Rows.push_back(Row->second.Record);
    else
      Part.Removed.push_back(Place->second);
  }
  Part.Complete = Place == Changes.end();
  if (Part.Complete)
    Since = Number;
  return Part;
}

auto writeBackends(wire::BackendList::Builder Out,
                   const backend_changes &Changes, duration Age) -> void {
  Out.setAgeMs(static_cast<std::uint32_t>(Age / std::chrono::milliseconds(1)));
  Out.setWhole(Changes.Whole);
  Out.setComplete(Changes.Complete);
  text_table Table;
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
  for (const auto Each : In.getRows()) {
    auto Row = readRow(Each, Texts);
    if (!Row) {
      logWarning(log_category::placement, "skipped a backend server's address",
                 {{"backend", toString(Each.getId())}});
      continue;
    }
    Changes.Rows.push_back(std::move(*Row));
  }
  for (const auto Id : In.getRemoved())
    Changes.Removed.push_back(toString(Id));
  return Changes;
}

} // namespace acacianotch
