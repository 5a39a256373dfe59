/// \file Tests of the settings table, the parser and the printed pages.
#include "core/random_type.h"
#include "table/error_reference.h"
#include "table/settings.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <set>
#include <string>

using namespace acacianotch;
using namespace std::literals;

namespace {

const std::string Head = "role = \"agent\"\n"
                         "[node]\n"
                         "id = \"agent-1\"\n"
                         "zone = \"zone-a\"\n"
                         "secret_file = \"secret\"\n"
                         "[control]\n"
                         "addresses = [\"10.0.0.1:70\", \"[::1]:70\"]\n";
const std::string Agent = Head + "[rpc]\n"
                                 "listen = \"127.0.0.1:0\"\n"
                                 "[admin]\n"
                                 "listen = \"127.0.0.1:0\"\n"
                                 "[agent]\n"
                                 "backend_name = \"engine-1\"\n"
                                 "backend_address = \"127.0.0.1:90\"\n";

auto read(const std::string &Toml) -> settings_reading {
  return readSettings(Toml, "/etc/acacianotch/agent.toml");
}

/// \return the text of the only fault of \p Toml; all of them if there are
/// more.
auto faults(const std::string &Toml) -> std::string {
  std::string Text;
  for (const auto &Fault : read(Toml).Faults)
    Text += Fault.text() + "\n";
  return Text;
}

auto contains(std::string_view Text, std::string_view Part) -> bool {
  return Text.find(Part) != std::string_view::npos;
}

} // namespace

// Guards against a row with a default that its own range refuses, which no
// operator could repair, and against duplicate keys, where one row wins.
TEST_CASE("every row has a valid default, a text and its own key") {
  CHECK(faults(Agent) == "");
  std::set<std::string_view> Keys;
  for (const auto &Row : settingRows()) {
    CHECK(Keys.insert(Row.Key).second);
    CHECK_FALSE(Row.Text.empty());
    CHECK_FALSE((Row.Required != required_for::none && !Row.Default.empty()));
  }
}

// Guards against two rows that fill the same member, so that one setting
// silently overwrites another.
TEST_CASE("every row fills its own member") {
  settings Settings;
  std::set<const void *> Members;
  for (const auto &Row : settingRows())
    std::visit(
        [&](auto Slot) { CHECK(Members.insert(&Slot(Settings)).second); },
        Row.Slot);
}

// Guards against values that are read but end up in another member or unit.
TEST_CASE("values and defaults reach their members") {
  const auto Reading = read(Agent + "long_work_share = 1\n[log]\n"
                                    "level = \"warning\"\n"
                                    "levels.rpc = \"trace\"\n");
  REQUIRE(Reading.Value);
  const auto &Settings = *Reading.Value;
  CHECK(Settings.Role == process_role::agent);
  CHECK(Settings.Node.SecretFile == "/etc/acacianotch/secret");
  REQUIRE(Settings.Control.Addresses.size() == 2);
  CHECK(Settings.Control.Addresses[1] == address{"::1", 70});
  CHECK(Settings.Agent.LongWorkShare == 1.0);
  CHECK(Settings.CatalogueLease == milliseconds(2000));
  CHECK(Settings.ShutdownDeadline == seconds(600));
  CHECK(Settings.Log.level(log_category::rpc) == log_level::trace);
  CHECK(Settings.Log.level(log_category::net) == log_level::warning);
}

// Guards against an error that does not tell the operator where and what to
// change.
TEST_CASE("a fault names file, line, key, what was found and what is allowed") {
  CHECK(faults(Agent + "slots = 0\n") ==
        "/etc/acacianotch/agent.toml:15: agent.slots: found 0; allowed: an "
        "integer from 1 to 65536 requests\n");
}

// Guards against a start with a setting that was misspelt and so ignored.
TEST_CASE("unknown keys are faults that name the nearest known key") {
  const auto Text = faults(Agent + "slotz = 4\n[htpp]\n");
  CHECK(contains(Text, "agent.toml:15: agent.slotz: found an unknown key"));
  CHECK(contains(Text, "the nearest is agent.slots"));
  CHECK(contains(Text, "agent.toml:16: htpp: found an unknown key"));
}

// Guards against reporting one fault per start.
TEST_CASE("all faults are reported at once") {
  const auto Reading = read("role = \"agent\"\n[agent]\nslots = \"many\"\n"
                            "queue_limit = -1\n[rpc]\nlisten = \"host:80\"\n");
  CHECK_FALSE(Reading.Value);
  std::set<std::string> Keys;
  for (const auto &Fault : Reading.Faults)
    Keys.insert(Fault.Key);
  const std::set<std::string> Expected{
      "agent.slots",       "agent.queue_limit",  "rpc.listen",
      "node.id",           "node.zone",          "node.secret_file",
      "control.addresses", "agent.backend_name", "agent.backend_address",
      "admin.listen"};
  CHECK(Keys == Expected);
}

// Guards against values that a lax conversion would accept.
TEST_CASE("values of the wrong type or range are faults") {
  for (const std::string Line :
       {"slots = 1.0", "slots = true", "slots = 9223372036854775807",
        "slots = [1]", "long_work_share = nan", "long_work_share = 1.01",
        "long_work_share = \"1\"", "fencing_checked_by_engine = 1",
        "slots = {a = 1}"}) {
    CAPTURE(Line);
    CHECK(read(Agent + Line + "\n").Faults.size() == 1);
  }
}

