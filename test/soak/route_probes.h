/// \file Requests for acknowledged routes at every gateway of a soak run.
#pragma once

#include "process/support/platform_deployment.h"
#include "soak/ledger.h"
#include "soak/operator.h"

#include <atomic>
#include <thread>
#include <vector>

namespace acacianotch::soak {

/// Threads that ask each gateway for a route that was acknowledged long enough
/// ago to be in force everywhere. A gateway may serve it or state that it
/// cannot, but not that the route does not exist, whatever fails meanwhile.
class route_probes {
public:
  route_probes(const platform_deployment &System, ledger &Ledger,
               const routing_operator &Operator);
  ~route_probes();
  route_probes(const route_probes &) = delete;
  auto operator=(const route_probes &) -> route_probes & = delete;

  /// Stops all threads after their current requests.
  auto stop() -> void;

  /// \return how often a gateway has answered.
  [[nodiscard]] auto answers() const -> std::uint64_t { return Answers; }

private:
  auto run(const gateway_instance &Gateway) -> void;

  ledger &Ledger;
  const routing_operator &Operator;
  std::atomic<std::uint64_t> Answers = 0;
  std::atomic<bool> Stop = false;
  std::vector<std::jthread> Threads;
};

} // namespace acacianotch::soak
