/// \file Tests of the model cascade, the value of answers and the expected time
/// to the first token.
#include "controller/answer_value.h"
#include "controller/first_token_time.h"
#include "controller/model_cascade.h"

#include <doctest/doctest.h>

#include <vector>

using namespace acacianotch;

namespace {

auto models() -> std::vector<cascade_model> {
  return {{"small", 0.01}, {"middle", 0.075}, {"large", 0.15}};
}

auto answer(std::uint32_t Confidence, const std::vector<cascade_model> &Models)
    -> cascade_answer {
  cascade_answer Answer;
  Answer.Stages = Models.size();
  Answer.Confidence = Confidence;
  Answer.MayRepeat = true;
  Answer.Models = Models;
  return Answer;
}

} // namespace

// Guards against an escalation to the largest model when the recorded gain of a
// cheaper model is sufficient.
TEST_CASE("the middle model is chosen when its confidence gain is sufficient") {
  model_cascade Cascade;
  const auto Models = models();
  for (int Round = 0; Round < 100; ++Round)
    Cascade.recordConfidences("small", 50, "middle", 70);
  CHECK(Cascade.confidenceGain("small", "middle", false) ==
        doctest::Approx(20).epsilon(0.1));
  CHECK(Cascade.next(answer(52, Models)) == 1U);
  CHECK(Cascade.next(answer(10, Models)) == 2U);
  CHECK_FALSE(Cascade.next(answer(90, Models)));
}

// Guards against gains that are biased by confidences clipped at an end of the
// scale.
TEST_CASE("clipped confidences do not change the expected gain") {
  model_cascade Cascade;
  const auto Before = Cascade.confidenceGain("small", "large", true);
  for (int Round = 0; Round < 100; ++Round) {
    Cascade.recordConfidences("small", 0, "large", 50);
    Cascade.recordConfidences("small", 50, "large", 100);
  }
  CHECK(Cascade.confidenceGain("small", "large", true) ==
        doctest::Approx(Before));
}

// Guards against an escalation to a model whose answer will be late.
TEST_CASE("only nearly certain errors are escalated to a late model") {
  const model_cascade Cascade;
  auto Models = models();
  CHECK(Cascade.next(answer(48, Models)).has_value());
  Models[1].InTimeProbability = 0;
  Models[2].InTimeProbability = 0;
  CHECK_FALSE(Cascade.next(answer(48, Models)));
  CHECK(Cascade.next(answer(5, Models)).has_value());
}

// Guards against the same spending on answers of low and of high value.
TEST_CASE("answers of low value are not escalated") {
  const model_cascade Cascade;
  const auto Models = models();
  auto Answer = answer(56, Models);
  CHECK(Cascade.next(Answer).has_value());
  Answer.AnswerValue = 0.2;
  CHECK_FALSE(Cascade.next(Answer));
}

// Guards against an escalation to a large model on busy servers when the delay
// of other requests costs more than the answer gains.
TEST_CASE("a run that delays other requests needs an answer of high value") {
  const model_cascade Cascade;
  auto Models = models();
  CHECK(Cascade.next(answer(20, Models)) == 2U);
  Models[1].Price += 0.9;
  Models[2].Price += 1.8;
  CHECK_FALSE(Cascade.next(answer(20, Models)));
  auto Answer = answer(20, Models);
  Answer.AnswerValue = 5;
  CHECK(Cascade.next(Answer) == 2U);
}

// Guards against an answer value that ignores the rank or the size.
TEST_CASE("the value of an answer depends on rank and size") {
  answer_value Values;
  for (int Round = 0; Round < 500; ++Round)
    static_cast<void>(Values.estimate("long", 0, 10'000, 400));
  const auto Usual = Values.estimate("long", 0, 10'000, 400);
  CHECK(Usual == doctest::Approx(5).epsilon(0.01));
  CHECK(Values.estimate("long", 0, 20'000, 800) > 1.6 * Usual);
  CHECK(Values.estimate("long", 0, 900'000, 800) <
        doctest::Approx(3.2 * Usual));
  CHECK(Values.estimate("long", 1, 10'000, 400) < 0.5 * Usual);
}

// Guards against estimates that ignore the length of the prompt, and against
// estimates from too few answers.
TEST_CASE("the expected time to the first token depends on prompt length") {
  first_token_time Times;
  CHECK_FALSE(Times.expect("m", 1000));
  for (int Round = 0; Round < 50; ++Round) {
    Times.observe("m", 1000, 0.1);
    Times.observe("m", 9000, 0.5);
  }
  REQUIRE(Times.expect("m", 5000));
  CHECK(*Times.expect("m", 1000) == doctest::Approx(0.1).epsilon(0.05));
  CHECK(*Times.expect("m", 9000) == doctest::Approx(0.5).epsilon(0.05));
  CHECK(*Times.expect("m", 36000) > 4 * 0.5);
  CHECK_FALSE(Times.expect("other", 1000));
}
