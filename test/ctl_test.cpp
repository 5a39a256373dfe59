/// \file Tests of acacianotchctl with a fake client that holds a small
/// catalogue.
#include "core/random_type.h"
#include "ctl/entry_file.h"
#include "ctl/run.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>
#include <variant>

#include <unistd.h>

using namespace acacianotch;

namespace {

/// Fake of control: applies put_entry with compare-and-set and records all
/// commands and queries.
struct fake_client {
  std::vector<json> Commands;
  std::vector<std::pair<std::string, json>> Queries;
  std::map<std::string, json> Entries;
  std::optional<failure> Refusal; ///< Returned by every call.
  std::optional<json> Reply;      ///< Returned by every query.
  std::uint64_t Revision = 10;

  auto execute(const json &Command) -> result<json> {
    Commands.push_back(Command);
    if (Refusal)
      return *Refusal;
    if (Command["command"] != "put_entry")
      return json{{"revision", ++Revision}};
    auto Entry = Command["body"]["entry"];
    auto &Current = Entries[file_entry{Entry}.key()];
    if (memberOf(Current, "revision").is_null()
            ? Command["body"]["expected"] != 0
            : Command["body"]["expected"] != Current["revision"])
      return failure::of(errc::revision_conflict, "the entry has a revision");
    Entry["revision"] = ++Revision;
    Current = Entry;
    return json{{"revision", Revision}};
  }

  auto query(std::string_view Name, const json &Arguments) -> result<json> {
    Queries.emplace_back(Name, Arguments);
    if (Refusal)
      return *Refusal;
    if (Reply)
      return *Reply;
    const auto Key = Arguments.value("kind", std::string()) + "/" +
                     Arguments.value("name", std::string());
    if (!Entries.contains(Key))
      return failure::of(errc::unknown_entry);
    return json{{"entries", {Entries[Key]}}};
  }
};
static_assert(control_client<fake_client>);

/// Exit code and output of one command line.
struct ctl_run {
  ctl_exit Exit = ctl_exit::failed;
  std::string Out;
  std::string Err;
};

/// Runs `acacianotchctl Arguments...` at wall clock 1000 ms.
auto runCtl(fake_client &Client, std::vector<std::string> Arguments)
    -> ctl_run {
  std::ostringstream Out;
  std::ostringstream Err;
  Arguments.insert(Arguments.begin(),
                   {"--control", "127.0.0.1:70", "--issuer", "ana"});
  const auto Parsed = parseCtlOptions(std::move(Arguments), Out, Err);
  if (const auto *Exit = std::get_if<ctl_exit>(&Parsed))
    return {*Exit, Out.str(), Err.str()};
  const auto &Options = std::get<ctl_options>(Parsed);
  const auto Identity = identityFor(Options, 1000, 255);
  const ctl_output Output{Out, Err, Options.Json};
  const auto Exit = ctl_runner(Client, Options, Identity, Output).run();
  return {Exit, Out.str(), Err.str()};
}

/// A temporary file; the destructor removes it.
class temporary_file {
public:
  temporary_file(const std::string &Name, const std::string &Text)
      : Path(std::filesystem::temp_directory_path() /
             ("ctl_test_" + std::to_string(getpid()) + Name)) {
    std::ofstream(Path) << Text;
  }
  temporary_file(const temporary_file &) = delete;
  auto operator=(const temporary_file &) -> temporary_file & = delete;
  ~temporary_file() {
    std::error_code Ignored;
    std::filesystem::remove(Path, Ignored);
  }
  [[nodiscard]] auto name() const -> std::string { return Path.string(); }

private:
  std::filesystem::path Path;
};

const std::string TwoEntries = R"(
[[entries]]
kind = "version"
name = "small@1"
owner = "ml"
body = { model = "small", version = "1", quality = 0.7 }

[[entries]]
kind = "class"
name = "short"
owner = "ml"
body = { priority = 0, deadline_ms = 2000 }
)";

auto contains(std::string_view Text, std::string_view Part) -> bool {
  return Text.find(Part) != std::string_view::npos;
}

} // namespace

