/// \file Tests of all decoders of the catalogue with damaged input.
#include "catalogue_random.h"

#include "catalogue/catalogue_view.h"
#include "catalogue/cbor.h"

#include <doctest/doctest.h>

#include <set>

using namespace acacianotch;
using namespace acacianotch::catalogue_test;

namespace {

/// Feeds \p Bytes to every decoder; whatever one accepts must be usable.
auto decodeAll(const std::string &Bytes) -> void {
  if (auto Command = decodeCommand(Bytes)) {
    catalogue_state State;
    State.apply(*Command, 1);
    CHECK(decodeCommand(encodeCommand(*Command)).ok());
  }
  if (auto State = catalogue_state::decodeSnapshot(Bytes)) {
    random_commands Commands(1);
    cluster Cluster;
    Cluster.State = std::move(*State);
    Cluster.Index = Cluster.State.index() & 0xFFFFFFFFU;
    for (int Step = 0; Step < 20; ++Step)
      Commands.step(Cluster);
    CHECK_FALSE(Cluster.State.updatesSince({}).empty());
  }
  catalogue_view View;
  node_update Update;
  Update.Epoch = epoch{1};
  Update.Chunks = 1;
  Update.Payload = Bytes;
  if (View.apply(Update, {}).ok())
    CHECK(decodeChanges(encodeChanges(View.content())).ok());
  if (auto Value = decodeCbor(Bytes))
    CHECK_FALSE(printJson(*Value).empty());
  const auto Parsed = parseJson(Bytes);
  CHECK((Parsed.ok() || !Parsed.error().Detail.empty()));
}

auto samples() -> std::vector<std::string> {
  random_commands Commands(3);
  cluster Cluster;
  for (int Step = 0; Step < 150; ++Step)
    Commands.step(Cluster);
  return {Cluster.State.encodeSnapshot(),
          encodeChanges(Cluster.State.sharedContent()),
          encodeCommand(Cluster.make(
              put_entry{versionEntry("m", "1"), revision{4}, true})),
          encodeCommand(Cluster.make(report_crash{
              "c", "b", true, {fingerprint{1}}, {fingerprint{2}}})),
          encodeCommand(
              Cluster.make(start_rollout{"m", "1", "2", {{0.5, 1, 2}}, {}})),
          printJson(commandToJson(Cluster.make(drain_backend{"b", true})))};
}

/// Changes, removes or adds some bytes.
auto damage(std::string Bytes, seeded_random &Random) -> std::string {
  const auto Times = 1 + randomBelow(Random, 4);
  for (std::uint64_t Time = 0; Time < Times && !Bytes.empty(); ++Time) {
    const auto At = randomBelow(Random, Bytes.size());
    const auto Byte = static_cast<char>(randomBelow(Random, 256));
    switch (randomBelow(Random, 4)) {
    case 0:
      Bytes.resize(At);
      break;
    case 1:
      Bytes.insert(At, 1, Byte);
      break;
    default:
      Bytes[At] = Byte;
    }
  }
  return Bytes;
}

} // namespace

// Guards against an exception, a crash or an unusable state when stored or
// received bytes are damaged.
TEST_CASE("damaged input never crashes a decoder") {
  constexpr std::uint64_t Seed = 5;
  INFO("seed " << Seed);
  seeded_random Random(Seed);
  for (const auto &Sample : samples()) {
    const auto Rounds = Sample.size() > 4096 ? 300 : 2000;
    for (int Round = 0; Round < Rounds; ++Round)
      decodeAll(damage(Sample, Random));
  }
}

// Guards against the same with input that has no structure.
TEST_CASE("random bytes never crash a decoder") {
  constexpr std::uint64_t Seed = 6;
  INFO("seed " << Seed);
  seeded_random Random(Seed);
  for (int Round = 0; Round < 5000; ++Round) {
    std::string Bytes(randomBelow(Random, 64), '\0');
    for (auto &Byte : Bytes)
      Byte = static_cast<char>(randomBelow(Random, 256));
    decodeAll(Bytes);
  }
}

// Guards against a snapshot of another format being half understood.
TEST_CASE("a snapshot of another format is refused by name") {
  cluster Cluster;
  auto Value = decodeCbor(Cluster.State.encodeSnapshot());
  REQUIRE(Value.ok());
  (*Value)["format"] = StateFormat + 1;
  const auto State = catalogue_state::decodeSnapshot(encodeCbor(*Value));
  REQUIRE_FALSE(State.ok());
  CHECK(State.error().Code == errc::corrupt_data);
  CHECK(State.error().Detail.find("format 2") != std::string::npos);
}

// Guards against a command that loses a field on its way through the log.
TEST_CASE("every command round-trips") {
  random_commands Commands(9);
  cluster Cluster;
  std::set<std::size_t> Kinds;
  for (int Step = 0; Step < 500; ++Step) {
    Commands.step(Cluster);
    const auto &Sent = Commands.last();
    Kinds.insert(Sent.Body.index());
    const auto Back = decodeCommand(encodeCommand(Sent));
    INFO((Back.ok() ? "" : Back.error().text()));
    REQUIRE(Back.ok());
    CHECK(commandToJson(Back.value()) == commandToJson(Sent));
  }
  CHECK(Kinds.size() == CommandNames.size() - 2);
  const usage_record Usage{request_id("n-1"),
                           account_id("a"),
                           "n",
                           {{{"m", "1"}, "hedge", 1, 2, 3, false}}};
  for (const auto &Body : std::initializer_list<command_body>{
           settle_request{account_id("a"), "k", request_id("r"),
                          claim_outcome::done,
                          stored_response{200, "text/plain", {"\xff"}}},
           record_usage{{Usage}},
           report_version_evidence{"m#1", "n", 7, {{"1", 6, 5, 4, 3, 2, 1}}}}) {
    const auto Sent = Cluster.make(Body);
    const auto Back = decodeCommand(encodeCommand(Sent));
    REQUIRE(Back.ok());
    CHECK(commandToJson(Back.value()) == commandToJson(Sent));
  }
}

// Guards against a command or an entry kind without documentation.
TEST_CASE("every command has documented fields") {
  for (const auto Name : CommandNames)
    CHECK_FALSE(describeCommand(Name).empty());
  CHECK(describeCommand("none").empty());
}
