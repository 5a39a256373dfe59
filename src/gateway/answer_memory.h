/// \file Memory that a gateway uses for answers that are not complete.
#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>

namespace acacianotch {

/// Counts the bytes of all answers that are held back. The limit is not
/// enforced here: once it is reached, answers are passed on as they arrive.
class answer_memory {
public:
  explicit answer_memory(std::size_t TheLimit) : Limit(TheLimit) {}
  answer_memory(const answer_memory &) = delete;
  auto operator=(const answer_memory &) -> answer_memory & = delete;

  /// What one answer uses; returned when the share ends.
  class share {
  public:
    explicit share(answer_memory &TheOwner) : Owner(TheOwner) {}
    ~share() { resize(0); }
    share(const share &) = delete;
    auto operator=(const share &) -> share & = delete;

    auto resize(std::size_t NewBytes) -> void {
      Owner.Used -= std::exchange(Bytes, NewBytes);
      Owner.Used += NewBytes;
      Owner.Largest = std::max(Owner.Largest, Owner.Used);
    }

  private:
    answer_memory &Owner;
    std::size_t Bytes = 0;
  };

  auto setLimit(std::size_t NewLimit) -> void { Limit = NewLimit; }

  /// \return whether no further bytes should be held back.
  [[nodiscard]] auto full() const -> bool { return Used >= Limit; }

  [[nodiscard]] auto used() const -> std::size_t { return Used; }

  /// \return the largest number of bytes that were used at the same time.
  [[nodiscard]] auto largest() const -> std::size_t { return Largest; }

  [[nodiscard]] auto limit() const -> std::size_t { return Limit; }

private:
  std::size_t Limit;
  std::size_t Used = 0;
  std::size_t Largest = 0;
};

} // namespace acacianotch
