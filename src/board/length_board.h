/// \file Blackboard of answer lengths, bounded by least-recently-used eviction.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace acacianotch {

/// Exponentially weighted mean of answer lengths.
struct length_record {
  double Tokens = 0; ///< Mean output tokens.
  double Weight = 0; ///< Weight of the mean in answers.
};

/// Records by hashed key. When full, the least recently used one is evicted.
class length_board {
public:
  explicit length_board(std::size_t Limit) : Capacity(Limit) {}

  /// \return the record of \p Key or null; does not count as use.
  [[nodiscard]] auto find(std::uint64_t Key) const -> const length_record *;

  /// \return the record of \p Key, inserted if absent; counts as use.
  [[nodiscard]] auto findOrInsert(std::uint64_t Key) -> length_record &;

  [[nodiscard]] auto size() const -> std::size_t { return Index.size(); }

private:
  struct item {
    std::uint64_t Key = 0;
    length_record Record;
  };

  std::size_t Capacity;
  std::list<item> Items; ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<item>::iterator> Index;
};

} // namespace acacianotch
