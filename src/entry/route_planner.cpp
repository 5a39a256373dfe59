/// \file Cascades of one entry.
#include "entry/route_planner.h"

#include "core/log_func.h"

namespace acacianotch {

namespace {

// Route, class and candidates come from the catalogue, so their number is
// bounded in practice; the limit guards memory against a catalogue that changes
// without end.
constexpr std::size_t MaxCascades = 1024;

auto keyOf(const route_question &Question) -> std::string {
  auto Key = Question.Route + "\n" + Question.Class + "\n" +
             std::to_string(Question.QualityTarget);
  for (const auto &Candidate : Question.Candidates)
    Key += "\n" + Candidate.text();
  return Key;
}

} // namespace

auto route_planner::cascadeFor(const catalogue_view &View,
                               const route_question &Question)
    -> std::shared_ptr<entry_cascade> {
  const auto Key = keyOf(Question);
  const auto Found = Known.find(Key);
  if (Found != Known.end())
    return Found->second;
  if (Known.size() >= MaxCascades)
    Known.clear();
  std::vector<cascade_candidate> Candidates;
  for (const auto &Ref : Question.Candidates) {
    const auto *Version = View.version(Ref);
    if (Version == nullptr)
      return nullptr;
    Candidates.push_back({Ref, Version->Quality,
                          static_cast<double>(Version->InputCost),
                          static_cast<double>(Version->OutputCost)});
  }
  cascade_settings Settings;
  Settings.QualityTarget = Question.QualityTarget;
  auto Created = entry_cascade::create(Settings, Candidates, Clock, Random);
  if (!Created) {
    logWarning(log_category::version, "a route has no usable cascade",
               {{"route", Question.Route}, {"error", Created.error().text()}});
    return nullptr;
  }
  return Known[Key] = std::make_shared<entry_cascade>(std::move(*Created));
}

auto route_planner::plan(const catalogue_view &View,
                         const route_question &Question)
    -> std::optional<route_plan> {
  if (Question.Candidates.size() < 2 || Question.QualityTarget <= 0)
    return std::nullopt;
  auto Cascade = cascadeFor(View, Question);
  if (Cascade == nullptr)
    return std::nullopt;
  const auto Decision = Cascade->decide(Question.Features);
  return route_plan{std::move(Cascade), Question.Candidates, Decision};
}

} // namespace acacianotch
