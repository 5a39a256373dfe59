/// \file Cascades: rating of answers and the second attempt after a low one.
#include "entry/request_task.h"

namespace acacianotch {

namespace {

constexpr std::uint64_t TokensPerPrice = 1000;
constexpr std::uint64_t BytesPerToken = 4;
constexpr std::size_t MaxRatedBytes = 64ULL * 1024;

} // namespace

auto request_task::noteAttempt(const dispatch_end &End,
                               std::string_view Purpose) -> void {
  if (Request.Version.Model.empty())
    return;
  usage_attempt Attempt;
  Attempt.Version = Request.Version;
  Attempt.Purpose = Purpose;
  Attempt.InputTokens = End.PromptTokens;
  Attempt.OutputTokens = End.CompletionTokens;
  Attempt.Cost = costOf(End.PromptTokens, End.CompletionTokens);
  Usage.push_back(std::move(Attempt));
  Context.Lengths.observe(lengthFeatures(),
                          static_cast<std::uint32_t>(End.CompletionTokens));
}

auto request_task::costOf(std::uint64_t Input, std::uint64_t Output) const
    -> std::uint64_t {
  const auto *Version = Context.View.version(Request.Version);
  if (Version == nullptr)
    return 0;
  return (Input * Version->InputCost + Output * Version->OutputCost) /
         TokensPerPrice;
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

// All attempts of a request are one record, so it is billed once. Plain
// services have no cost in the catalogue.
auto request_task::recordUsage() -> void {
  if (!Usage.empty())
    Context.Usage.add({Request.Id, Account, Context.NodeId, Usage});
}

auto request_task::keepForRating(std::string_view Data) -> void {
  if (!Plan || !Plan->Decision.Rating || Rated.size() >= MaxRatedBytes)
    return;
  Rated += Data.substr(0, MaxRatedBytes - Rated.size());
}

auto request_task::ratingQuestion() const -> rating_question {
  return {Request.Class, Request.Version.text(), Request.Body, Rated};
}

auto request_task::afterFirstAnswer(dispatch_end End) -> void {
  noteAttempt(End, "primary");
  if (!Plan) {
    conclude(std::move(End));
    return;
  }
  const auto &Decision = Plan->Decision;
  Plan->Cascade->recordTokens(Decision, static_cast<double>(End.PromptTokens),
                              static_cast<double>(End.CompletionTokens));
  if (!Decision.Rating) {
    conclude(std::move(End));
    return;
  }
  if (!Request.Streamed)
    keepForRating(End.Body);
  if (Decision.Plan.Escalation) {
    rateBeforeReply(std::move(End));
    return;
  }
  rateInBackground([Plan = *Plan](rating_outcome Outcome) {
    static_cast<void>(Plan.Cascade->recordFirstRating(Plan.Decision, Outcome));
  });
  conclude(std::move(End));
}

auto request_task::rateInBackground(rating_client::handler OnOutcome) -> void {
  Context.Ratings.rate(ratingQuestion(), std::move(OnOutcome));
}

auto request_task::rateBeforeReply(dispatch_end End) -> void {
  auto Held = std::make_shared<dispatch_end>(std::move(End));
  Context.Ratings.rate(ratingQuestion(), [this, Guard = Alive, Plan = *Plan,
                                          Held](rating_outcome Outcome) {
    const auto Step = Plan.Cascade->recordFirstRating(Plan.Decision, Outcome);
    if (*Guard)
      takeStep(Step, std::move(*Held));
    else if (Step.Rating)
      Plan.Cascade->recordDeliveredRating(*Step.Rating,
                                          rating_outcome::missing);
  });
}

auto request_task::takeStep(const escalation_decision &Step, dispatch_end First)
    -> void {
  FinalRating = Step.Rating;
  if (Step.Escalate && startSecond(First))
    return;
  rateDelivered(!Step.Escalate);
  conclude(std::move(First));
}

// An answer with a low rating is better than none, so it is delivered when the
// second attempt cannot run.
auto request_task::startSecond(dispatch_end &First) -> bool {
  const auto Version = *Plan->escalation();
  auto *Second = Context.Pools.find(Version);
  if (Second == nullptr)
    return false;
  const auto Remaining = Request.Deadline - steady_clock::now();
  const auto Admission = Second->Admission.admit(
      {Account, Request.Long, Remaining}, Second->Placement.load());
  if (!Admission.ok())
    return false;
  ++Context.Counters.Escalations;
  Pool = Second;
  Admitted = true;
  Request.Version = Version;
  Request.Body = Chat.bodyFor(Version.text());
  if (Session)
    Session->Version = Version;
  FirstAnswer = std::move(First);
  // The previous dispatch is calling this function.
  Context.Loop.defer([Old = std::shared_ptr<dispatch>(std::move(Dispatch))] {});
  run();
  return true;
}

auto request_task::afterSecondAnswer(dispatch_end End) -> void {
  if (End.Error) {
    Request.Version = Plan->first();
    if (Session)
      Session->Version = Request.Version;
    rateDelivered(false);
    conclude(std::move(*FirstAnswer));
    return;
  }
  noteAttempt(End, "cascade");
  Rated.clear();
  keepForRating(End.Body);
  rateDelivered(true);
  conclude(std::move(End));
}

/// Reports the rating that the cascade ordered for the delivered answer;
/// without \p Expected the answer is not the one that it expects.
auto request_task::rateDelivered(bool Expected) -> void {
  if (!FinalRating)
    return;
  const auto Order = *FinalRating;
  FinalRating.reset();
  const auto Cascade = Plan->Cascade;
  if (!Expected) {
    Cascade->recordDeliveredRating(Order, rating_outcome::missing);
    return;
  }
  rateInBackground([Cascade, Order](rating_outcome Outcome) {
    Cascade->recordDeliveredRating(Order, Outcome);
  });
}

} // namespace acacianotch
