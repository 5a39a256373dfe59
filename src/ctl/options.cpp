/// \file Command line of acacianotchctl.
#include "ctl/options.h"

#include "core/log_type.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <memory>
#include <ostream>

namespace acacianotch {

namespace {

constexpr auto DefaultTimeout = std::chrono::milliseconds(10000);
constexpr std::uint64_t MaxTimeoutMs = 3'600'000;
constexpr auto ExitCodesHelp =
    "Exit codes: 0 ok, 1 failed, 2 wrong command line, 3 invalid settings or "
    "catalogue file, 5 conflict, 6 no leader or no quorum";

/// Defines the command line and fills the options during parsing.
class option_parser {
public:
  option_parser() {
    App.require_subcommand(1);
    App.footer(ExitCodesHelp);
    App.set_version_flag("--version", "acacianotchctl " ACACIANOTCH_VERSION);
    addCommon();
    addEntryCommands();
    addVersionCommands();
    addRolloutCommands();
    addProcessCommands();
    addReplicaCommands();
    addLocalCommands();
  }

  CLI::App App{"Changes and shows the state of an acacianotch deployment.",
               "acacianotchctl"};
  ctl_options Options;

private:
  /// Adds a subcommand that selects \p Action.
  auto addSubcommand(CLI::App &Parent, const std::string &Name,
                     const std::string &Text, ctl_action Action) -> CLI::App & {
    auto *Command = Parent.add_subcommand(Name, Text);
    Command->fallthrough();
    Command->callback([this, Action] { Options.Action = Action; });
    return *Command;
  }

  auto addCommon() -> void {
    App.add_option_function<std::string>(
           "--control",
           [this](const std::string &Text) { parseControlAddresses(Text); },
           "RPC addresses of control, separated by commas")
        ->type_name("ADDR[,ADDR]")
        ->envname("ACACIANOTCH_CONTROL");
    App.add_option_function<std::string>(
           "--node",
           [this](const std::string &Text) {
             Options.Node = parseAddressArgument(Text);
           },
           "admin RPC address of one process, for status, dump and log-level")
        ->type_name("ADDR");
    Options.Timeout = DefaultTimeout;
    App.add_option_function<std::uint64_t>(
           "--timeout",
           [this](const std::uint64_t &Value) {
             Options.Timeout = std::chrono::milliseconds(Value);
           },
           "time to wait for a reply in milliseconds (default 10000)")
        ->type_name("MS")
        ->check(CLI::Range(std::uint64_t{1}, MaxTimeoutMs));
    App.add_flag("--json", Options.Json, "print JSON instead of tables");
    App.add_option("--change-id", Options.ChangeId,
                   "resend the change with this id; the first result is "
                   "returned")
        ->type_name("ID");
    App.add_option("--issuer", Options.Issuer,
                   "who makes the change (default: $USER)")
        ->type_name("NAME");
  }

  auto parseAddressArgument(const std::string &Text) -> address {
    auto Address = parseAddress(Text);
    if (!Address || Address->Port == 0)
      throw CLI::ValidationError("address", Address ? "port 0 in " + Text
                                                    : Address.error().Detail);
    return *Address;
  }

  auto parseControlAddresses(const std::string &Text) -> void {
    for (const auto &Part : CLI::detail::split(Text, ','))
      Options.Control.push_back(parseAddressArgument(Part));
  }

  auto addReason(CLI::App &Command) -> void {
    Command.add_option("--reason", Options.Reason, "reason, kept in history")
        ->type_name("TEXT");
  }

  auto addTarget(CLI::App &Command, const std::string &Name,
                 const std::string &Text) -> CLI::Option * {
    return Command.add_option(Name, Options.Target, Text)->required();
  }

  auto addFile(CLI::App &Command, const std::string &Text) -> void {
    Command.add_option("FILE", Options.File, Text)->required();
  }

  auto addEntryCommands() -> void {
    auto &Apply = addSubcommand(
        App, "apply", "create or change catalogue entries", ctl_action::apply);
    addFile(Apply, "TOML or JSON file with entries");
    Apply.add_flag("--overwrite", Options.Overwrite,
                   "apply entries without a revision against the current one");
    auto &Get =
        addSubcommand(App, "get", "show catalogue entries", ctl_action::get);
    Get.add_option("KIND[/NAME]", Options.Target, "kind, or one entry");
    auto &Diff = addSubcommand(App, "diff", "compare a file with the catalogue",
                               ctl_action::diff);
    addFile(Diff, "TOML or JSON file with entries");
    auto &History = addSubcommand(
        App, "history", "show the changes of one entry", ctl_action::history);
    addTarget(History, "KIND/NAME", "entry");
    auto &Remove = addSubcommand(App, "remove", "remove a catalogue entry",
                                 ctl_action::remove);
    addTarget(Remove, "KIND/NAME", "entry");
    Remove.add_option("--revision", Options.Revision, "revision held")
        ->required();
  }

