/// \file Probes of ejected backend servers.
#pragma once

#include "entry/agent_connections.h"
#include "entry/dispatch_request.h"
#include "entry/pool_set.h"

#include <list>
#include <memory>

namespace acacianotch {

/// Probes ejected backend servers and reports the results to the outlier
/// detectors. A probe is a copy of a recent idempotent request of the pool,
/// whose answer is discarded. If there is no such request, only the connection
/// to the agent is probed.
class backend_prober {
public:
  explicit backend_prober(dispatch_context TheContext);
  ~backend_prober();
  backend_prober(const backend_prober &) = delete;
  auto operator=(const backend_prober &) -> backend_prober & = delete;

  /// Starts the probes that are due and drops those whose result is known.
  auto tick() -> void;

private:
  class sink;
  struct probe;

  auto start(pool &Pool, backend_handle Backend) -> void;
  auto send(const std::shared_ptr<probe> &Probe, wire::Agent::Client Agent)
      -> kj::Promise<void>;

  dispatch_context Context;
  std::list<std::shared_ptr<probe>> Probes;
};

} // namespace acacianotch
