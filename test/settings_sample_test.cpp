/// \file Tests of the sample settings and catalogues.
#include "core/file_func.h"
#include "core/metrics.h"
#include "ctl/entry_file.h"
#include "table/error_reference.h"
#include "table/settings.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace acacianotch;

namespace {

using std::filesystem::path;

/// All files of one sample deployment.
struct sample {
  std::vector<settings> Settings;
  std::map<std::string, json> Entries; ///< By `kind/name`.

  [[nodiscard]] auto count(process_role Role) const {
    return std::count_if(Settings.begin(), Settings.end(),
                         [&](const settings &One) { return One.Role == Role; });
  }
  [[nodiscard]] auto count(std::string_view Kind) const {
    return std::count_if(Entries.begin(), Entries.end(), [&](const auto &One) {
      return One.second["kind"] == Kind;
    });
  }
};

auto load(const std::string &Name) -> sample {
  sample Sample;
  const auto Folder = path(SOURCE_FOLDER) / "settings" / Name;
  for (const auto &File : std::filesystem::directory_iterator(Folder)) {
    if (File.path().extension() != ".toml" ||
        File.path().filename() == "catalogue.toml")
      continue;
    const auto Settings = loadSettings(File.path());
    CHECK_MESSAGE(Settings.ok(), (Settings ? "" : Settings.error().Detail));
    if (Settings)
      Sample.Settings.push_back(*Settings);
  }
  const auto Entries = loadEntries(Folder / "catalogue.toml");
  REQUIRE_MESSAGE(Entries.ok(), (Entries ? "" : Entries.error().Detail));
  for (const auto &Entry : *Entries)
    Sample.Entries[Entry.key()] = Entry.Entry;
  return Sample;
}

auto addressesOf(const settings &One) -> std::vector<address> {
  return {One.Rpc.Listen, One.Http.Listen, One.Admin.Listen,
          One.Admin.RpcListen, One.Agent.BackendAddress};
}

/// Checks what the files of one deployment say about each other.
auto checkLinks(const sample &Sample) -> void {
  std::set<address> Listening;
  std::set<address> Control;
  for (const auto &One : Sample.Settings) {
    CHECK(readSecretFile(One.Node.SecretFile).ok());
    for (const auto &Address : addressesOf(One))
      if (Address.valid())
        CHECK_MESSAGE(Listening.insert(Address).second, Address.text());
    if (One.Role == process_role::control)
      Control.insert(One.Rpc.Listen);
  }
  for (const auto &One : Sample.Settings) {
    for (const auto &Address : One.Control.Addresses)
      CHECK(Control.contains(Address));
    for (const auto &Peer : One.Control.Peers)
      CHECK(Control.contains(Peer.Address));
    if (One.Role != process_role::agent)
      continue;
    const auto Backend =
        Sample.Entries.find("backend/" + One.Agent.BackendName);
    REQUIRE(Backend != Sample.Entries.end());
    const auto &Body = Backend->second["body"];
    CHECK(Body["address"] == One.Rpc.Listen.text());
    CHECK(Body["zone"] == One.Node.Zone);
    CHECK(Body["slots"] == One.Agent.Slots);
  }
}

/// Checks that entries refer to entries that exist.
auto checkReferences(const sample &Sample) -> void {
  const auto Has = [&](const std::string &Kind, const json &Name) {
    return Sample.Entries.contains(Kind + "/" + Name.get<std::string>());
  };
  for (const auto &Item : Sample.Entries) {
    const auto &Entry = Item.second;
    const auto &Body = Entry["body"];
    CAPTURE(Item.first);
    if (Body.contains("class"))
      CHECK(Has("class", Body["class"]));
    if (Entry["kind"] != "backend")
      continue;
    for (const auto &Version : Body["versions"])
      CHECK(Has("version", Version));
    if (Body["versions"].empty())
      CHECK(Has("service", Body["service"]));
  }
}

} // namespace

// Guards against samples that no longer start after a settings row changed, and
// against files of one deployment that contradict each other.
TEST_CASE("the sample deployments load and fit together") {
  const auto Ciranda = load("ciranda");
  checkLinks(Ciranda);
  checkReferences(Ciranda);
  CHECK(Ciranda.count(process_role::control) == 3);
  CHECK(Ciranda.count(process_role::entry) == 3);
  CHECK(Ciranda.count(process_role::agent) == 23);
  CHECK(Ciranda.count("backend") == 23);
  CHECK(Ciranda.count("account") == 10);
  const auto Defterdar = load("defterdar");
  checkLinks(Defterdar);
  checkReferences(Defterdar);
  CHECK(Defterdar.count(process_role::control) == 3);
  CHECK(Defterdar.count(process_role::agent) == 13);
  CHECK(Defterdar.count("account") == 10);
}

// Guards against pages that lag behind the tables; scripts/make-pages repairs
// them.
TEST_CASE("the pages hold the current reference tables") {
  const auto Page = [](const std::string &Name) {
    const auto Text = readSmallFile(path(SOURCE_FOLDER) / "docs" / Name);
    REQUIRE(Text.ok());
    return *Text;
  };
  const auto Has = [](const std::string &Text, const std::string &Table) {
    return Text.find("-->\n\n" + Table + "\n<!-- end") != std::string::npos;
  };
  const auto Operating = Page("OPERATING.md");
  CHECK(Has(Operating, settingsReference()));
  CHECK(Has(Operating, metricsReference()));
  CHECK(Has(Operating, errorReference()));
  CHECK(Has(Page("API.md"), errorReference()));
}
