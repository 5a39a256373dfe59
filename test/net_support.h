/// \file Helpers for tests that run network code in one loop.
#pragma once

#include "net/event_loop.h"
#include "net/socket_func.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>

namespace acacianotch {

/// \return a loop for one test.
inline auto testLoop() -> std::unique_ptr<event_loop> {
  auto Loop = event_loop::create();
  REQUIRE(Loop.ok());
  return std::move(Loop).value();
}

/// Runs \p Loop until \p Condition holds.
/// \return whether it did within a generous time limit.
inline auto runUntil(event_loop &Loop, const std::function<bool()> &Condition)
    -> bool {
  constexpr auto Limit = std::chrono::seconds(20);
  constexpr auto Step = std::chrono::milliseconds(10);
  const auto End = steady_clock::now() + Limit;
  const auto Tick = Loop.repeating([] {});
  Tick->start(Step);
  while (!Condition()) {
    if (steady_clock::now() > End)
      return false;
    Loop.turn();
  }
  return true;
}

/// \return 127.0.0.1 with \p Port; 0 lets the system choose one.
inline auto loopback(std::uint16_t Port) -> address {
  return {"127.0.0.1", Port};
}

} // namespace acacianotch
