/// \file Forwards one caller's request to backend servers.
#pragma once

#include "board/work_board.h"
#include "catalogue/catalogue_view.h"
#include "controller/answer_value.h"
#include "controller/first_token_time.h"
#include "controller/model_cascade.h"
#include "controller/prompt_placement.h"
#include "controller/stall.h"
#include "controller/traffic_budget.h"
#include "core/memory_budget.h"
#include "gateway/backend_directory.h"
#include "gateway/backend_report_client.h"
#include "gateway/caller_connection.h"
#include "gateway/crash_watch.h"
#include "gateway/event_splitter.h"
#include "gateway/rollout_recorder.h"
#include "routing/routing_type.h"

#include <prometheus/histogram.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace acacianotch {

/// Largest number of bytes of answers that are held back unless settings state
/// one.
inline constexpr std::size_t DefaultAnswerMemory = 24ULL * 1024 * 1024;

/// Counters of a gateway since its start.
struct gateway_counters {
  std::uint64_t Requests = 0;
  std::uint64_t Answered = 0;   ///< With the answer of a backend server.
  std::uint64_t Refused = 0;    ///< Not executed.
  std::uint64_t Failed = 0;     ///< May have been executed.
  std::uint64_t CallerLeft = 0; ///< Disconnected before the end of the answer.
  std::uint64_t Retries = 0;
  std::uint64_t Resumed = 0;     ///< Streams continued at another server.
  std::uint64_t Escalations = 0; ///< To a larger model of the cascade.
  /// Cold servers that were left out of placements, each time.
  std::uint64_t ColdExclusions = 0;
};

/// Request durations by route kind; null until metrics are registered.
struct request_histograms {
  prometheus::Histogram *Idempotent = nullptr;
  prometheus::Histogram *NonIdempotent = nullptr;
  prometheus::Histogram *Streaming = nullptr;

  /// \return the histogram of a route kind.
  [[nodiscard]] auto of(route_kind Kind) const -> prometheus::Histogram * {
    if (Kind == route_kind::idempotent)
      return Idempotent;
    return Kind == route_kind::streaming ? Streaming : NonIdempotent;
  }
};

/// State shared by all tasks of a gateway; it outlives them.
struct gateway_context {
  event_loop &Loop;
  const catalogue_view &View;
  backend_directory &Directory;
  traffic_budget &ExtraAttemptBudget;
  rollout_recorder &Rollouts;
  backend_report_client &ReportClient;
  work_board &Work;
  crash_watch &Crashes;
  model_cascade Cascade;
  /// Of the process; null if unlimited.
  std::shared_ptr<memory_budget> ProcessMemory{};
  answer_value AnswerValues{};
  bool Stopping = false; ///< Shutting down; no long work may start.
  gateway_counters Counters;
  request_histograms RequestTimes;
  first_token_time FirstToken;
  /// For answers that are held back.
  memory_budget Memory{DefaultAnswerMemory, ProcessMemory.get()};
};

/// Forwards one request, from its arrival to the end of its answer. The gateway
/// owns the task until OnDone runs.
class forward_task : public std::enable_shared_from_this<forward_task> {
public:
  forward_task(gateway_context &Context,
               std::shared_ptr<const routing_table> Table,
               std::shared_ptr<caller_connection> Caller,
               caller_request Request);

  /// Sets the callback that runs after the end of the task.
  auto onDone(std::function<void()> Callback) -> void {
    OnDone = std::move(Callback);
  }

  /// Starts the first attempt, or refuses the request.
  auto start() -> void;

  /// Gives the final answer now, because the process is about to end. A stream
  /// that has begun is broken off.
  auto endNow() -> void;

private:
  struct attempt {
    explicit attempt(memory_budget &Memory) : Held(Memory) {}

