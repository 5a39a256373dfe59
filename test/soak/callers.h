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

/// Threads that send requests of all kinds through any gateway until stopped.
/// They reuse their connections and check each response.
class callers {
public:
  callers(const platform_deployment &System, ledger &Ledger, std::size_t Count,
          std::uint64_t Seed);
  ~callers();
  callers(const callers &) = delete;
  auto operator=(const callers &) -> callers & = delete;

  /// Stops all threads after their current requests.
  auto stop() -> void;

  /// Sets whether only planned restarts and drains happen. In that phase, an
  /// interrupted answer violates a guarantee.
  auto setFaultFree(bool Now) -> void { FaultFree = Now; }

private:
  struct generated_request {
    std::string Id;
    std::string Kind;
    std::string Bytes;
    bool Idempotent = false;
  };

  auto run(std::size_t Index, std::uint64_t Seed) -> void;
  static auto generateRequest(std::size_t Index, std::uint64_t Number,
                              std::mt19937_64 &Random) -> generated_request;
  auto check(const generated_request &Request, const call_outcome &Outcome,
             bool FaultFreeThroughout) -> void;
  auto checkBody(const generated_request &Request, const call_outcome &Outcome)
      -> void;

  const platform_deployment &System;
  ledger &Ledger;
  std::atomic<bool> Stop = false;
  std::atomic<bool> FaultFree = false;
  std::vector<std::jthread> Threads;
};

} // namespace acacianotch::soak
