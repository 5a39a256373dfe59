/// \file A share of a memory budget that keeps the budget alive.
#pragma once

#include "core/memory_budget.h"

#include <memory>
#include <utility>

namespace acacianotch {

/// A share whose holder may outlive the other users of the budget, as objects
/// do that wait in the event loop for their end.
class memory_charge {
public:
  explicit memory_charge(std::shared_ptr<memory_budget> TheBudget)
      : Budget(std::move(TheBudget)), Share(*Budget) {}

  auto resize(std::size_t Bytes) -> void { Share.resize(Bytes); }

  [[nodiscard]] auto bytes() const -> std::size_t { return Share.bytes(); }

  [[nodiscard]] auto budget() const -> const memory_budget & { return *Budget; }

private:
  std::shared_ptr<memory_budget> Budget;
  memory_budget::share Share;
};

} // namespace acacianotch
