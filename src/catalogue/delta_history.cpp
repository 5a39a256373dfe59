/// \file Bounded history of changed keys.
#include "catalogue/delta_history.h"

#include <algorithm>
#include <set>
#include <utility>

namespace acacianotch {

auto delta_history::add(revision Revision, std::vector<std::string> Keys)
    -> void {
  Rows.push_back({Revision, std::move(Keys)});
  if (Rows.size() <= Retained)
    return;
  Floor = Rows.front().Revision;
  Rows.pop_front();
}

auto delta_history::restart(revision Revision) -> void {
  Rows.clear();
  Floor = Revision;
}

auto delta_history::keysSince(revision Base) const
    -> std::optional<std::vector<std::string>> {
  if (Base < Floor)
    return std::nullopt;
  const auto First = std::upper_bound(
      Rows.begin(), Rows.end(), Base,
      [](revision Value, const row &Row) { return Value < Row.Revision; });
  std::set<std::string> Keys;
  for (auto Row = First; Row != Rows.end(); ++Row)
    Keys.insert(Row->Keys.begin(), Row->Keys.end());
  return std::vector<std::string>(Keys.begin(), Keys.end());
}

} // namespace acacianotch
