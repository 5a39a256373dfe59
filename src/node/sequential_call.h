/// \file At most one call at a time.
#pragma once

#include <kj/async.h>

#include <functional>

namespace acacianotch {

/// Runs one promise at a time and tells whether one is running.
class sequential_call {
public:
  [[nodiscard]] auto running() const -> bool { return Running; }

  /// Starts \p Promise, which must not fail; call only if not running().
  template <typename value_type, typename handler_type>
  auto start(kj::Promise<value_type> &&Promise, handler_type Handler) -> void {
    Running = true;
    // The previous promise has ended and can be freed by this assignment.
    Call = Promise
               .then([this, Handler](value_type &&Value) mutable {
                 Running = false;
                 Handler(kj::mv(Value));
               })
               .eagerlyEvaluate(nullptr);
  }

private:
  bool Running = false;
  kj::Maybe<kj::Promise<void>> Call;
};

} // namespace acacianotch
