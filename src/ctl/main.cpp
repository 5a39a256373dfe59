/// \file Entry point of acacianotchctl.
#include "ctl/connection.h"
#include "ctl/run.h"

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <random>

namespace acacianotch {
namespace {

auto wallClockMs() -> std::uint64_t {
  using namespace std::chrono;
  const auto Now = system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(duration_cast<milliseconds>(Now).count());
}

auto randomNumber() -> std::uint64_t {
  std::random_device Device;
  return (std::uint64_t{Device()} << 32U) | Device();
}

auto userName() -> std::string {
  const auto *User = std::getenv("USER");
  return User == nullptr ? "unknown" : User;
}

auto runCommandLine(std::vector<std::string> Arguments) -> ctl_exit {
  const auto Parsed =
      parseCtlOptions(std::move(Arguments), std::cout, std::cerr);
  if (const auto *Exit = std::get_if<ctl_exit>(&Parsed))
    return *Exit;
  auto Options = std::get<ctl_options>(Parsed);
  if (Options.Issuer.empty())
    Options.Issuer = userName();
  ctl_connection Connection(Options);
  const auto Identity = identityFor(Options, wallClockMs(), randomNumber());
  const ctl_output Output{std::cout, std::cerr, Options.Json};
  return ctl_runner(Connection, Options, Identity, Output).run();
}

} // namespace
} // namespace acacianotch

auto main(int ArgumentCount, char **ArgumentValues) -> int {
  const std::vector<std::string> Arguments(ArgumentValues + 1,
                                           ArgumentValues + ArgumentCount);
  return static_cast<int>(acacianotch::runCommandLine(Arguments));
}
