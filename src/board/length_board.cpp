/// \file Blackboard of answer lengths, bounded by least-recently-used eviction.
#include "board/length_board.h"

namespace acacianotch {

auto length_board::find(std::uint64_t Key) const -> const length_record * {
  const auto Found = Index.find(Key);
  return Found == Index.end() ? nullptr : &Found->second->Record;
}

auto length_board::findOrInsert(std::uint64_t Key) -> length_record & {
  if (const auto Found = Index.find(Key); Found != Index.end()) {
    Items.splice(Items.begin(), Items, Found->second);
    return Items.front().Record;
  }
  if (Index.size() >= Capacity) {
    Index.erase(Items.back().Key);
    Items.pop_back();
  }
  Items.push_front({Key, {}});
  Index.emplace(Key, Items.begin());
  return Items.front().Record;
}

} // namespace acacianotch
