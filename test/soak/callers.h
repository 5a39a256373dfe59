/// \file Callers of a soak run.
#pragma once

#include "process/support/platform_deployment.h"
#include "soak/kept_caller.h"
#include "soak/ledger.h"

#include <atomic>
#include <memory>
#include <random>
#include <thread>
#include <vector>

namespace acacianotch::soak {

/// Threads that send requests of all kinds through any gateway until stopped,
/// keep their connections, and check each answer.
class callers {
public:
  callers(const platform_deployment &System, ledger &Ledger, std::size_t Count,
          std::uint64_t Seed);
  ~callers();
  callers(const callers &) = delete;
  auto operator=(const callers &) -> callers & = delete;

  /// Ends all threads after their current requests.
  auto stop() -> void;

  /// While set, no process or connection is disturbed but by planned work, so
  /// an answer that breaks off is a broken promise.
  auto setCalm(bool Now) -> void { Calm = Now; }

private:
  struct planned_request {
    std::string Id;
    std::string Kind;
    std::string Bytes;
    bool MayRepeat = false;
  };

  auto run(std::size_t Index, std::uint64_t Seed) -> void;
  static auto plan(std::size_t Index, std::uint64_t Number,
                   std::mt19937_64 &Random) -> planned_request;
  auto check(const planned_request &Request, const call_outcome &Outcome,
             bool CalmThroughout) -> void;
  auto checkBody(const planned_request &Request, const call_outcome &Outcome)
      -> void;

  const platform_deployment &System;
  ledger &Ledger;
  std::atomic<bool> Stop = false;
  std::atomic<bool> Calm = false;
  std::vector<std::thread> Threads;
};

} // namespace acacianotch::soak
