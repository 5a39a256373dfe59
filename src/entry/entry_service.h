/// \file HTTP API of an entry.
#pragma once

#include "catalogue/catalogue_view.h"
#include "controller/length_predictor.h"
#include "controller/session_token.h"
#include "entry/agent_connections.h"
#include "entry/budget_manager.h"
#include "entry/pool_set.h"
#include "entry/rating_client.h"
#include "entry/route_planner.h"
#include "entry/usage_reporter.h"
#include "net/http_server.h"
#include "node/leader_client.h"

#include <map>
#include <memory>

namespace acacianotch {

class request_task;

/// Counters of one entry since its start.
struct entry_counters {
  std::uint64_t Accepted = 0;
  std::uint64_t Completed = 0;
  std::uint64_t NotRun = 0;     ///< Errors with the verdict `not_run`.
  std::uint64_t MayHaveRun = 0; ///< Errors with the verdict `may_have_run`.
  std::uint64_t CallerLeft = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t Claims = 0;
  std::uint64_t Escalations = 0;
};

/// Limits of the HTTP API.
struct entry_limits {
  std::size_t MaxBodyBytes = 1024ULL * 1024;
  duration DefaultDeadline = std::chrono::seconds(30);
};

/// Components that all requests of an entry share.
struct entry_context {
  event_loop &Loop;
  const catalogue_view &View;
  pool_set &Pools;
  agent_connections &Agents;
  leader_client &Control;
  usage_reporter &Usage;
  budget_manager &Budgets;
  route_planner &Routes;
  rating_client &Ratings;
  length_predictor &Lengths;
  const session_signer &Sessions;
  entry_limits Limits;
  std::string NodeId;
  entry_counters Counters;
};

/// Passes each HTTP request to its handler and owns the requests in progress.
class entry_service {
public:
  explicit entry_service(entry_context &TheContext) : Context(TheContext) {}
  ~entry_service();

  /// Handles one request. Errors are sent as JSON responses.
  auto handle(const std::shared_ptr<http_exchange> &Exchange) -> void;

  /// Rejects new requests from now on; requests in progress continue.
  auto stopAccepting() -> void { Stopping = true; }

  /// \return the number of requests in progress.
  [[nodiscard]] auto openRequests() const -> std::size_t {
    return Tasks.size();
  }

private:
  auto startTask(const std::shared_ptr<http_exchange> &Exchange,
                 const model_entry &Account) -> void;
  auto listModels(http_exchange &Exchange, const model_entry &Account) -> void;

  entry_context &Context;
  bool Stopping = false;
  std::uint64_t NextTask = 0;
  std::map<std::uint64_t, std::unique_ptr<request_task>> Tasks;
};

} // namespace acacianotch
