/// \file Memory that a process uses for what peers have sent or not yet read.
#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>

namespace acacianotch {

/// Counts bytes against a limit, and against the limit of a parent that several
/// budgets draw on. Limits are not enforced here; users ask full() before they
/// take more and decide what to drop.
class memory_budget {
public:
  explicit memory_budget(std::size_t TheLimit,
                         memory_budget *TheParent = nullptr)
      : Limit(TheLimit), Parent(TheParent) {}
  memory_budget(const memory_budget &) = delete;
  auto operator=(const memory_budget &) -> memory_budget & = delete;

  /// What one connection or answer uses; returned when the share ends. The
  /// budget outlives its shares.
  class share {
  public:
    explicit share(memory_budget &TheOwner) : Owner(TheOwner) {}
    ~share() { resize(0); }
    share(const share &) = delete;
    auto operator=(const share &) -> share & = delete;

    auto resize(std::size_t NewBytes) -> void {
      Owner.change(std::exchange(Bytes, NewBytes), NewBytes);
    }

    [[nodiscard]] auto bytes() const -> std::size_t { return Bytes; }

  private:
    memory_budget &Owner;
    std::size_t Bytes = 0;
  };

  auto setLimit(std::size_t NewLimit) -> void { Limit = NewLimit; }

  /// \return whether nothing more should be taken.
  [[nodiscard]] auto full() const -> bool {
    return Used >= Limit || (Parent != nullptr && Parent->full());
  }

  [[nodiscard]] auto used() const -> std::size_t { return Used; }

  /// \return the largest number of bytes that were used at the same time.
  [[nodiscard]] auto largest() const -> std::size_t { return Largest; }

  [[nodiscard]] auto limit() const -> std::size_t { return Limit; }

private:
  auto change(std::size_t Before, std::size_t After) -> void {
    Used += After - Before;
    Largest = std::max(Largest, Used);
    if (Parent != nullptr)
      Parent->change(Before, After);
  }

  std::size_t Limit;
  memory_budget *Parent;
  std::size_t Used = 0;
  std::size_t Largest = 0;
};

} // namespace acacianotch
