/// \file Cascades of an entry: one per route, class, quality target and
/// candidate list.
#pragma once

#include "catalogue/catalogue_view.h"
#include "controller/cascade.h"
#include "core/random_type.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace acacianotch {

using entry_cascade = cascade<steady_clock, seeded_random>;

/// Parameters of a route plan.
struct route_query {
  std::string Route;
  std::string Class;
  double QualityTarget = 0;
  std::vector<version_ref> Candidates; ///< Cheapest first.
  request_features Features;
};

/// Plan of one request of a route. It shares ownership of the cascade, which
/// the planner can drop while the request runs.
struct route_plan {
  std::shared_ptr<entry_cascade> Cascade;
  std::vector<version_ref> Candidates;
  cascade_decision Decision;

  [[nodiscard]] auto first() const -> const version_ref & {
    return Candidates[Decision.Plan.First];
  }
  [[nodiscard]] auto escalation() const -> const version_ref * {
    const auto &Index = Decision.Plan.Escalation;
    return Index ? &Candidates[*Index] : nullptr;
  }
};

/// Plans the requests of routes and owns the cascades with their statistics.
class route_planner {
public:
  explicit route_planner(std::uint64_t Seed) : Random(Seed) {}

  /// \return the plan of one request, or nothing if the route has no choice of
  /// candidates, no quality target or no valid cascade.
  [[nodiscard]] auto plan(const catalogue_view &View, const route_query &Query)
      -> std::optional<route_plan>;

  /// \return the number of cascades, for dumps.
  [[nodiscard]] auto cascades() const -> std::size_t { return Cascades.size(); }

private:
  auto cascadeFor(const catalogue_view &View, const route_query &Query)
      -> std::shared_ptr<entry_cascade>;

  steady_clock Clock;
  seeded_random Random;
  std::map<std::string, std::shared_ptr<entry_cascade>> Cascades;
};

} // namespace acacianotch