    backend_handle Backend;
    std::string BackendId;
    server_key Key = 0; ///< Key of the backend server on the work board.
    std::shared_ptr<backend_channel> Channel;
    answer_facts Facts;
    http_head Head;
    std::string Body;
    memory_budget::share Held;
    std::size_t BodyBytes = 0; ///< Received.
    time_point SentAt{};
    time_point AnsweredAt{}; ///< When the head of its answer arrived.
    time_point LastDataAt{}; ///< When the last part of its answer arrived.
    std::uint32_t EventsBefore = 0; ///< Events received by earlier attempts.
    version_arm Arm = version_arm::serving;
    std::uint32_t ReportRequests = 0; ///< Reports requested in this stall.
    stalled_state ReportedState = stalled_state::unknown; ///< By the server.
    std::uint64_t WaitingId = 0; ///< See rollout_recorder::startWaiting.
    double WorkUnits = 0;        ///< Counted on the work board.
    bool PaceRecorded = false;
    bool AnswerRecorded = false; ///< Its server outlasted the answer's begin.
    bool LongWork = false;
    bool StreamsBody = false; ///< Its body is forwarded event by event.
    bool PassesBody = false;  ///< Its body is forwarded as it arrives.
  };

  auto admit() -> bool;
  auto chooseService() -> void;
  auto chooseModel() -> void;
  /// \return whether the route excludes the model that the request names.
  [[nodiscard]] auto namesUnknownModel() const -> bool;
  /// Changes to a model of the cascade that some backend server may run, if
  /// none may run the present one. \return whether there is a model to run.
  [[nodiscard]] auto useAvailableModel() -> bool;
  auto refuseWithoutModel() -> void;
  /// \return whether the prompt exceeds the memory of each server.
  [[nodiscard]] auto exceedsServerMemory() const -> bool;
  /// Records the rejection of the present attempt as misdirected.
  auto recordMisdirected() -> void;
  /// \return whether enough servers reject the model that the request names.
  [[nodiscard]] auto isModelRejected() const -> bool;
  [[nodiscard]] auto tryEscalation() -> std::optional<std::size_t>;
  [[nodiscard]] auto cascadeModels() const -> std::vector<cascade_model>;
  [[nodiscard]] auto onTimeProbability(const std::string &Name) const -> double;
  [[nodiscard]] auto isAttemptSlow() const -> bool;
  auto recordModelAnswer() -> void;
  auto escalate(std::size_t NextStage) -> void;
  auto chooseArm() -> void;
  [[nodiscard]] auto prefixCacheSource(const known_backend &Chosen)
      -> std::optional<address>;
  [[nodiscard]] auto chooseBackend() -> result<backend_handle>;
  [[nodiscard]] auto chooseFromPool(version_arm PoolArm)
      -> result<backend_handle>;
  [[nodiscard]] auto
  choosePromptServer(backend_pool &Pool,
                     const std::vector<backend_handle> &Excluded)
      -> std::optional<backend_handle>;
  [[nodiscard]] auto promptWork() const -> prompt_work;
  /// \return the facts of the chosen service; null if none are known.
  [[nodiscard]] auto serviceFacts() const -> const gateway_service *;
  [[nodiscard]] auto modelWeight(const std::string &Name) const -> double;
  [[nodiscard]] auto runCost(const model_price &Price,
                             double OutstandingWork) const -> double;
  [[nodiscard]] auto expectedOutputTokens() const -> std::uint32_t;
  [[nodiscard]] auto meanOutstandingWork() const -> double;
  auto setWork(double Units) -> void;
  auto startNextAttempt() -> void;
  [[nodiscard]] auto measuredAttempt() const -> measured_attempt;
  auto recordOutcome(bool Failed) -> void;
  auto recordPace() -> void;
  /// Records that the present attempt may have crashed its server.
  auto recordPossibleCrash(const failure &Failure) -> void;
  auto recordAnswered() -> void;
  [[nodiscard]] auto findBlocked() -> std::optional<part_id>;
  /// \return the same number for each repeat of a request.
  [[nodiscard]] auto fingerprint() -> part_id;
  auto recordAnswerAfterOnset() -> void;
  auto revertToServing() -> void;
  auto startStallTimer() -> void;
  auto handleStallTimer() -> void;
  auto handleStalledStream(std::optional<stalled_state> Reported) -> void;
  auto requestReport() -> void;
  auto handleReport(const result<backend_report> &Report) -> void;
  auto abandonStalledAttempt() -> void;
  /// \return whether another server may take the request now.
  [[nodiscard]] auto mayMove() -> bool;
  [[nodiscard]] auto countsAgainstVersion(const failure &Failure) const -> bool;
  auto logFailedAttempt(const failure &Failure) const -> void;
  /// Logs an answer that the caller does not get.
  auto logDroppedAnswer() const -> void;
  auto abandonAttempt(const failure &Failure) -> void;
  auto send(backend_handle Backend) -> bool;
  auto handleHead(const answer_facts &Facts, http_head &&Head) -> void;
  auto handleBody(std::string_view Data) -> void;
  auto handleEnd(const result<void> &Result) -> void;
  auto handleAnswer() -> void;
  /// Goes on after an answer that states that nothing was executed.
  auto handleRejection(bool Clean) -> void;
  /// Goes on with a stream after an answer that is no stream.
  auto continueAfterError() -> void;
  auto handleFailure(const failure &Failure) -> void;
  auto beginStream() -> void;
  auto handleStreamData(std::string_view Data) -> void;
  auto forwardEvents() -> void;
  auto passBody() -> void;
  auto pauseIfBehind() -> void;
  auto endExcessive(std::string_view Detail) -> void;
  [[nodiscard]] auto hasTooManyEvents() const -> bool;
  [[nodiscard]] auto statesExcessiveLength() const -> bool;
  auto recordEventTimes() -> void;
  auto releaseAttempt(bool Clean) -> void;
  [[nodiscard]] auto tryAcquireRetry() -> bool;
  [[nodiscard]] auto elapsedMs() const -> std::int64_t;
  auto logAnswer() const -> void;
  auto deliver() -> void;
  auto refuse(int Status, std::string_view Reason, duration RetryAfter = {})
      -> void;
  [[nodiscard]] auto judgedByConfirmed() const -> bool;
  /// Refuses with a status after which callers do not repeat the request.
  auto refuseForGood(int Status, std::string_view Reason) -> void;
  auto refuseNotRun(std::string_view Reason) -> void;
  auto refuseNotRun(std::string_view Reason, duration RetryAfter) -> void;
  auto refuseBlocked(part_id Part) -> void;
  auto refuseUnplaced() -> void;
  auto failMayHaveRun(int Status, std::string_view Reason) -> void;
  auto handleDeadline() -> void;
  auto endWith(int Status, std::string_view Reason) -> void;
  auto handleCallerDisconnect() -> void;
  auto finish() -> void;
  [[nodiscard]] auto affinityKey() const -> std::optional<std::uint64_t>;
  [[nodiscard]] auto timeLeft() const -> std::optional<duration>;
  [[nodiscard]] auto attemptsLeft() const -> bool {
    return AttemptsSent < Route->MaxAttempts &&
           AttemptsStarted < 2 * Route->MaxAttempts;
  }

