/// \file Benchmark of the policies under load and faults; prints JSON. Each
/// case runs with the same seeds, on a virtual clock.
#include "policy_suite.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <iostream>
#include <map>

namespace acacianotch::policy {
namespace {

using json = nlohmann::ordered_json;
using values = std::vector<double>;

auto spread(const values &Values) -> json {
  double Sum = 0.0;
  for (const auto Value : Values)
    Sum += Value;
  const auto Count = static_cast<double>(Values.size());
  const auto Mean = Sum / Count;
  double Squares = 0.0;
  for (const auto Value : Values)
    Squares += (Value - Mean) * (Value - Mean);
  const auto Deviation = Count > 1.0 ? std::sqrt(Squares / (Count - 1.0)) : 0.0;
  const auto [Min, Max] = std::minmax_element(Values.begin(), Values.end());
  return {{"mean", Mean}, {"min", *Min}, {"max", *Max}, {"sd", Deviation}};
}

auto share(std::uint64_t Part, std::uint64_t All) -> double {
  return All == 0 ? 0.0 : static_cast<double>(Part) / static_cast<double>(All);
}

// Metrics of one case by name, with one value per seed.
using metric_values = std::map<std::string, values>;

auto collect(const run_result &Run, metric_values &Into) -> void {
  Into["short_p50_ms"].push_back(Run.Short.quantile(0.5));
  Into["short_p99_ms"].push_back(Run.Short.quantile(0.99));
  Into["short_p999_ms"].push_back(Run.Short.quantile(0.999));
  Into["short_good_share"].push_back(share(Run.Short.Good, Run.Short.Offered));
  Into["short_late"].push_back(static_cast<double>(Run.Short.Late));
  Into["small_accounts_good_share"].push_back(
      share(Run.SmallAccounts.Good, Run.SmallAccounts.Offered));
  Into["goodput"].push_back(Run.Goodput);
  Into["hedge_share"].push_back(Run.HedgeShare);
  Into["retry_share"].push_back(Run.RetryShare);
  Into["ejections"].push_back(static_cast<double>(Run.Ejections));
  if (Run.Long.Offered == 0)
    return;
  Into["long_p50_ms"].push_back(Run.Long.quantile(0.5));
  Into["long_p99_ms"].push_back(Run.Long.quantile(0.99));
  Into["long_good_share"].push_back(share(Run.Long.Good, Run.Long.Offered));
  Into["long_late"].push_back(static_cast<double>(Run.Long.Late));
}

auto measure(const policy_case &Case, std::uint64_t First, int Seeds)
    -> metric_values {
  metric_values Metrics;
  for (int Index = 0; Index < Seeds; ++Index) {
    const auto Seed = First + static_cast<std::uint64_t>(Index);
    collect(simulation(Case.Scenario, Seed).run(), Metrics);
  }
  return Metrics;
}

// Ratio of a case's short p99 to that of its reference, per seed.
auto ratios(const metric_values &Case, const metric_values &Reference)
    -> values {
  const auto &Above = Case.at("short_p99_ms");
  const auto &Below = Reference.at("short_p99_ms");
  values Ratios;
  for (std::size_t Index = 0; Index < Above.size(); ++Index)
    Ratios.push_back(Above[Index] / Below[Index]);
  return Ratios;
}

auto referenceOf(const std::string &Name) -> std::string {
  if (Name == "short_beside_long")
    return "short_alone";
  return Name == "slowed" ? "healthy" : "";
}

auto decisionSteps(std::uint64_t Seed) -> json {
  json Rows = json::array();
  for (const int Backends : {10, 100, 1'000, 10'000})
    Rows.push_back(
        {{"backends", Backends}, {"steps", stepsPerDecision(Backends, Seed)}});
  return Rows;
}

auto run(std::uint64_t First, int Seeds, const std::string &Only) -> json {
  std::map<std::string, metric_values> Policies;
  json Cases = json::array();
  for (const auto &Case : allCases()) {
    const bool Selected = Only.empty() || Case.Name == Only;
    const bool RequiredAsReference =
        Case.Policy == "policy" && referenceOf(Only) == Case.Name;
    if (!Selected && !RequiredAsReference)
      continue;
    const auto Metrics = measure(Case, First, Seeds);
    json Row = {{"case", Case.Name}, {"policy", Case.Policy}};
    for (const auto &[Name, Values] : Metrics)
      Row[Name] = spread(Values);
    if (const auto Reference = referenceOf(Case.Name); !Reference.empty())
      Row["p99_over_" + Reference] =
          spread(ratios(Metrics, Policies.at(Reference)));
    if (Case.Policy == "policy")
      Policies[Case.Name] = Metrics;
    Cases.push_back(Row);
  }
  return {{"first_seed", First},
          {"seeds", Seeds},
          {"bounds",
           {{"p99_over_short_alone", ShortBesideLongBound},
            {"overload_goodput", OverloadGoodputBound},
            {"p99_over_healthy", SlowedBound}}},
          {"decision_steps", decisionSteps(First)},
          {"cases", Cases}};
}

} // namespace
} // namespace acacianotch::policy

auto main(int Count, char **Arguments) -> int {
  CLI::App App("Policies under load and faults, on a virtual clock");
  std::uint64_t First = 1;
  int Seeds = 10;
  std::string Only;
  App.add_option("--first-seed", First, "first seed");
  App.add_option("--seeds", Seeds, "number of seeds")
      ->check(CLI::Range(1, 1'000));
  App.add_option("--case", Only, "run only this case and its reference");
  CLI11_PARSE(App, Count, Arguments);
  std::cout << acacianotch::policy::run(First, Seeds, Only).dump(2) << "\n";
  return 0;
}