  auto addVersionCommands() -> void {
    auto &Withdraw =
        addSubcommand(App, "withdraw", "stop all new work on a version",
                      ctl_action::withdraw);
    addTarget(Withdraw, "MODEL@VERSION", "version");
    addReason(Withdraw);
    auto &Drain =
        addSubcommand(App, "drain", "let a backend server finish and leave",
                      ctl_action::drain);
    addTarget(Drain, "BACKEND", "catalogue name of the backend server");
    Drain.add_flag("--undo", Options.Undo, "let it take new work again");
    auto &Evacuate = addSubcommand(
        App, "evacuate",
        "send no new work to the backend servers of an availability zone",
        ctl_action::evacuate);
    addTarget(Evacuate, "ZONE", "availability zone");
    Evacuate.add_flag("--end", Options.Undo, "end its evacuation");
    auto &Lift =
        addSubcommand(App, "lift-quarantine", "let a quarantined request run",
                      ctl_action::lift_quarantine);
    addTarget(Lift, "FINGERPRINT", "request fingerprint, a decimal number");
    addReason(Lift);
  }

  auto addRolloutCommands() -> void {
    auto &Rollout = *App.add_subcommand("rollout", "replace versions in steps");
    Rollout.require_subcommand(1)->fallthrough();
    auto &Start = addSubcommand(Rollout, "start", "start to replace a version",
                                ctl_action::rollout_start);
    Start.add_option("MODEL", Options.Model, "model")->required();
    Start.add_option("FROM", Options.From, "predecessor version")->required();
    Start.add_option("TO", Options.To, "new version")->required();
    Start
        .add_option("--stage", Options.Stages,
                    "share of requests, then requests and seconds needed "
                    "before the next stage; repeat for each stage")
        ->type_name("SHARE[:REQUESTS[:SECONDS]]")
        ->required();
    auto &Pause = addSubcommand(Rollout, "pause", "hold a rollout at its stage",
                                ctl_action::rollout_pause);
    auto &Resume = addSubcommand(Rollout, "resume", "continue a paused rollout",
                                 ctl_action::rollout_resume);
    auto &Abort = addSubcommand(Rollout, "abort", "return to the predecessor",
                                ctl_action::rollout_abort);
    for (auto *Command : {&Pause, &Resume, &Abort}) {
      addTarget(*Command, "ID", "rollout id");
      addReason(*Command);
    }
    Resume
        .add_option("--revision", Options.Revision,
                    "revision held, as shown by rollout status")
        ->required();
    auto &Status = addSubcommand(Rollout, "status", "show rollouts",
                                 ctl_action::rollout_status);
    Status.add_option("MODEL", Options.Model, "model");
  }

  auto addProcessCommands() -> void {
    addSubcommand(App, "status", "show the state of control or of one process",
                  ctl_action::status);
    addSubcommand(App, "dump", "print all state of a process as JSON",
                  ctl_action::dump);
    auto &Level = addSubcommand(App, "log-level", "show or change log levels",
                                ctl_action::log_level);
    auto *Category =
        Level.add_option("CATEGORY", Options.Category, "log category, or all");
    Category->check(CLI::IsMember(categories()));
    Level.add_option("LEVEL", Options.Level, "new level")
        ->check(CLI::IsMember(levels()))
        ->needs(Category);
  }

  auto addReplicaCommands() -> void {
    auto &Replica =
        *App.add_subcommand("replica", "change the replicas of control");
    Replica.require_subcommand(1)->fallthrough();
    auto &Add =
        addSubcommand(Replica, "add", "add a replica that does not vote yet",
                      ctl_action::replica_add);
    auto &Promote = addSubcommand(Replica, "promote", "let a replica vote",
                                  ctl_action::replica_promote);
    auto &Remove = addSubcommand(Replica, "remove", "remove a replica",
                                 ctl_action::replica_remove);
    for (auto *Command : {&Add, &Promote, &Remove})
      Command
          ->add_option("ID", Options.ReplicaId,
                       "replica id; never used again after its disk is lost")
          ->required();
    Add.add_option_function<std::string>(
           "ADDR",
           [this](const std::string &Text) {
             Options.Address = parseAddressArgument(Text).text();
           },
           "RPC address of the replica")
        ->required();
  }

