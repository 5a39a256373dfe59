/// \file Command line of acacianotchd.
#include "control/control_role.h"
#include "core/file_func.h"
#include "core/log_func.h"
#include "core/metrics.h"
#include "daemon/exit_type.h"
#include "daemon/role.h"
#include "table/error_reference.h"
#include "table/settings.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>
#include <string>

namespace acacianotch {
namespace {

constexpr auto ExitText =
    "Exit codes: 0 ok, 1 run-time failure, 2 wrong command line, 3 invalid "
    "settings, 4 address or data folder in use";

/// Options of the command line.
struct daemon_options {
  std::string SettingsFile;
  bool Check = false;
  bool PrintSettings = false;
  bool PrintMetrics = false;
  bool PrintErrors = false;
  bool Initialise = false;
  std::uint64_t JoinAs = 0;

  [[nodiscard]] auto printsReference() const -> bool {
    return PrintSettings || PrintMetrics || PrintErrors;
  }
};

auto applyLogLevels(const settings &Settings) -> void {
  for (const auto &Row : LogCategoryNames.Rows)
    setLogLevel(Row.Value, Settings.Log.level(Row.Value));
}

/// Loads the settings and checks the secret file that they name.
auto loadAndCheckSettings(const std::string &File) -> result<settings> {
  auto Settings = loadSettings(File);
  if (!Settings)
    return Settings;
  if (Settings->Node.SecretFile.empty())
    return Settings;
  const auto Secret = readSecretFile(Settings->Node.SecretFile);
  if (!Secret)
    return Secret.error();
  return Settings;
}

auto logStartup(const settings &Settings) -> void {
  logInfo(log_category::settings, "starting",
          {{"version", ACACIANOTCH_VERSION},
           {"role", ProcessRoleNames.name(Settings.Role)},
           {"node", Settings.Node.Id},
           {"zone", Settings.Node.Zone}});
}

auto run(const settings &Settings) -> daemon_exit {
  applyLogLevels(Settings);
  // The role installs a handler later; until then the default action of SIGHUP
  // would end the process.
  std::signal(SIGHUP, SIG_IGN);
  // Libevent writes to sockets whose peer may have closed them.
  std::signal(SIGPIPE, SIG_IGN);
  logStartup(Settings);
  if (!Settings.Node.SecretFile.empty() &&
      othersMayRead(Settings.Node.SecretFile))
    logWarning(log_category::settings,
               "the secret file is readable by all users",
               {{"file", Settings.Node.SecretFile.string()}});
  const auto Done = runRole(Settings);
  if (Done) {
    logInfo(log_category::settings, "stopped");
    return daemon_exit::ok;
  }
  logError(log_category::settings, "the process failed",
           {{"code", errcRow(Done.error().Code).Name},
            {"detail", Done.error().Detail}});
  return exitFor(Done.error().Code);
}

/// Initialises the empty data folder of a control replica with its identity.
auto prepareReplica(const settings &Settings, const daemon_options &Options)
    -> daemon_exit {
  if (Settings.Role != process_role::control) {
    std::cerr << "--initialise and --join-as require a control replica\n";
    return daemon_exit::usage;
  }
  const auto Prepared = Options.Initialise
                            ? initialiseControl(Settings)
                            : joinControl(Settings, Options.JoinAs);
  if (Prepared)
    return daemon_exit::ok;
  std::cerr << Prepared.error().text() << '\n';
  return exitFor(Prepared.error().Code);
}

auto printReferences(const daemon_options &Options) -> daemon_exit {
  if (Options.PrintSettings)
    std::cout << settingsReference();
  if (Options.PrintMetrics)
    std::cout << metricsReference();
  if (Options.PrintErrors)
    std::cout << errorReference();
  return daemon_exit::ok;
}

auto execute(const daemon_options &Options) -> daemon_exit {
  if (Options.printsReference())
    return printReferences(Options);
  const auto Settings = loadAndCheckSettings(Options.SettingsFile);
  if (!Settings) {
    std::cerr << Settings.error().Detail << '\n';
    return daemon_exit::bad_settings;
  }
  if (Options.Initialise || Options.JoinAs != 0)
    return prepareReplica(*Settings, Options);
  if (!Options.Check)
    return run(*Settings);
  std::cout << Options.SettingsFile << ": ok\n";
  return daemon_exit::ok;
}

auto parseAndExecute(int ArgumentCount, char **Arguments) -> daemon_exit {
  daemon_options Options;
  CLI::App App{"Runs one process of acacianotch: an entry, an agent or a "
               "control replica.",
               "acacianotchd"};
  App.footer(settingsHelp() + "\n" + ExitText);
  App.set_version_flag("--version", "acacianotchd " ACACIANOTCH_VERSION);
  auto *File =
      App.add_option("--settings", Options.SettingsFile, "settings file (TOML)")
          ->type_name("FILE");
  App.add_flag("--check", Options.Check, "check the settings file and exit")
      ->needs(File);
  auto *Initialise = App.add_flag(
      "--initialise", Options.Initialise,
      "prepare the empty data folder of a replica of a new group and exit");
  Initialise->needs(File);
  App.add_option("--join-as", Options.JoinAs,
                 "prepare the empty data folder of a replica that the group "
                 "has added under this id, and exit")
      ->type_name("ID")
      ->needs(File)
      ->excludes(Initialise);
  App.add_flag("--print-settings-reference", Options.PrintSettings,
               "print the reference of all settings and exit")
      ->excludes(File);
  App.add_flag("--print-metrics-reference", Options.PrintMetrics,
               "print the reference of all metrics and exit")
      ->excludes(File);
  App.add_flag("--print-error-reference", Options.PrintErrors,
               "print the reference of all errors and exit")
      ->excludes(File);
  try {
    App.parse(ArgumentCount, Arguments);
  } catch (const CLI::ParseError &Error) {
    const auto IsHelp = App.exit(Error) == 0;
    return IsHelp ? daemon_exit::ok : daemon_exit::usage;
  }
  if (File->count() != 0 || Options.printsReference())
    return execute(Options);
  App.exit(CLI::RequiredError("--settings"));
  return daemon_exit::usage;
}

} // namespace
} // namespace acacianotch

auto main(int ArgumentCount, char **Arguments) -> int {
  return static_cast<int>(
      acacianotch::parseAndExecute(ArgumentCount, Arguments));
}
