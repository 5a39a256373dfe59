/// \file Runs at most one asynchronous call at a time.
#pragma once

#include <kj/async.h>

#include <functional>

namespace acacianotch {

/// Runs one promise at a time.
class sequential_call {
public:
  [[nodiscard]] auto running() const -> bool { return Running; }

  /// Passes the value of \p Promise to \p Handler. \p Promise must not fail.
  /// Call only if not running().
  template <typename value_type, typename handler_type>
  auto start(kj::Promise<value_type> &&Promise, handler_type Handler) -> void {
    Running = true;
    // The previous promise has ended, so this assignment may destroy it.
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
