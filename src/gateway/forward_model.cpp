/// \file Models of a forwarded request: which one answers, when a larger one is
/// asked.
#include "gateway/forward_task.h"

#include "core/log_func.h"

#include <cmath>

namespace acacianotch {

namespace {

/// How sharply times to the first token spread around their expectation: at
/// half of the time left about 9 of 10 answers are in time.
constexpr double TimeSpread = 3;

/// Times the expected time to the first token above which a backend server
/// counts as held up.
constexpr double SlowFactor = 1.5;

constexpr double Thousand = 1000;
/// Price of a token of the prompt as a share of that of a generated one.
constexpr double PromptShare = 0.25;
/// What a work unit costs the streams beside it for each unit that waits at a
/// server, in the unit of the models' prices.
constexpr double LoadPrice = 0.01;

} // namespace

auto forward_task::chooseModel() -> void {
  Model = Request.Model;
  if (!Request.AnyModel || Route->Models.empty())
    return;
  AnswerValue = Context.Worths.estimate(Route->Name, Route->Rank,
                                        Request.PromptTokens, expectedOutput());
  Model = Route->Models[Stage];
}

auto forward_task::ladderModels() const -> std::vector<cascade_model> {
  std::vector<cascade_model> Models;
  const auto Place = Table->Services.find(Service);
  if (Place == Table->Services.end())
    return Models;
  const auto Waiting = meanWaiting();
  for (const auto &Name : Route->Models)
    for (const auto &Price : Place->second.Models)
      if (Price.Model == Name)
        Models.push_back({Name, runPrice(Price, Waiting), inTime(Name)});
  return Models;
}

/// \return what a run of a model costs: its price, and what it delays the
/// streams of the server that reads the prompt while \p Waiting units wait at
/// each one.
auto forward_task::runPrice(const model_price &Price, double Waiting) const
    -> double {
  const auto Tokens = expectedOutput() + PromptShare * Request.PromptTokens;
  const auto Work = modelWeight(Price.Model) * Request.PromptTokens / Thousand;
  return Price.Cost * Tokens / Thousand + LoadPrice * Waiting * Work;
}

/// \return the tokens that the request is expected to generate.
auto forward_task::expectedOutput() const -> std::uint32_t {
  const auto Most = Request.MaxOutputTokens;
  return std::min(Request.LikelyOutputTokens.value_or(Most), Most);
}

/// \return the work units that wait at a server of the service, on average.
auto forward_task::meanWaiting() const -> double {
  const auto Servers = Context.Directory.servers(Service);
  return Servers == 0 ? 0 : Context.Work.total(steady_clock::now()) / Servers;
}

/// \return the probability that the first token of \p Name, asked now, comes
/// within the latency objective.
auto forward_task::inTime(const std::string &Name) const -> double {
  const auto Expected = Context.FirstToken.expect(Name, Request.PromptTokens);
  const auto Elapsed = steady_clock::now() - Request.ReceivedAt;
  const auto Left =
      std::chrono::duration<double>(Route->TargetLatency - Elapsed).count();
  if (Left <= 0)
    return 0;
  if (!Expected)
    return 1;
  return 1 / (1 + std::pow(*Expected / Left, TimeSpread));
}

// Both models have stated how sure they are of the same request.
auto forward_task::learnFromLadder() -> void {
  const auto &Now = Attempt->Facts.Confidence;
  Context.FirstToken.observe(
      Model, Request.PromptTokens,
      std::chrono::duration<double>(steady_clock::now() - Attempt->SentAt)
          .count());
  if (!Request.AnyModel || !Now)
    return;
  if (Dropped)
    Context.Ladder.recordConfidences(Route->Models[Dropped->first],
                                     Dropped->second, Route->Models[Stage],
                                     *Now);
  Dropped = {Stage, *Now};
}

/// \return the step that should answer in place of the one that does, and
/// charges the budget for it.
auto forward_task::largerModel() -> std::optional<std::size_t> {
  if (!Request.AnyModel || Streaming || !Route->repeatable() ||
      Context.Stopping)
    return std::nullopt;
  const auto Elapsed =
      std::chrono::duration<double>(steady_clock::now() - Request.ReceivedAt);
  cascade_answer Answer;
  Answer.Stage = Stage;
  Answer.Stages = Route->Models.size();
  Answer.Confidence = Attempt->Facts.Confidence;
  Answer.ElapsedShare =
      Elapsed / std::chrono::duration<double>(Route->TargetLatency);
  Answer.MayRepeat = Sent + 1 < Route->MaxAttempts;
  if (!Context.Ladder.mayEscalate(Answer))
    return std::nullopt;
  const auto Models = ladderModels();
  Answer.Models = Models;
  Answer.AnswerValue = AnswerValue;
  const auto Next = Context.Ladder.next(Answer);
  if (!Next || !Context.ExtraAttempts.tryTake())
    return std::nullopt;
  return Next;
}

/// \return whether the backend server took longer than it should: it reads
/// long prompts or is disturbed, and would hold up the next run as well.
auto forward_task::slowAttempt() const -> bool {
  const auto Expected = Context.FirstToken.expect(Model, Request.PromptTokens);
  const auto Took =
      std::chrono::duration<double>(steady_clock::now() - Attempt->SentAt);
  return Expected && Took.count() > SlowFactor * *Expected;
}

// The answer is dropped before the caller has any of it.
auto forward_task::escalate(std::size_t Next) -> void {
  ++Context.Counters.Escalations;
  ++Sent;
  logInfo(log_category::entry, "a larger model is asked",
          {{"request", Request.Id},
           {"backend", Attempt->BackendId},
           {"confidence", Attempt->Facts.Confidence.value_or(0)},
           {"model", Model},
           {"next", Route->Models[Next]}});
  const auto Slow = slowAttempt();
  const auto Backend = Attempt->Backend;
  releaseAttempt(false);
  // Servers that refused it are left out still.
  if (!Slow)
    std::erase(Tried, Backend);
  Stage = Next;
  Model = Route->Models[Stage];
  tryNext();
}

} // namespace acacianotch
