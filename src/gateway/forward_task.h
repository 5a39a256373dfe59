/// \file Forwards one caller's request to backend servers.
#pragma once

#include "board/work_board.h"
#include "controller/answer_value.h"
#include "controller/first_token_time.h"
#include "controller/model_cascade.h"
#include "controller/prompt_placement.h"
#include "controller/silence.h"
#include "controller/traffic_budget.h"
#include "gateway/backend_directory.h"
#include "gateway/backend_inquirer.h"
#include "gateway/caller_connection.h"
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

/// Callers that a gateway refuses because of its own state come back at once;
/// another gateway answers them.
inline constexpr duration ElsewhereTime = std::chrono::milliseconds(50);

/// Counters of a gateway since its start.
struct gateway_counters {
  std::uint64_t Requests = 0;
  std::uint64_t Answered = 0;   ///< With a backend server's answer.
  std::uint64_t Refused = 0;    ///< Certainly not run.
  std::uint64_t Failed = 0;     ///< May have run.
  std::uint64_t CallerLeft = 0; ///< Before the end of the answer.
  std::uint64_t Retries = 0;
  std::uint64_t Resumed = 0;
  std::uint64_t Escalations = 0;
};

/// Times of requests by the kind of their route; null before they are served.
struct gateway_times {
  prometheus::Histogram *Idempotent = nullptr;
  prometheus::Histogram *NonIdempotent = nullptr;
  prometheus::Histogram *Streaming = nullptr;

  /// \return the histogram of a kind.
  [[nodiscard]] auto of(route_kind Kind) const -> prometheus::Histogram * {
    if (Kind == route_kind::idempotent)
      return Idempotent;
    return Kind == route_kind::streaming ? Streaming : NonIdempotent;
  }
};

/// What all tasks of a gateway share; it outlives them.
struct gateway_context {
  event_loop &Loop;
  backend_directory &Directory;
  traffic_budget &ExtraAttempts;
  rollout_recorder &Rollouts;
  backend_inquirer &Inquirer;
  work_board &Work;
  model_cascade Ladder;
  answer_value Worths{};
  bool Stopping = false; ///< The process ends soon; answers must be quick.
  gateway_counters Counters;
  gateway_times Times;
  first_token_time FirstToken;
};

/// One request under way. The gateway keeps it until OnDone.
class forward_task : public std::enable_shared_from_this<forward_task> {
public:
  forward_task(gateway_context &Context,
               std::shared_ptr<const routing_table> Table,
               std::shared_ptr<caller_connection> Caller,
               caller_request Request);

  /// Sets what runs after the end of the task.
  auto onDone(std::function<void()> Callback) -> void {
    OnDone = std::move(Callback);
  }

  /// Starts the first attempt, or answers at once.
  auto start() -> void;

private:
  struct attempt {
    backend_handle Backend;
    std::string BackendId;
    server_key Key = 0; ///< Of its backend server on the work board.
    std::shared_ptr<backend_channel> Channel;
    answer_facts Facts;
    http_head Head;
    std::string Body;
    time_point SentAt{};
    time_point HeardAt{}; ///< When the last part of its answer came.
    std::uint32_t EventsBefore = 0;
    version_arm Arm = version_arm::serving;
    std::uint32_t Asked = 0; ///< Times its server was asked in this silence.
    silent_state State = silent_state::unknown; ///< As the server said.
    double Work = 0;                            ///< Units on the work board.
    bool Long = false;
    bool Streams = false; ///< Its body goes to the caller as it arrives.
  };

  auto admit() -> bool;
  auto chooseService() -> void;
  auto chooseModel() -> void;
  [[nodiscard]] auto largerModel() -> std::optional<std::size_t>;
  [[nodiscard]] auto ladderModels() const -> std::vector<cascade_model>;
  [[nodiscard]] auto inTime(const std::string &Name) const -> double;
  [[nodiscard]] auto slowAttempt() const -> bool;
  auto learnFromLadder() -> void;
  auto escalate(std::size_t Stage) -> void;
  auto chooseArm() -> void;
  [[nodiscard]] auto fetchSource(const known_backend &Chosen)
      -> std::optional<address>;
  [[nodiscard]] auto chooseBackend() -> result<backend_handle>;
  [[nodiscard]] auto choosePromptServer(backend_pool &Pool)
      -> std::optional<backend_handle>;
  [[nodiscard]] auto promptWork() const -> prompt_work;
  [[nodiscard]] auto modelWeight(const std::string &Name) const -> double;
  [[nodiscard]] auto runPrice(const model_price &Price, double Waiting) const
      -> double;
  [[nodiscard]] auto expectedOutput() const -> std::uint32_t;
  [[nodiscard]] auto meanWaiting() const -> double;
  auto setWork(double Units) -> void;
  auto tryNext() -> void;
  auto recordOutcome(bool Failed) -> void;
  auto leaveTrial() -> void;
  auto watchSilence() -> void;
  auto handleSilence() -> void;
  auto handleSilentStream(std::optional<silent_state> Told) -> void;
  auto askBackend() -> void;
  auto handleReport(const result<backend_report> &Report) -> void;
  auto leaveSilent() -> void;
  [[nodiscard]] auto blamesVersion(const failure &Failure) const -> bool;
  auto giveUpAttempt(const failure &Failure) -> void;
  auto send(backend_handle Backend) -> bool;
  auto handleHead(const answer_facts &Facts, http_head &&Head) -> void;
  auto handleBody(std::string_view Data) -> void;
  auto handleEnd(const result<void> &Result) -> void;
  auto handleAnswer() -> void;
  auto handleFailure(const failure &Failure) -> void;
  auto beginStream() -> void;
  auto passEvents() -> void;
  auto noteEventTimes() -> void;
  auto releaseAttempt(bool Clean) -> void;
  [[nodiscard]] auto mayRepeat() -> bool;
  [[nodiscard]] auto elapsedMs() const -> std::int64_t;
  auto logAnswer() const -> void;
  auto deliver() -> void;
  auto refuse(int Status, std::string_view Reason, duration RetryAfter = {})
      -> void;
  auto refuseNotRun(std::string_view Reason) -> void;
  auto failUnknown(int Status, std::string_view Reason) -> void;
  auto handleDeadline() -> void;
  auto handleCallerLeft() -> void;
  auto finish() -> void;
  [[nodiscard]] auto affinityKey() const -> std::optional<std::uint64_t>;
  [[nodiscard]] auto timeLeft() const -> std::optional<duration>;
  [[nodiscard]] auto attemptsLeft() const -> bool {
    return Sent < Route->MaxAttempts && Tries < 2 * Route->MaxAttempts;
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
  std::string Model;
  double AnswerValue = 0; ///< Of a right answer; see answer_value.
  std::size_t Stage = 0;  ///< Position of the model on the route's ladder.
  /// Stage and confidence of the last model that answered.
  std::optional<std::pair<std::size_t, std::uint32_t>> Dropped;
  std::unique_ptr<attempt> Attempt;
  std::vector<backend_handle> Tried;
  event_splitter Events;
  std::unique_ptr<loop_timer> Deadline;
  std::unique_ptr<loop_timer> Silence;
  std::uint32_t Sent = 0;    ///< Attempts that reached a backend server.
  std::uint32_t Tries = 0;   ///< With those that reached none.
  duration FirstEventTime{}; ///< From the request to its first event.
  duration LongestGap{};     ///< Between two events passed on.
  time_point EventAt{};      ///< When the last event was passed on.
  bool MayHaveRun = false;
  bool Streaming = false; ///< The caller has the head of a stream.
  bool Paused = false;
  bool Done = false;
};

} // namespace acacianotch
