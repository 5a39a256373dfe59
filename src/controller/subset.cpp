/// \file Subset of a pool that one entry uses, and its affinity ring.
#include "controller/subset.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <string_view>
#include <xxhash.h>

namespace acacianotch {

namespace {

struct scored_member {
  std::uint64_t Score;
  backend_handle Member;
};

auto hash(std::string_view Text, std::uint64_t Seed) -> std::uint64_t {
  return XXH64(Text.data(), Text.size(), Seed);
}

// Breaks ties by handle, so that the selection does not depend on the order of
// the input.
auto higher(const scored_member &Left, const scored_member &Right) -> bool {
  if (Left.Score != Right.Score)
    return Left.Score > Right.Score;
  return Left.Member < Right.Member;
}

auto selectHighest(std::vector<scored_member> &Scored, std::size_t Count)
    -> std::vector<backend_handle> {
  Count = std::min(Count, Scored.size());
  const auto Middle =
      std::next(Scored.begin(), static_cast<std::ptrdiff_t>(Count));
  std::partial_sort(Scored.begin(), Middle, Scored.end(), higher);
  std::vector<backend_handle> Selected;
  Selected.reserve(Count);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Selected.push_back(Scored[Index].Member);
  return Selected;
}

} // namespace

auto subsetSize(std::size_t Backends, const subset_settings &Settings)
    -> std::size_t {
  const std::size_t Entries = std::max(1U, Settings.Entries);
  const auto Covered = (Backends * Settings.Coverage + Entries - 1) / Entries;
  return std::min(Backends, std::max<std::size_t>(Settings.MinSize, Covered));
}

auto affinity_ring::rebuild(const backend_board &Board,
                            std::span<const backend_handle> Members,
                            std::uint32_t PointsPerMember) -> void {
  Points.clear();
  Points.reserve(Members.size() * PointsPerMember);
  for (const auto Member : Members) {
    const auto &Name = Board.row(Member)->Facts.Id.Text;
    for (std::uint32_t Index = 0; Index < PointsPerMember; ++Index)
      Points.push_back({hash(Name, Index), Member});
  }
  std::sort(Points.begin(), Points.end(),
            [](const point &Left, const point &Right) {
              return Left.Hash < Right.Hash;
            });
}

auto affinity_ring::seek(std::uint64_t Key, std::uint64_t &Steps) const
    -> cursor {
  const auto Found = std::partition_point(Points.begin(), Points.end(),
                                          [&](const point &Point) {
                                            ++Steps;
                                            return Point.Hash < Key;
                                          });
  return {static_cast<std::size_t>(Found - Points.begin()), std::nullopt};
}

auto affinity_ring::next(cursor &Cursor, std::uint64_t &Steps) const
    -> std::optional<backend_handle> {
  for (std::size_t Try = 0; Try < Points.size(); ++Try) {
    ++Steps;
    const auto Member = Points[Cursor.Position % Points.size()].Member;
    ++Cursor.Position;
    if (Cursor.Previous == Member)
      continue;
    Cursor.Previous = Member;
    return Member;
  }
  return std::nullopt;
}

auto backend_subset::rebuild(const backend_board &Board,
                             std::span<const backend_handle> Members,
                             const subset_settings &Settings) -> void {
  const auto Seed = hash(Entry.Text, 0);
  std::vector<scored_member> LocalScored;
  std::vector<scored_member> RemoteScored;
  for (const auto Member : Members) {
    const auto *Row = Board.row(Member);
    if (Row == nullptr || Row->Removed || Row->Facts.Leaving)
      continue;
    auto &Tier = Row->Facts.Zone == Zone ? LocalScored : RemoteScored;
    Tier.push_back({hash(Row->Facts.Id.Text, Seed), Member});
  }
  Local = selectHighest(LocalScored, subsetSize(LocalScored.size(), Settings));
  const auto Missing =
      Settings.MinSize > Local.size() ? Settings.MinSize - Local.size() : 0;
  Remote = selectHighest(RemoteScored,
                         std::max<std::size_t>(Missing, Settings.SpillSize));
  All = Local;
  All.insert(All.end(), Remote.begin(), Remote.end());
  // A cached prefix saves more time than a hop between zones costs, so the ring
  // of a pool that is small in the own zone includes remote members.
  auto OnRing = Local;
  if (Missing > 0)
    OnRing.insert(OnRing.end(), Remote.begin(), Remote.end());
  Ring.rebuild(Board, OnRing, Settings.RingPoints);
}

} // namespace acacianotch
