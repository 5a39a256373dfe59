/// \file Benchmark of the cascade and of version tests. Prints JSON.
#include "cascade_summary.h"
#include "version_summary.h"

#include <CLI/CLI.hpp>

#include <iostream>

using namespace acacianotch;
using namespace acacianotch::bench;

namespace {

/// Options of a run.
struct bench_options {
  std::size_t Seeds = 20;
  std::uint64_t FirstSeed = 1;
  std::size_t Requests = 40'000;
  std::size_t Rollouts = 200;
  std::string Only;
};

auto cascadeReport(const bench_options &Options) -> nlohmann::json {
  nlohmann::json Report;
  for (const auto &Scenario : cascadeScenarios())
    if (Options.Only.empty() || Options.Only == Scenario.Name)
      Report[Scenario.Name] = runCascade(Scenario, Options.Seeds,
                                         Options.FirstSeed, Options.Requests)
                                  .json();
  return Report;
}

auto versionReport(const bench_options &Options) -> nlohmann::json {
  nlohmann::json Report;
  for (const auto &Scenario : versionScenarios()) {
    if (!Options.Only.empty() && Options.Only != Scenario.Name)
      continue;
    Report[Scenario.Name]["sequential"] =
        runSequential(Scenario, Options.Rollouts, Options.FirstSeed).json();
    Report[Scenario.Name]["fixed_threshold"] =
        runThreshold(Scenario, Options.Rollouts, Options.FirstSeed).json();
  }
  return Report;
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  bench_options Options;
  CLI::App Program("Benchmark of the cascade and of version tests");
  Program.add_option("--seeds", Options.Seeds, "number of seeds");
  Program.add_option("--first-seed", Options.FirstSeed, "first seed");
  Program.add_option("--requests", Options.Requests, "requests per trial");
  Program.add_option("--rollouts", Options.Rollouts,
                     "rollouts per version scenario, one seed each");
  Program.add_option("--only", Options.Only, "run only this scenario");
  CLI11_PARSE(Program, Count, Arguments);
  nlohmann::json Report;
  Report["seeds"] = Options.Seeds;
  Report["first_seed"] = Options.FirstSeed;
  Report["requests"] = Options.Requests;
  Report["rollouts"] = Options.Rollouts;
  Report["version_test"] = versionReport(Options);
  Report["cascade"] = cascadeReport(Options);
  std::cout << Report.dump(2) << '\n';
  return 0;
}
