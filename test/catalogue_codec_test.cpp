/// \file Tests of the catalogue's codecs.
#include "catalogue/cbor.h"
#include "catalogue/command_type.h"

#include <doctest/doctest.h>

using namespace acacianotch;

namespace {

auto versionJson() -> json {
  return json::parse(R"({"kind":"version","name":"m@1","owner":"ops",
    "body":{"model":"m","version":"1","input_cost":3,"output_cost":9,
            "quality":0.5}})");
}

auto errorOf(const json &Value) -> std::string {
  const auto Entry = readValue<model_entry>(Value);
  return Entry.ok() ? "" : Entry.error().Detail;
}

} // namespace

// Guards against a body field that is written but not read back.
TEST_CASE("an entry round-trips through JSON and CBOR") {
  const auto Entry = readValue<model_entry>(versionJson());
  REQUIRE(Entry.ok());
  const auto Bytes = encodeCbor(writeValue(Entry.value()));
  const auto Back = decodeCbor(Bytes);
  REQUIRE(Back.ok());
  const auto Again = readValue<model_entry>(Back.value());
  REQUIRE(Again.ok());
  CHECK(Again.value() == Entry.value());
}

// Guards against a misspelt key or an impossible value being accepted in
// silence, which would leave an operator's limit without effect.
TEST_CASE("unknown, missing and out-of-range keys are named") {
  auto Value = versionJson();
  Value["body"]["qualty"] = 1;
  CHECK(errorOf(Value) == "unknown key 'qualty'");
  Value = versionJson();
  Value["body"].erase("quality");
  CHECK(errorOf(Value) == "missing key 'quality'");
  Value = versionJson();
  Value["body"]["quality"] = 1.5;
  CHECK(errorOf(Value) == "key 'quality': must be between 0 and 1");
  Value["body"]["quality"] = std::numeric_limits<double>::quiet_NaN();
  CHECK(errorOf(Value) == "key 'quality': must be between 0 and 1");
  Value = versionJson();
  Value["body"]["input_cost"] = -1;
  CHECK(errorOf(Value).starts_with("key 'input_cost': must be between"));
  Value = versionJson();
  Value["owner"] = "\xff";
  CHECK(errorOf(Value) == "key 'owner': valid UTF-8 is expected");
}

// Guards against a version entry whose name points at another version.
TEST_CASE("a version entry is named after its version") {
  auto Value = versionJson();
  Value["name"] = "m@2";
  CHECK_FALSE(errorOf(Value).empty());
}

// Guards against a duplicate key hiding the value that an operator sees first.
TEST_CASE("a key that occurs twice is an error") {
  const auto Value = parseJson(R"({"a":{"b":1,"b":2}})");
  REQUIRE_FALSE(Value.ok());
  CHECK(Value.error().Detail == "key 'b' occurs twice");
  CHECK(parseJson(R"([{"b":1},{"b":2}])").ok());
}

// Guards against stack exhaustion and large allocations by hostile CBOR.
TEST_CASE("hostile CBOR is rejected") {
  CHECK_FALSE(decodeCbor("").ok());
  CHECK_FALSE(decodeCbor(std::string(1'000'000, '\x81')).ok());
  CHECK_FALSE(decodeCbor(std::string(1'000'000, '\x5f')).ok());
  CHECK_FALSE(decodeCbor("\x9b\xff\xff\xff\xff\xff\xff\xff\xff").ok());
  CHECK_FALSE(decodeCbor("\xbb\xff\xff\xff\xff\xff\xff\xff\xff").ok());
  CHECK_FALSE(decodeCbor("\x5b\xff\xff\xff\xff\xff\xff\xff\xff").ok());
}
