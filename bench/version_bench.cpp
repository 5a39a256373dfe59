/// \file Benchmark of the cascade and of version tests. Prints JSON.
#include "cascade_summary.h"

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

} // namespace

auto main(int Count, char **Arguments) -> int {
  bench_options Options;
  CLI::App Program("Benchmark of the cascade and of version tests");
  Program.add_option("--seeds", Options.Seeds, "number of seeds");
  Program.add_option("--first-seed", Options.FirstSeed, "first seed");
  Program.add_option("--requests", Options.Requests, "requests per trial");
  Program.add_option("--only", Options.Only, "run only this scenario");
  CLI11_PARSE(Program, Count, Arguments);
  nlohmann::json Report;
  Report["seeds"] = Options.Seeds;
  Report["first_seed"] = Options.FirstSeed;
  Report["requests"] = Options.Requests;
  Report["cascade"] = cascadeReport(Options);
  std::cout << Report.dump(2) << '\n';
  return 0;
}
