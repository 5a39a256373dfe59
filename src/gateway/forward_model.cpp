/// \file Model cascade of a forwarded request: choice of the model and
/// escalation to a larger one.
#include "gateway/forward_task.h"

#include "core/log_func.h"

#include <algorithm>
#include <cmath>

namespace acacianotch {

namespace {

/// Exponent of the curve that maps the expected delay of the first token,
/// divided by the time left, to the probability that it comes in time. At a
/// quotient of one half, about 9 of 10 first tokens do.
constexpr double LatencyCurveExponent = 3;

/// Multiple of the expected time to the first token above which an attempt
/// counts as slow.
constexpr double SlowFactor = 1.5;

/// Tokens for which model prices and work units are stated.
constexpr double TokensPerUnit = 1000;
/// Price of a prompt token as a share of that of a generated token.
constexpr double PromptTokenPriceShare = 0.25;
/// Price of a work unit for each unit that is outstanding at its server,
/// because it delays the other streams there. In the unit of the model prices.
constexpr double OutstandingWorkPrice = 0.01;

} // namespace

auto forward_task::chooseModel() -> void {
  Model = Request.Model;
  if (!Request.AnyModel || Route->Models.empty())
    return;
  CorrectAnswerValue = Context.AnswerValues.estimate(
      Route->Name, Route->Rank, Request.PromptTokens, expectedOutputTokens());
  Model = Route->Models[CascadeStage];
}

auto forward_task::namesUnknownModel() const -> bool {
  const auto &Models = Route->Models;
  return !Models.empty() && !Request.Model.empty() &&
         std::find(Models.begin(), Models.end(), Request.Model) == Models.end();
}

auto forward_task::exceedsServerMemory() const -> bool {
  const auto *Facts = serviceFacts();
  return Facts != nullptr && Facts->KvCacheTokens > 0 &&
         Request.PromptTokens > Facts->KvCacheTokens;
}

// A stream that has begun goes on with its model.
auto forward_task::useAvailableModel() -> bool {
  const auto &Directory = Context.Directory;
  if (Directory.mayRunModel(Service, Model))
    return true;
  const auto &Models = Route->Models;
  if (!Request.AnyModel || Models.empty() || StreamStarted)
    return false;
  for (std::size_t Step = 1; Step < Models.size(); ++Step) {
    const auto Stage = (CascadeStage + Step) % Models.size();
    if (!Directory.mayRunModel(Service, Models[Stage]))
      continue;
    CascadeStage = Stage;
    Model = Models[Stage];
    return true;
  }
  return false;
}

auto forward_task::recordMisdirected() -> void {
  ++Misdirected;
  const auto *Facts = serviceFacts();
  const auto RunsModels = Facts != nullptr && !Facts->Models.empty();
  const auto Reason = Context.Directory.recordMisdirected(
      Attempt->Backend, Model, RunsModels || !Model.empty());
  // It may run another model of the cascade.
  if (Reason == misdirection::model_missing)
    std::erase(TriedBackends, Attempt->Backend);
}

// One answer alone may be that of a server that has taken over the address. The
// routing document, or another server, confirms it.
auto forward_task::isModelRejected() const -> bool {
  if (Misdirected == 0 || Request.AnyModel || Model.empty() ||
      Context.Directory.hasRunModel(Service, Model))
    return false;
  const auto *Facts = serviceFacts();
  const auto Unlisted =
      Facts != nullptr && !Facts->Models.empty() &&
      std::none_of(Facts->Models.begin(), Facts->Models.end(),
                   [&](const auto &Price) { return Price.Model == Model; });
  return Unlisted || Misdirected >= 2;
}

auto forward_task::cascadeModels() const -> std::vector<cascade_model> {
  std::vector<cascade_model> Models;
  const auto *Facts = serviceFacts();
  if (Facts == nullptr)
    return Models;
  const auto OutstandingWork = meanOutstandingWork();
  for (const auto &Name : Route->Models)
    for (const auto &Price : Facts->Models)
      if (Price.Model == Name)
        Models.push_back(
            {Name, runCost(Price, OutstandingWork), onTimeProbability(Name)});
  return Models;
}

/// \return the cost of a run of a model: its price, and the delay that it
/// causes to other streams while \p OutstandingWork units are outstanding at
/// each server.
auto forward_task::runCost(const model_price &Price,
                           double OutstandingWork) const -> double {
  const auto Tokens =
      expectedOutputTokens() + PromptTokenPriceShare * Request.PromptTokens;
  const auto Work =
      modelWeight(Price.Model) * Request.PromptTokens / TokensPerUnit;
  return Price.Cost * Tokens / TokensPerUnit +
         OutstandingWorkPrice * OutstandingWork * Work;
}

/// \return the number of tokens that the request is expected to generate.
auto forward_task::expectedOutputTokens() const -> std::uint32_t {
  const auto Limit = Request.MaxOutputTokens;
  return std::min(Request.LikelyOutputTokens.value_or(Limit), Limit);
}

/// \return the mean number of work units outstanding at a server of the
/// service.
auto forward_task::meanOutstandingWork() const -> double {
  const auto Servers = Context.Directory.serverCount(Service);
  return Servers == 0 ? 0 : Context.Work.total(steady_clock::now()) / Servers;
}

/// \return the probability that the first token of the model \p Name comes
/// within the latency objective if an attempt starts now.
auto forward_task::onTimeProbability(const std::string &Name) const -> double {
  const auto Expected = Context.FirstToken.expect(Name, Request.PromptTokens);
  const auto Elapsed = steady_clock::now() - Request.ReceivedAt;
  const auto Left =
      std::chrono::duration<double>(Route->TargetLatency - Elapsed).count();
  if (Left <= 0)
    return 0;
  if (!Expected)
    return 1;
  return 1 / (1 + std::pow(*Expected / Left, LatencyCurveExponent));
}

// The cascade estimates the gain of a larger model from the confidences of two
// models on the same request.
auto forward_task::recordModelAnswer() -> void {
  const auto &Confidence = Attempt->Facts.Confidence;
  Context.FirstToken.observe(
      Model, Request.PromptTokens,
      std::chrono::duration<double>(steady_clock::now() - Attempt->SentAt)
          .count());
  if (!Request.AnyModel || !Confidence)
    return;
  if (PreviousConfidence)
    Context.Cascade.recordConfidences(Route->Models[PreviousConfidence->first],
                                      PreviousConfidence->second,
                                      Route->Models[CascadeStage], *Confidence);
  PreviousConfidence = {CascadeStage, *Confidence};
}

/// \return the stage that should replace the current answer, if any. If so,
/// charges the budget of extra attempts.
auto forward_task::tryEscalation() -> std::optional<std::size_t> {
  if (!Request.AnyModel || StreamStarted || !Route->repeatable() ||
      Context.Stopping)
    return std::nullopt;
  const auto Elapsed =
      std::chrono::duration<double>(steady_clock::now() - Request.ReceivedAt);
  cascade_answer Answer;
  Answer.Stage = CascadeStage;
  Answer.Stages = Route->Models.size();
  Answer.Confidence = Attempt->Facts.Confidence;
  Answer.ElapsedShare =
      Elapsed / std::chrono::duration<double>(Route->TargetLatency);
  Answer.MayRepeat = AttemptsSent + 1 < Route->MaxAttempts;
  if (!Context.Cascade.mayEscalate(Answer))
    return std::nullopt;
  const auto Models = cascadeModels();
  Answer.Models = Models;
  Answer.AnswerValue = CorrectAnswerValue;
  const auto NextStage = Context.Cascade.next(Answer);
  if (!NextStage ||
      !Context.Directory.mayRunModel(Service, Route->Models[*NextStage]) ||
      !Context.ExtraAttemptBudget.tryAcquire())
    return std::nullopt;
  return NextStage;
}

/// \return whether the backend server took much longer than expected. It is
/// busy with long prompts or degraded, and would delay the next run as well.
auto forward_task::isAttemptSlow() const -> bool {
  const auto Expected = Context.FirstToken.expect(Model, Request.PromptTokens);
  const auto Elapsed =
      std::chrono::duration<double>(steady_clock::now() - Attempt->SentAt);
  return Expected && Elapsed.count() > SlowFactor * *Expected;
}

// The caller has received no part of the replaced answer.
auto forward_task::escalate(std::size_t NextStage) -> void {
  ++Context.Counters.Escalations;
  ++AttemptsSent;
  logInfo(log_category::entry, "escalating to a larger model",
          {{"request", Request.Id},
           {"backend", Attempt->BackendId},
           {"confidence", Attempt->Facts.Confidence.value_or(0)},
           {"model", Model},
           {"next", Route->Models[NextStage]}});
  const auto IsSlow = isAttemptSlow();
  const auto Backend = Attempt->Backend;
  releaseAttempt(false);
  // Servers that refused the request stay excluded.
  if (!IsSlow)
    std::erase(TriedBackends, Backend);
  CascadeStage = NextStage;
  Model = Route->Models[CascadeStage];
  startNextAttempt();
}

} // namespace acacianotch
