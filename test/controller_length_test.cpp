/// \file Tests of length prediction.
#include "controller/length_predictor.h"

#include <doctest/doctest.h>

using namespace acacianotch;

namespace {

auto predictor(std::size_t Capacity = 4096) -> length_predictor {
  return length_predictor::create({Capacity, 500}).value();
}

auto features(std::string_view Class, const std::string &Account,
              std::optional<std::uint32_t> MaxTokens = {}) -> length_features {
  return {Class, account_id(Account), MaxTokens};
}

} // namespace

// Guards against requests of a class with long answers that run as short work
// and delay it.
TEST_CASE("a class with long answers becomes long work") {
  auto Predictor = predictor();
  CHECK_FALSE(Predictor.predict(features("audit", "a")).Long);
  for (int Index = 0; Index < 30; ++Index) {
    Predictor.observe(features("audit", "a"), 4000);
    Predictor.observe(features("tag", "a"), 20);
  }
  CHECK(Predictor.predict(features("audit", "a")).Long);
  CHECK(Predictor.predict(features("audit", "unknown")).Long);
  CHECK_FALSE(Predictor.predict(features("tag", "a")).Long);
}

// Guards against long answers of one account that classify the requests of
// another one as long work.
TEST_CASE("accounts of one class are predicted separately") {
  auto Predictor = predictor();
  for (int Index = 0; Index < 200; ++Index) {
    Predictor.observe(features("draft", "long"), 3500);
    Predictor.observe(features("draft", "short"), 100);
  }
  CHECK(Predictor.predict(features("draft", "long")).Long);
  CHECK(Predictor.predict(features("draft", "short")).OutputTokens < 300);
}

// Guards against a prediction above the caller's own limit on the answer.
TEST_CASE("the caller's limit bounds the prediction") {
  auto Predictor = predictor();
  for (int Index = 0; Index < 50; ++Index)
    Predictor.observe(features("audit", "a"), 5000);
  const auto Limited = Predictor.predict(features("audit", "a", 300));
  CHECK(Limited.OutputTokens == 300);
  CHECK_FALSE(Limited.Long);
}

// Guards against a prediction that does not follow a change of the traffic.
TEST_CASE("predictions follow a change") {
  auto Predictor = predictor();
  for (int Index = 0; Index < 5000; ++Index)
    Predictor.observe(features("draft", "a"), 100);
  for (int Index = 0; Index < 600; ++Index)
    Predictor.observe(features("draft", "a"), 4000);
  CHECK(Predictor.predict(features("draft", "a")).Long);
}

// Guards against memory that grows with the number of accounts, and against
// eviction of the class level, which all requests share.
TEST_CASE("memory is bounded and classes are kept") {
  auto Predictor = predictor(64);
  for (int Index = 0; Index < 10'000; ++Index)
    Predictor.observe(features("audit", "a" + std::to_string(Index)), 4000);
  CHECK(Predictor.board().size() <= 64);
  CHECK(Predictor.predict(features("audit", "new")).Long);
}

// Guards against a capacity that is too small for one request, and against a
// negative estimate.
TEST_CASE("invalid length settings are rejected") {
  CHECK_FALSE(length_predictor::create({3, 500}).ok());
  CHECK_FALSE(length_predictor::create({100, -1}).ok());
}