// Guards against a resend that is applied as a second change.
TEST_CASE("apply sends each entry once with a change id that can be resent") {
  const temporary_file File(".toml", TwoEntries);
  fake_client Client;
  const auto First = runCtl(Client, {"apply", File.name()});
  CHECK(First.Exit == ctl_exit::ok);
  REQUIRE(Client.Commands.size() == 2);
  const std::string Id = "0000000003e8-00000000000000ff";
  CHECK(Client.Commands[0]["change_id"] == Id + ".0");
  CHECK(Client.Commands[1]["change_id"] == Id + ".1");
  CHECK(Client.Commands[0]["issuer"] == "ana");
  CHECK(Client.Commands[0]["body"]["entry"]["body"]["quality"] == 0.7);
  CHECK(contains(First.Out, "change id " + Id + ", 2 of 2 entries"));
  Client.Entries.clear();
  // The resend carries the time of the first attempt.
  static_cast<void>(runCtl(Client, {"--change-id", Id, "apply", File.name()}));
  CHECK(Client.Commands[2] == Client.Commands[0]);
}

// Guards against an apply that overwrites a change its author has not seen.
TEST_CASE("apply refuses other content and accepts equal content") {
  const temporary_file File(".toml", TwoEntries);
  fake_client Client;
  static_cast<void>(runCtl(Client, {"apply", File.name()}));
  const auto Again = runCtl(Client, {"apply", File.name()});
  CHECK(Again.Exit == ctl_exit::ok);
  CHECK(contains(Again.Out, "unchanged"));
  Client.Entries["version/small@1"]["body"]["quality"] = 0.9;
  const auto Conflict = runCtl(Client, {"apply", File.name()});
  CHECK(Conflict.Exit == ctl_exit::conflict);
  CHECK(contains(Conflict.Err, "0.9"));
  CHECK(contains(Conflict.Out, "1 of 2 entries"));
  CHECK(Client.Entries["version/small@1"]["body"]["quality"] == 0.9);
  const auto Forced = runCtl(Client, {"apply", "--overwrite", File.name()});
  CHECK(Forced.Exit == ctl_exit::ok);
  CHECK(Client.Entries["version/small@1"]["body"]["quality"] == 0.7);
}

// Guards against a failure message that hides that the change may be in effect.
TEST_CASE("a change without a reply prints the id for a resend") {
  fake_client Client;
  Client.Refusal = failure::of(errc::no_quorum);
  const auto Run = runCtl(Client, {"withdraw", "small@1", "--reason", "bad"});
  CHECK(Run.Exit == ctl_exit::no_leader);
  CHECK(contains(Run.Err, "--change-id 0000000003e8-00000000000000ff"));
  Client.Refusal = failure::of(errc::not_leader);
  const auto NotRun = runCtl(Client, {"drain", "engine-1"});
  CHECK(NotRun.Exit == ctl_exit::no_leader);
  CHECK_FALSE(contains(NotRun.Err, "--change-id"));
}

// Guards against commands that control cannot decode.
TEST_CASE("changes carry the fields of their command") {
  fake_client Client;
  const auto Sent = [&](std::vector<std::string> Arguments) {
    const auto Run = runCtl(Client, std::move(Arguments));
    CHECK(Run.Exit == ctl_exit::ok);
    CHECK(contains(Run.Out, "change_id"));
    const auto &Command = Client.Commands.back();
    CHECK(Command["issued_ms"] == 1000);
    return json{Command["command"], Command["body"]};
  };
  CHECK(Sent({"withdraw", "small@1", "--reason", "wrong answers"}) ==
        json{"withdraw_version",
             {{"version", "small@1"}, {"reason", "wrong answers"}}});
  CHECK(Sent({"drain", "engine-1", "--undo"}) ==
        json{"drain_backend", {{"name", "engine-1"}, {"leaving", false}}});
  CHECK(Sent({"evacuate", "zone-a"}) ==
        json{"evacuate_zone", {{"zone", "zone-a"}}});
  CHECK(Sent({"evacuate", "zone-a", "--end"}) ==
        json{"end_evacuation", {{"zone", "zone-a"}}});
  CHECK(Sent({"rollout", "start", "small", "1", "2", "--stage", "0.01:500:60",
              "--stage", "1"}) == json{"start_rollout",
                                       {{"model", "small"},
                                        {"from", "1"},
                                        {"to", "2"},
                                        {"stages",
                                         {{{"share", 0.01},
                                           {"min_requests", 500},
                                           {"min_duration_ms", 60000}},
                                          {{"share", 1.0}}}}}});
  CHECK(Sent({"rollout", "resume", "small#7", "--revision", "9"}) ==
        json{"set_rollout_state",
             {{"id", "small#7"},
              {"state", "running"},
              {"reason", ""},
              {"expected", 9}}});
  CHECK(Sent({"lift-quarantine", "18446744073709551615"})[1]["fingerprint"] ==
        18446744073709551615ULL);
  CHECK(Sent({"remove", "class/short", "--revision", "12"}) ==
        json{"remove_entry",
             {{"kind", "class"}, {"name", "short"}, {"expected", 12}}});
}

