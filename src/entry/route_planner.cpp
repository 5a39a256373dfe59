/// \file Cascades of an entry.
#include "entry/route_planner.h"

#include "core/log_func.h"

namespace acacianotch {

namespace {

// Routes, classes and candidates come from the catalogue, so there are few
// cascades at a time. The limit bounds the memory if the catalogue keeps
// changing.
constexpr std::size_t MaxCascades = 1024;

auto keyOf(const route_query &Query) -> std::string {
  auto Key = Query.Route + "\n" + Query.Class + "\n" +
             std::to_string(Query.QualityTarget);
  for (const auto &Candidate : Query.Candidates)
    Key += "\n" + Candidate.text();
  return Key;
}

} // namespace

auto route_planner::cascadeFor(const catalogue_view &View,
                               const route_query &Query)
    -> std::shared_ptr<entry_cascade> {
  const auto Key = keyOf(Query);
  const auto Found = Cascades.find(Key);
  if (Found != Cascades.end())
    return Found->second;
  if (Cascades.size() >= MaxCascades)
    Cascades.clear();
  std::vector<cascade_candidate> Candidates;
  for (const auto &Ref : Query.Candidates) {
    const auto *Version = View.version(Ref);
    if (Version == nullptr)
      return nullptr;
    Candidates.push_back({Ref, Version->Quality,
                          static_cast<double>(Version->InputCost),
                          static_cast<double>(Version->OutputCost)});
  }
  cascade_settings Settings;
  Settings.QualityTarget = Query.QualityTarget;
  auto Created = entry_cascade::create(Settings, Candidates, Clock, Random);
  if (!Created) {
    logWarning(log_category::version, "failed to create the cascade of a route",
               {{"route", Query.Route}, {"error", Created.error().text()}});
    return nullptr;
  }
  return Cascades[Key] = std::make_shared<entry_cascade>(std::move(*Created));
}

auto route_planner::plan(const catalogue_view &View, const route_query &Query)
    -> std::optional<route_plan> {
  if (Query.Candidates.size() < 2 || Query.QualityTarget <= 0)
    return std::nullopt;
  auto Cascade = cascadeFor(View, Query);
  if (Cascade == nullptr)
    return std::nullopt;
  const auto Decision = Cascade->decide(Query.Features);
  return route_plan{std::move(Cascade), Query.Candidates, Decision};
}

} // namespace acacianotch
