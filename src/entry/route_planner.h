/// \file Cascades of one entry, one for each route, class and candidate list.
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

/// What a plan is made for.
struct route_question {
  std::string Route;
  std::string Class;
  double QualityTarget = 0;
  std::vector<version_ref> Candidates; ///< Cheapest first.
  request_features Features;
};

/// How one request of a route runs. It keeps its cascade alive.
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

/// Makes plans and keeps what the cascades have learnt.
class route_planner {
public:
  explicit route_planner(std::uint64_t Seed) : Random(Seed) {}

  /// \return the plan of one request, or nothing if there is no choice.
  [[nodiscard]] auto plan(const catalogue_view &View,
                          const route_question &Question)
      -> std::optional<route_plan>;

  /// \return the number of cascades, for dumps.
  [[nodiscard]] auto cascades() const -> std::size_t { return Known.size(); }

private:
  auto cascadeFor(const catalogue_view &View, const route_question &Question)
      -> std::shared_ptr<entry_cascade>;

  steady_clock Clock;
  seeded_random Random;
  std::map<std::string, std::shared_ptr<entry_cascade>> Known;
};

} // namespace acacianotch