// Guards against malformed arguments that reach control, and against exit code
// 0 for them.
TEST_CASE("invalid command lines exit with 2 and send nothing") {
  fake_client Client;
  const std::vector<std::vector<std::string>> Lines{
      {},
      {"aply", "x"},
      {"withdraw", "small"},
      {"withdraw", "@1"},
      {"lift-quarantine", "-1"},
      {"rollout", "start", "small", "1", "2"},
      {"rollout", "start", "small", "1", "2", "--stage", "1.5"},
      {"rollout", "start", "small", "1", "2", "--stage", "nan"},
      {"rollout", "start", "small", "1", "2", "--stage", "0.1:x"},
      {"rollout", "resume", "small#7"},
      {"rollout"},
      {"remove", "class", "--revision", "1"},
      {"--timeout", "0", "status"},
      {"--control", "host:1", "status"},
      {"--node", "127.0.0.1:0", "status"},
      {"--node", "127.0.0.1:1", "drain", "engine-1"},
      {"log-level", "rpc", "loud"},
      {"log-level", "rcp"},
      {"--change-id", "a", "apply", "--overwrite", "f"},
      {"completion", "fish"}};
  for (const auto &Line : Lines) {
    CAPTURE(json(Line).dump());
    CHECK(runCtl(Client, Line).Exit == ctl_exit::usage);
  }
  CHECK(Client.Commands.empty());
  CHECK(Client.Queries.empty());
}

// Guards against a file fault that is reported one at a time or applied in
// part.
TEST_CASE("faults in a file exit with 3 and send nothing") {
  fake_client Client;
  const temporary_file Bad(".toml", "[[entries]]\nkind = 1\nnmae = \"a\"\n"
                                    "body = { since = 1979-05-27 }\n"
                                    "revision = -1\n");
  const auto Run = runCtl(Client, {"apply", Bad.name()});
  CHECK(Run.Exit == ctl_exit::bad_settings);
  for (const std::string Part :
       {"kind: found 1", "nmae: found an unknown key", "body: found",
        "revision: found -1", "owner: found nothing"})
    CHECK(contains(Run.Err, Part));
  const temporary_file Syntax(".toml", "[[entries]\n");
  CHECK(runCtl(Client, {"apply", Syntax.name()}).Exit ==
        ctl_exit::bad_settings);
  const temporary_file Twice(".json",
                             R"([{"kind":"a","name":"b","owner":"","body":{}},
                               {"kind":"a","name":"b","owner":"","body":{}}])");
  CHECK(runCtl(Client, {"diff", Twice.name()}).Exit == ctl_exit::bad_settings);
  CHECK(runCtl(Client, {"apply", "/nonexistent"}).Exit ==
        ctl_exit::bad_settings);
  CHECK(Client.Commands.empty());
}

