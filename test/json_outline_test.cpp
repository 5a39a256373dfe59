/// \file Division of large JSON documents and decoding in steps.
#include "catalogue/cbor.h"
#include "catalogue/json_outline.h"
#include "core/compression_func.h"
#include "core/random_type.h"
#include "platform/configuration_codec.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <memory>
#include <string>

using namespace acacianotch;

namespace {

/// \return whether the outline and all of its elements are valid.
auto outlineValid(const std::string &Text) -> bool {
  const auto Outline = outlineJson(Text);
  return Outline.ok() &&
         std::all_of(Outline->Elements.begin(), Outline->Elements.end(),
                     [](auto Element) { return parseJson(Element).ok(); });
}

auto routes(int Count) -> std::string {
  std::string Text = R"({"version":1,"services":[{"name":"s"}],"routes":[)";
  for (int Index = 0; Index < Count; ++Index)
    Text += std::string(Index == 0 ? "" : ",") +
            R"({"host":"h","path-prefix":"/)" + std::to_string(Index) +
            R"(/","kind":"safe","timeout-ms":1,"service":"s"})";
  return Text + "]}";
}

} // namespace

// Guards against accepting an invalid document whose parts are valid.
TEST_CASE("an outline is valid exactly if the document is") {
  const std::string Valid =
      R"({"a":[{"b":[1,"],}"]},"x\",[", -1.5e3 ],"c":{"d":[1,2]},"e":[ ]})";
  REQUIRE(outlineValid(Valid));
  constexpr std::string_view Bytes = "{}[],:\"\\ 1ab";
  constexpr std::uint64_t Seed = 23;
  seeded_random Random(Seed);
  INFO("seed ", Seed);
  for (int Round = 0; Round < 20'000; ++Round) {
    auto Text = Valid;
    for (auto Edits = 1 + randomBelow(Random, 3); Edits > 0; --Edits) {
      const auto Position = randomBelow(Random, Text.size());
      const auto Byte = Bytes[randomBelow(Random, Bytes.size())];
      if (randomBelow(Random, 2) == 0)
        Text[Position] = Byte;
      else
        Text.erase(Position, 1);
    }
    INFO(Text);
    const auto Parsed = parseJson(Text);
    if (!Parsed.ok() || Parsed->is_object())
      CHECK(outlineValid(Text) == Parsed.ok());
  }
}

// Guards against a step that decodes the whole document.
TEST_CASE("a large configuration is decoded in steps of bounded size") {
  constexpr std::size_t StepBytes = 4096;
  const auto Text = routes(1000);
  platform::configuration_decoder Decoder(Text, nullptr);
  std::size_t Steps = 1;
  while (!Decoder.step(StepBytes))
    ++Steps;
  CHECK(Steps >= Text.size() / StepBytes);
  const auto Table = Decoder.takeTable();
  REQUIRE(Table.ok());
  CHECK(Table->routeCount() == 1000);
  CHECK(Table->match("h", "/999/x") != nullptr);
  CHECK(Table->match("h", "/1000/x") == nullptr);
}

// Guards against decoding all routes for one, and against unchecked reuse.
TEST_CASE("routes with unchanged text are taken from the previous table") {
  constexpr std::size_t StepBytes = 4096;
  const auto First = platform::decodeConfiguration(routes(1000));
  REQUIRE(First.ok());
  const auto Previous = std::make_shared<const routing_table>(*First);
  platform::configuration_decoder Decoder(routes(1001), Previous);
  std::size_t Steps = 1;
  while (!Decoder.step(StepBytes))
    ++Steps;
  CHECK(Steps < 8);
  const auto Table = Decoder.takeTable();
  REQUIRE(Table.ok());
  CHECK(Table->routeCount() == 1001);
  CHECK(Table->match("h", "/5/") == Previous->match("h", "/5/"));
  auto Unknown = routes(1000);
  Unknown.replace(Unknown.find(R"("name":"s")"), 10, R"("name":"t")");
  platform::configuration_decoder Other(Unknown, Previous);
  while (!Other.step(StepBytes))
    continue;
  CHECK_FALSE(Other.takeTable().ok());
}

// Guards against a damaged or oversized frame that is taken for a document.
TEST_CASE("compressed documents are restored, damaged ones are errors") {
  const auto Text = routes(100);
  const auto Frame = compress(Text);
  REQUIRE(Frame.ok());
  CHECK(Frame->size() * 4 < Text.size());
  const auto Restored = decompress(*Frame, Text.size());
  REQUIRE(Restored.ok());
  CHECK(*Restored == Text);
  CHECK_FALSE(decompress(*Frame, Text.size() - 1).ok());
  CHECK_FALSE(decompress(Frame->substr(0, Frame->size() / 2), 1 << 20).ok());
  const auto Plain = decompress("{}", 2);
  REQUIRE(Plain.ok());
  CHECK(*Plain == "{}");
}
