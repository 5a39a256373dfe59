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

/// Handles one request. The owner destroys the task when it calls \p OnDone.
class request_task {
public:
  request_task(entry_context &Context, std::shared_ptr<http_exchange> Exchange,
               const model_entry &Account, std::function<void()> OnDone);
  ~request_task();
  request_task(const request_task &) = delete;
  auto operator=(const request_task &) -> request_task & = delete;

  /// Validates, admits and dispatches the request.
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
  [[nodiscard]] auto settlement(const dispatch_result &Result) const -> command;
  auto settleThenReply(dispatch_result Result) -> void;

  // request_cascade.cpp
  auto recordAttempt(const dispatch_result &Result, std::string_view Purpose)
      -> void;
  auto recordUsage() -> void;
  [[nodiscard]] auto costOf(std::uint64_t Input, std::uint64_t Output) const
      -> std::uint64_t;
  [[nodiscard]] auto expectedCost() const -> std::uint64_t;
  auto settleBudget() -> void;
  auto bufferForRating(std::string_view Data) -> void;
  [[nodiscard]] auto ratingInput() const -> rating_input;
  auto handleFirstAnswer(dispatch_result Result) -> void;
  auto rateInBackground(rating_client::handler OnOutcome) -> void;
  auto rateBeforeReply(dispatch_result Result) -> void;
  auto applyEscalation(const escalation_decision &Escalation,
                       dispatch_result First) -> void;
  auto startEscalation(dispatch_result &First) -> bool;
  auto handleSecondAnswer(dispatch_result Result) -> void;
  auto rateDeliveredAnswer(bool Expected) -> void;

  // request_task.cpp
  auto admit() -> bool;
  auto reserveBudget() -> void;
  auto claimOrRun() -> void;
  auto run() -> void;
  auto deliver(std::string_view Data, std::function<void()> OnSent) -> void;
  auto finish(dispatch_result Result) -> void;
  auto settleOrReply(dispatch_result Result) -> void;
  auto reply(const dispatch_result &Result) -> void;
  auto replyBuffered(const dispatch_result &Result) -> void;
  auto replyFailure(const failure &Failure, duration RetryAfter) -> void;
  auto replyHeaders() -> http_headers;
  auto handleCallerDisconnect() -> void;
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
  std::optional<route_plan> Plan; ///< Set if the route has a choice.
  std::optional<dispatch_result> FirstAnswer; ///< Kept during an escalation.
  std::optional<rating_request> FinalRating;  ///< Of the delivered answer.
  std::string RatingBuffer;                   ///< Answer to be rated.
  std::vector<usage_attempt> Usage;
  std::optional<std::uint64_t> Reserved; ///< Budget in micro-units.
  std::string Key;                       ///< Idempotency key; empty for none.
  std::string Digest;
  bool Admitted = false;
  bool Claimed = false;
  bool Streaming = false; ///< The headers of a streamed answer were sent.
  bool CallerDisconnected = false;
  bool Done = false;
  time_point StartedAt{};
  kj::Maybe<kj::Promise<void>> ClaimCall;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace acacianotch
