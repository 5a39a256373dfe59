/// \file Cascades: rating of answers and escalation after a failed rating.
#include "entry/request_task.h"

namespace acacianotch {

namespace {

constexpr std::uint64_t TokensPerPriceUnit = 1000;
constexpr std::uint64_t BytesPerToken = 4;
constexpr std::size_t MaxRatedBytes = 64ULL * 1024;

} // namespace

auto request_task::recordAttempt(const dispatch_result &Result,
                                 std::string_view Purpose) -> void {
  if (Request.Version.Model.empty())
    return;
  usage_attempt Attempt;
  Attempt.Version = Request.Version;
  Attempt.Purpose = Purpose;
  Attempt.InputTokens = Result.PromptTokens;
  Attempt.OutputTokens = Result.CompletionTokens;
  Attempt.Cost = costOf(Result.PromptTokens, Result.CompletionTokens);
  Usage.push_back(std::move(Attempt));
  Context.Lengths.observe(lengthFeatures(),
                          static_cast<std::uint32_t>(Result.CompletionTokens));
}

auto request_task::costOf(std::uint64_t Input, std::uint64_t Output) const
    -> std::uint64_t {
  const auto *Version = Context.View.version(Request.Version);
  if (Version == nullptr)
    return 0;
  return (Input * Version->InputCost + Output * Version->OutputCost) /
         TokensPerPriceUnit;
}

auto request_task::expectedCost() const -> std::uint64_t {
  return costOf(Chat.PromptBytes / BytesPerToken,
                static_cast<std::uint64_t>(Predicted.OutputTokens));
}

auto request_task::settleBudget() -> void {
  if (!Reserved)
    return;
  std::uint64_t Spent = 0;
  for (const auto &Attempt : Usage)
    Spent += Attempt.Cost;
  Context.Budgets.settle(Account, *std::exchange(Reserved, std::nullopt),
                         Spent);
}

// Writes all attempts of a request as one record, so that it is billed once.
// Requests to plain services have no usage, because the catalogue has no prices
// for them.
auto request_task::recordUsage() -> void {
  if (!Usage.empty())
    Context.Usage.add({Request.Id, Account, Context.NodeId, Usage});
}

auto request_task::bufferForRating(std::string_view Data) -> void {
  if (!Plan || !Plan->Decision.Rating || RatingBuffer.size() >= MaxRatedBytes)
    return;
  RatingBuffer += Data.substr(0, MaxRatedBytes - RatingBuffer.size());
}

auto request_task::ratingInput() const -> rating_input {
  return {Request.Class, Request.Version.text(), Request.Body, RatingBuffer};
}

auto request_task::handleFirstAnswer(dispatch_result Result) -> void {
  recordAttempt(Result, "primary");
  if (!Plan) {
    settleOrReply(std::move(Result));
    return;
  }
  const auto &Decision = Plan->Decision;
  Plan->Cascade->recordTokens(Decision,
                              static_cast<double>(Result.PromptTokens),
                              static_cast<double>(Result.CompletionTokens));
  if (!Decision.Rating) {
    settleOrReply(std::move(Result));
    return;
  }
  if (!Request.Streamed)
    bufferForRating(Result.Body);
  if (Decision.Plan.Escalation) {
    rateBeforeReply(std::move(Result));
    return;
  }
  rateInBackground([Plan = *Plan](rating_outcome Outcome) {
    static_cast<void>(Plan.Cascade->recordFirstRating(Plan.Decision, Outcome));
  });
  settleOrReply(std::move(Result));
}

auto request_task::rateInBackground(rating_client::handler OnOutcome) -> void {
  Context.Ratings.rate(ratingInput(), std::move(OnOutcome));
}

auto request_task::rateBeforeReply(dispatch_result Result) -> void {
  auto Answer = std::make_shared<dispatch_result>(std::move(Result));
  Context.Ratings.rate(ratingInput(), [this, Guard = Alive, Plan = *Plan,
                                       Answer](rating_outcome Outcome) {
    const auto Escalation =
        Plan.Cascade->recordFirstRating(Plan.Decision, Outcome);
    if (*Guard)
      applyEscalation(Escalation, std::move(*Answer));
    else if (Escalation.Rating)
      Plan.Cascade->recordDeliveredRating(*Escalation.Rating,
                                          rating_outcome::missing);
  });
}

auto request_task::applyEscalation(const escalation_decision &Escalation,
                                   dispatch_result First) -> void {
  FinalRating = Escalation.Rating;
  if (Escalation.Escalate && startEscalation(First))
    return;
  rateDeliveredAnswer(!Escalation.Escalate);
  settleOrReply(std::move(First));
}

// \return false if the second attempt cannot run. The first answer is delivered
// then, because an answer that failed its rating is better than none.
auto request_task::startEscalation(dispatch_result &First) -> bool {
  const auto Version = *Plan->escalation();
  auto *SecondPool = Context.Pools.find(Version);
  if (SecondPool == nullptr)
    return false;
  const auto Remaining = Request.Deadline - steady_clock::now();
  const auto Admission = SecondPool->Admission.admit(
      {Account, Request.Long, Remaining}, SecondPool->Placement.load());
  if (!Admission.ok())
    return false;
  ++Context.Counters.Escalations;
  Pool = SecondPool;
  Admitted = true;
  Request.Version = Version;
  Request.Body = Chat.bodyFor(Version.text());
  if (Session)
    Session->Version = Version;
  FirstAnswer = std::move(First);
  // Deferred, because the first dispatch is still on the call stack.
  Context.Loop.defer([Old = std::shared_ptr<dispatch>(std::move(Dispatch))] {});
  run();
  return true;
}

auto request_task::handleSecondAnswer(dispatch_result Result) -> void {
  if (Result.Error) {
    Request.Version = Plan->first();
    if (Session)
      Session->Version = Request.Version;
    rateDeliveredAnswer(false);
    settleOrReply(std::move(*FirstAnswer));
    return;
  }
  recordAttempt(Result, "cascade");
  RatingBuffer.clear();
  bufferForRating(Result.Body);
  rateDeliveredAnswer(true);
  settleOrReply(std::move(Result));
}

/// Reports the rating that the cascade requested for the delivered answer. If
/// \p Expected is false, another answer than the one that the cascade selected
/// is delivered, and the outcome is `missing`.
auto request_task::rateDeliveredAnswer(bool Expected) -> void {
  if (!FinalRating)
    return;
  const auto Rating = *FinalRating;
  FinalRating.reset();
  const auto Cascade = Plan->Cascade;
  if (!Expected) {
    Cascade->recordDeliveredRating(Rating, rating_outcome::missing);
    return;
  }
  rateInBackground([Cascade, Rating](rating_outcome Outcome) {
    Cascade->recordDeliveredRating(Rating, Outcome);
  });
}

} // namespace acacianotch