// Guards against a stack overflow: JSON is checked and printed recursively.
TEST_CASE("deeply nested JSON is rejected") {
  fake_client Client;
  constexpr std::size_t Depth = 200000;
  const auto Nested = std::string(Depth, '[') + std::string(Depth, ']');
  const temporary_file File(".json", Nested);
  CHECK(runCtl(Client, {"check-config", File.name()}).Exit ==
        ctl_exit::bad_settings);
  const temporary_file Text(".json", R"([{"kind":"a","name":"b","owner":"\"[",
                                       "body":{"x":")" +
                                         std::string(Depth, '[') + "\"}}]");
  CHECK(runCtl(Client, {"check-config", Text.name()}).Exit == ctl_exit::ok);
}

// Guards against a crash on damaged files. ACACIANOTCH_SEED sets the seed.
TEST_CASE("randomly damaged entry files are rejected or read without a crash") {
  const auto *Given = std::getenv("ACACIANOTCH_SEED");
  const auto Seed =
      Given != nullptr ? std::strtoull(Given, nullptr, 10) : 20261204;
  CAPTURE(Seed);
  seeded_random Random(Seed);
  const std::string Json =
      R"([{"kind":"a","name":"b","owner":"c","revision":1,"body":{"x":[1]}}])";
  constexpr std::string_view Tokens = "[]{}=.,:\"'\\\n#-+ 019aetn\xff\xc3";
  for (int Round = 0; Round < 1000; ++Round) {
    const auto IsToml = randomBelow(Random, 2) == 0;
    auto Text = IsToml ? TwoEntries : Json;
    for (auto Edits = 1 + randomBelow(Random, 5); Edits > 0; --Edits)
      Text[randomBelow(Random, Text.size())] =
          Tokens[randomBelow(Random, Tokens.size())];
    const temporary_file File(IsToml ? ".toml" : ".json", Text);
    const auto Entries = loadEntries(File.name());
    if (!Entries)
      CHECK(Entries.error().Code == errc::bad_settings);
  }
}

// Guards against output of `get --json` that cannot be edited and applied.
TEST_CASE("apply accepts the edited JSON output of get") {
  const temporary_file File(".toml", TwoEntries);
  fake_client Client;
  static_cast<void>(runCtl(Client, {"apply", File.name()}));
  auto Got =
      json::parse(runCtl(Client, {"--json", "get", "version/small@1"}).Out);
  Got["entries"][0]["body"]["quality"] = 0.8;
  Got["entries"][0]["created"] = 3;
  const temporary_file Edited(".json", Got.dump());
  CHECK(contains(runCtl(Client, {"diff", Edited.name()}).Out, "body.quality"));
  CHECK(runCtl(Client, {"apply", Edited.name()}).Exit == ctl_exit::ok);
  CHECK(Client.Entries["version/small@1"]["body"]["quality"] == 0.8);
}

// Guards against a crash on a malformed reply, and against escape sequences
// from a reply on the terminal.
TEST_CASE("malformed replies are printed or rejected") {
  fake_client Client;
  for (const json &Malformed :
       {json(1), json::array(), json{{"entries", 1}}, json{{"entries", {1}}},
        json{{"entries", {{{"name", "\x1b[2J"}, {"revision", "x"}}}}}}) {
    Client.Reply = Malformed;
    CAPTURE(Malformed.dump());
    const auto Run = runCtl(Client, {"get"});
    CHECK((Run.Exit == ctl_exit::ok) == Malformed.is_object());
    CHECK_FALSE(contains(Run.Out, "\x1b"));
    static_cast<void>(runCtl(Client, {"status"}));
  }
}

// Guards against a membership change that names another replica or address.
TEST_CASE("replica sends id and address") {
  fake_client Client;
  Client.Reply = json{{"accepted", true}};
  const auto Run = [&](std::vector<std::string> Arguments) {
    return runCtl(Client, std::move(Arguments)).Exit;
  };
  CHECK(Run({"replica", "add", "4", "127.0.0.1:71"}) == ctl_exit::ok);
  CHECK(Run({"replica", "promote", "4"}) == ctl_exit::ok);
  CHECK(Run({"replica", "remove", "2"}) == ctl_exit::ok);
  const std::vector<std::pair<std::string, json>> Expected = {
      {"add_replica", {{"id", 4}, {"address", "127.0.0.1:71"}}},
      {"promote_replica", {{"id", 4}}},
      {"remove_replica", {{"id", 2}}}};
  CHECK(Client.Queries == Expected);
  CHECK(Run({"replica", "add", "4"}) == ctl_exit::usage);
  CHECK(Run({"replica", "add", "4", "nowhere"}) == ctl_exit::usage);
}

// Guards against a log level change that affects other categories.
TEST_CASE("log-level sends category and level") {
  fake_client Client;
  Client.Reply = json{{"levels", {{"rpc", "debug"}}}};
  const auto Run = runCtl(Client, {"log-level", "rpc", "debug"});
  CHECK(contains(Run.Out, "rpc  debug"));
  CHECK(Client.Queries.back().second ==
        json{{"category", "rpc"}, {"level", "debug"}});
  static_cast<void>(runCtl(Client, {"log-level", "all", "info"}));
  CHECK(Client.Queries.back().second == json{{"level", "info"}});
}

// Guards against a completion that misses a new subcommand.
TEST_CASE("completion and JSON errors") {
  fake_client Client;
  const auto Script = runCtl(Client, {"completion", "bash"}).Out;
  for (const std::string Word :
       {"apply", "lift-quarantine", "resume", "--change-id", "check-config"})
    CHECK(contains(Script, Word));
  Client.Refusal = failure::of(errc::overloaded, "queue full");
  const auto Run = runCtl(Client, {"--json", "status"});
  CHECK(Run.Exit == ctl_exit::failed);
  CHECK(json::parse(Run.Out)["error"]["verdict"] == "not_run");
}
