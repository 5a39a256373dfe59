/// \file Blackboard of answer lengths, with bounded memory.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace acacianotch {

/// Discounted mean of answer lengths.
struct length_record {
  double Tokens = 0; ///< Mean output tokens.
  double Weight = 0; ///< Answers that the mean is worth.
};

/// Records by hashed key; the least recently used one is dropped when full.
class length_board {
public:
  explicit length_board(std::size_t Limit) : Capacity(Limit) {}

  /// \return the record of \p Key, or a null pointer. Does not count as use.
  [[nodiscard]] auto find(std::uint64_t Key) const -> const length_record *;

  /// \return the record of \p Key, created if needed; counts as use.
  [[nodiscard]] auto use(std::uint64_t Key) -> length_record &;

  /// \return the number of records.
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