// Guards against timing that would allow two leaders.
TEST_CASE("related settings are compared") {
  const auto Text =
      faults(Agent + "[control2]\n" +
             "[log]\nlevel = \"info\"\n"); // Unknown key hides the rules.
  CHECK_FALSE(contains(Text, "less than"));
  auto Timing = Agent;
  Timing.replace(Timing.find("[control]\n"), 10, "[control]\nlease_ms = 300\n");
  CHECK(contains(faults(Timing), "control.lease_ms: found 300; allowed: less "
                                 "than control.election_timeout_min_ms"));
}

// Guards against replicas that share an id or an address, which would let one
// disk count twice in a quorum.
TEST_CASE("repeated replicas and addresses are faults") {
  const auto WithPeers = [](const std::string &Peers) {
    auto Toml = Agent;
    Toml.replace(Toml.find("[control]\n"), 10,
                 "[control]\npeers = [" + Peers + "]\n");
    return read(Toml).Faults.size();
  };
  CHECK(WithPeers(R"("1=10.0.0.1:70", "2=10.0.0.2:70")") == 0);
  CHECK(WithPeers(R"("1=10.0.0.1:70", "1=10.0.0.2:70")") == 1);
  CHECK(WithPeers(R"("1=10.0.0.1:70", "2=10.0.0.1:70")") == 1);
  CHECK(WithPeers(R"("0=10.0.0.1:70")") == 1);
  CHECK(WithPeers("") == 1);
}

// Guards against addresses that parse differently here than in the kernel.
TEST_CASE("addresses are numeric with a port") {
  for (const std::string Text :
       {"127.0.0.1:0", "[::1]:65535", "[fe80::1:2]:80"}) {
    CAPTURE(Text);
    const auto Address = parseAddress(Text);
    REQUIRE(Address.ok());
    CHECK(Address->text() == Text);
  }
  for (const std::string Text :
       {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:-1",
        "127.0.0.1: 80", "127.1:80", "::1:80", "[127.0.0.1]:80", "[::1]80",
        "localhost:80", "127.0.0.1:80x"}) {
    CAPTURE(Text);
    CHECK_FALSE(parseAddress(Text).ok());
  }
  CHECK_FALSE(parseAddress(std::string_view("127.0.0.1\0:80", 13)).ok());
}

// Guards against a page, a help text or a dump that misses a setting.
TEST_CASE("help, reference and dump show every row") {
  const auto Reading = read(Agent);
  REQUIRE(Reading.Value);
  const auto Dump = dumpSettings(*Reading.Value);
  for (const auto &Row : settingRows()) {
    const std::string Key(Row.Key);
    CHECK(contains(settingsHelp(), "  " + Key + " "));
    CHECK(contains(settingsReference(), "| `" + Key + "` |"));
    CHECK(Dump.contains(Key));
  }
  CHECK(Dump["control.addresses"][1] == "[::1]:70");
  CHECK(Dump["control.lease_ms"] == 200);
  CHECK(Dump["http.listen"].is_null());
}

// Guards against a new error code without advice for operators.
TEST_CASE("every error has advice in the reference") {
  const auto Last = static_cast<std::uint16_t>(errc::internal);
  for (std::uint16_t Value = 1; Value <= Last; ++Value) {
    const auto Code = static_cast<errc>(Value);
    CHECK_FALSE(errorAdvice(Code).empty());
    CHECK(contains(errorReference(),
                   "| `" + std::string(errcRow(Code).Name) + "` |"));
  }
}

// Guards against a crash on a file that cannot be read or is not TOML.
TEST_CASE("unreadable and malformed files are failures") {
  CHECK(loadSettings("/nonexistent.toml").error().Code == errc::bad_settings);
  CHECK(loadSettings("/").error().Code == errc::bad_settings);
  CHECK(contains(faults("role = \n"), "agent.toml:1: found"));
  // These end a debug build of toml++ 3.3.0 by an assertion.
  for (const std::string Header : {"[=]", "[,]", "[[.]]"})
    CHECK(contains(faults(Header), "agent.toml:1: found"));
  CHECK(contains(faults("role = \"entry\"\nrole = \"agent\"\n"),
                 "agent.toml:2: found"));
}

// Guards against a crash, a hang or an exception on any input. The seed is
// printed; ACACIANOTCH_SEED repeats a run.
TEST_CASE("random garbage is refused or read, never fatal") {
  const auto *Given = std::getenv("ACACIANOTCH_SEED");
  const auto Seed =
      Given != nullptr ? std::strtoull(Given, nullptr, 10) : 20261204;
  CAPTURE(Seed);
  seeded_random Random(Seed);
  constexpr std::string_view Tokens = "[]{}=.,\"'\\\n#-+_ \t\r\0\xff\xc3"
                                      "019aeinftru"sv;
  for (int Round = 0; Round < 3000; ++Round) {
    auto Toml = Agent;
    const auto Edits = 1 + randomBelow(Random, 20);
    for (std::uint64_t Edit = 0; Edit < Edits; ++Edit) {
      const auto Place = randomBelow(Random, Toml.size());
      const auto Token = Tokens[randomBelow(Random, Tokens.size())];
      if (randomBelow(Random, 2) == 0)
        Toml[Place] = Token;
      else
        Toml.insert(Place, 1 + randomBelow(Random, 3), Token);
    }
    const auto Reading = read(Toml);
    CHECK(Reading.Value.has_value() == Reading.Faults.empty());
    for (const auto &Fault : Reading.Faults)
      CHECK(Fault.text().find('\n') == std::string::npos);
  }
}