  gateway_context &Context;
  std::shared_ptr<const routing_table> Table;
  std::shared_ptr<caller_connection> Caller;
  caller_request Request;
  std::function<void()> OnDone;
  const gateway_route *Route = nullptr;
  const gateway_account *Account = nullptr;
  std::string Service;
  version_arm Arm = version_arm::serving;
  std::string NewVersion; ///< Of the rollout that Arm belongs to, if any.
  std::string Model;
  double CorrectAnswerValue = 0; ///< See answer_value.
  std::size_t CascadeStage = 0;  ///< Index of the model in the route's cascade.
  /// Stage and confidence of the previous answer.
  std::optional<std::pair<std::size_t, std::uint32_t>> PreviousConfidence;
  std::unique_ptr<attempt> Attempt;
  std::optional<part_id> Fingerprint;
  std::vector<backend_handle> TriedBackends;
  event_splitter Events;
  std::unique_ptr<loop_timer> Deadline;
  std::unique_ptr<loop_timer> StallTimer;
  std::uint32_t AttemptsSent = 0; ///< Attempts that reached a backend server.
  std::uint32_t AttemptsStarted = 0; ///< Including failed connections.
  std::uint32_t Misdirected = 0;     ///< Attempts rejected as misdirected.
  duration FirstEventDelay{};        ///< From the request to its first event.
  duration LongestGap{};             ///< Between two forwarded events.
  time_point LastEventAt{};          ///< When the last event was forwarded.
  bool MayHaveRun = false;
  bool StreamStarted = false; ///< The head of a stream was sent to the caller.
  bool AnswerPassed = false;  ///< Nothing else can follow what was sent.
  bool Paused = false; ///< Reading is paused until the caller catches up.
  bool Done = false;
};

} // namespace acacianotch
