/// \file One caller's request from admission to its answer.
#pragma once

#include "entry/chat_request.h"
#include "entry/dispatch.h"
#include "entry/entry_service.h"
#include "entry/version_choice.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace acacianotch {

/// Handles one request. The owner destroys it when it says that it is done.
class request_task {
public:
  request_task(entry_context &Context, std::shared_ptr<http_exchange> Exchange,
               const model_entry &Account, std::function<void()> OnDone);
  ~request_task();
  request_task(const request_task &) = delete;
  auto operator=(const request_task &) -> request_task & = delete;

  /// Checks, admits and dispatches the request.
  auto start() -> void;

private:
  // request_prepare.cpp
  auto prepare() -> result<void>;
  auto prepareChat() -> result<void>;
  auto prepareService() -> result<void>;
  auto chooseVersion() -> result<void>;
  auto resumeSession(const std::string &Token) -> result<void>;
  auto useVersion(const version_ref &Version) -> result<void>;
  auto applyChatClass(const std::string &Default) -> result<void>;
  auto applyClass(const std::string &Name) -> result<void>;
  [[nodiscard]] auto lengthFeatures() const -> length_features;
  auto planRoute(model_choice &Choice) -> void;
  auto checkSuspicion() -> result<void>;

  // request_claim.cpp
  auto claim() -> void;
  auto handleClaim(const command_result &Result) -> void;
  auto replyStored(const json &Response) -> void;
  [[nodiscard]] auto settlement(const dispatch_end &End) const -> command;
  auto settleThenReply(dispatch_end End) -> void;

  // request_cascade.cpp
  auto noteAttempt(const dispatch_end &End, std::string_view Purpose) -> void;
  auto recordUsage() -> void;
  [[nodiscard]] auto costOf(std::uint64_t Input, std::uint64_t Output) const
      -> std::uint64_t;
  [[nodiscard]] auto expectedCost() const -> std::uint64_t;
  auto settleBudget() -> void;
  auto keepForRating(std::string_view Data) -> void;
  [[nodiscard]] auto ratingQuestion() const -> rating_question;
  auto afterFirstAnswer(dispatch_end End) -> void;
  auto rateInBackground(rating_client::handler OnOutcome) -> void;
  auto rateBeforeReply(dispatch_end End) -> void;
  auto takeStep(const escalation_decision &Step, dispatch_end First) -> void;
  auto startSecond(dispatch_end &First) -> bool;
  auto afterSecondAnswer(dispatch_end End) -> void;
  auto rateDelivered(bool Expected) -> void;

  // request_task.cpp
  auto admit() -> bool;
  auto reserveBudget() -> void;
  auto proceed() -> void;
  auto run() -> void;
  auto deliver(std::string_view Data, std::function<void()> OnTaken) -> void;
  auto finish(dispatch_end End) -> void;
  auto conclude(dispatch_end End) -> void;
  auto reply(const dispatch_end &End) -> void;
  auto replyWhole(const dispatch_end &End) -> void;
  auto replyFailure(const failure &Failure, duration RetryAfter) -> void;
  auto replyHeaders() -> http_headers;
  auto callerLeft() -> void;
  auto release(duration Response) -> void;
  auto done() -> void;

  entry_context &Context;
  std::shared_ptr<http_exchange> Exchange;
  account_id Account;
  account_body AccountBody;
  std::function<void()> OnDone;

  chat_request Chat;
  dispatch_request Request;
  pool *Pool = nullptr;
  std::unique_ptr<dispatch> Dispatch;
  std::optional<session_claims> Session;
  length_prediction Predicted;
  std::optional<route_plan> Plan;            ///< Of a route with a choice.
  std::optional<dispatch_end> FirstAnswer;   ///< Held during a second attempt.
  std::optional<rating_request> FinalRating; ///< For the delivered answer.
  std::string Rated;                         ///< Answer as it will be rated.
  std::vector<usage_attempt> Usage;
  std::optional<std::uint64_t> Reserved; ///< Budget in micro-units.
  std::string Key;                       ///< Idempotency key; empty for none.
  std::string Digest;
  bool Admitted = false;
  bool Claimed = false;
  bool Streaming = false; ///< The head of a streamed answer was sent.
  bool Left = false;      ///< The caller has left.
  bool Done = false;
  time_point StartedAt{};
  kj::Maybe<kj::Promise<void>> ClaimCall;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace acacianotch