  auto addLocalCommands() -> void {
    auto &Check =
        addSubcommand(App, "check-config", "check a settings or catalogue file",
                      ctl_action::check_config);
    addFile(Check, "settings file (TOML) or file with entries");
    auto &Completion = addSubcommand(
        App, "completion", "print a completion script", ctl_action::completion);
    addTarget(Completion, "SHELL", "bash")->check(CLI::IsMember({"bash"}));
  }

  static auto categories() -> std::vector<std::string> {
    std::vector<std::string> Names{"all"};
    for (const auto &Row : LogCategoryNames.Rows)
      Names.emplace_back(Row.Name);
    return Names;
  }

  static auto levels() -> std::vector<std::string> {
    std::vector<std::string> Names;
    for (const auto &Row : LogLevelNames.Rows)
      Names.emplace_back(Row.Name);
    return Names;
  }
};

/// Checks rules across several options. \return the fault, or an empty string.
auto checkCombination(const ctl_options &Options) -> std::string {
  const auto NeedsControl = Options.needsClient() && !Options.Node.valid();
  if (NeedsControl && Options.Control.empty())
    return "--control or ACACIANOTCH_CONTROL is required";
  const auto IsNodeAction = Options.Action == ctl_action::status ||
                            Options.Action == ctl_action::dump ||
                            Options.Action == ctl_action::log_level;
  if (Options.Node.valid() && !IsNodeAction)
    return "--node is valid only with status, dump and log-level";
  // With --overwrite, a resend could carry another expected revision than the
  // first attempt and so another content under the same change id.
  if (Options.Overwrite && !Options.ChangeId.empty())
    return "--overwrite cannot be combined with --change-id; set the revision "
           "in the file";
  return {};
}

/// \return the words that may follow the subcommand \p Command.
auto completionWords(const CLI::App &Command) -> std::string {
  std::string Words;
  for (const auto *Child : Command.get_subcommands({}))
    Words += Child->get_name() + " ";
  for (const auto *Option : Command.get_options())
    for (const auto &Name : Option->get_lnames())
      Words += "--" + Name + " ";
  return Words;
}

} // namespace

auto exitForCtl(errc Code) -> ctl_exit {
  switch (Code) {
  case errc::ok:
    return ctl_exit::ok;
  case errc::bad_settings:
    return ctl_exit::bad_settings;
  case errc::revision_conflict:
  case errc::idempotency_conflict:
    return ctl_exit::conflict;
  case errc::not_leader:
  case errc::no_quorum:
    return ctl_exit::no_leader;
  default:
    return ctl_exit::failed;
  }
}

auto parseCtlOptions(std::vector<std::string> Arguments, std::ostream &Out,
                     std::ostream &Err) -> std::variant<ctl_options, ctl_exit> {
  option_parser Parser;
  // CLI11 expects the arguments in reverse order.
  std::reverse(Arguments.begin(), Arguments.end());
  try {
    Parser.App.parse(std::move(Arguments));
  } catch (const CLI::ParseError &Error) {
    const auto IsHelp = Parser.App.exit(Error, Out, Err) == 0;
    return IsHelp ? ctl_exit::ok : ctl_exit::usage;
  }
  const auto Fault = checkCombination(Parser.Options);
  if (Fault.empty())
    return Parser.Options;
  Err << Fault << '\n';
  return ctl_exit::usage;
}

auto bashCompletion() -> std::string {
  option_parser Parser;
  const auto Common = completionWords(Parser.App);
  std::string Cases;
  for (const auto *Command : Parser.App.get_subcommands({}))
    Cases += "    " + Command->get_name() + ") words=\"" +
             completionWords(*Command) + "\" ;;\n";
  return "# Completion of acacianotchctl for bash.\n"
         "_acacianotchctl() {\n"
         "  local word words=\"" +
         Common +
         "\"\n"
         "  for word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n"
         "    case $word in\n" +
         Cases +
         "    esac\n"
         "  done\n"
         "  COMPREPLY=($(compgen -W \"$words\" -- \"$2\"))\n"
         "}\n"
         "complete -o default -F _acacianotchctl acacianotchctl\n";
}

} // namespace acacianotch
