/// \file Main function of the gateway role.
#include "gateway/gateway_role.h"

#include "controller/rollout_evaluator.h"
#include "core/compression_func.h"
#include "core/log_func.h"
#include "gateway/backend_dump.h"
#include "gateway/caller_server.h"
#include "gateway/forward_task.h"
#include "gateway/startup_queue.h"
#include "gateway/work_reporter.h"
#include "net/http_server.h"
#include "net/stepped_work.h"
#include "node/admin_server.h"
#include "node/log_query.h"
#include "node/loop_monitor.h"
#include "node/node_link.h"
#include "node/resource_func.h"
#include "node/resource_limits.h"
#include "node/role_func.h"
#include "node/shutdown.h"
#include "platform/configuration_codec.h"
#include "platform/instance_poller.h"
#include "platform/request_codec.h"

#include <algorithm>
#include <optional>
#include <random>
#include <unordered_set>

namespace acacianotch {

namespace {

constexpr duration TickInterval = std::chrono::milliseconds(100);
/// Requests are accepted for this long after a shutdown begins: load balancers
/// check readiness once a second and act on the second failure, so callers
/// still arrive. Later requests are refused, because they could not complete in
/// time.
constexpr duration MaxDrainPeriod = std::chrono::milliseconds(2500);
/// The drain period is at most this part of a short shutdown, so that what
/// arrives at its end can still complete.
constexpr int DrainPeriodDivisor = 3;
/// Requests without a complete answer get a final one this long before the
/// process exits, which is enough to send it.
constexpr duration FinalAnswerTime = std::chrono::milliseconds(200);
/// The process exits this long before the grace period ends and it is killed.
constexpr duration KillMargin = std::chrono::milliseconds(300);
/// Age of the backend list at which the gateway polls the platform itself: two
/// polls by control and the interval between two of its updates.
constexpr duration MaxListAge = std::chrono::milliseconds(2500);
/// Extra attempts that one gateway can save up in quiet times. The total of all
/// gateways is a multiple of it.
constexpr double MaxSavedAttempts = 8;

/// Retry-After while the gateway has no routing document: about the time of an
/// election in control and the first update.
constexpr duration StartupRetryAfter = std::chrono::milliseconds(1200);

constexpr int Success = 200;
constexpr int Unavailable = 503;

auto controlAddresses(const settings &Settings) -> std::vector<address> {
  auto Addresses = Settings.Control.Addresses;
  for (auto &Address : Addresses)
    if (Settings.Control.RpcPort != 0)
      Address.Port = static_cast<std::uint16_t>(Settings.Control.RpcPort);
  return Addresses;
}

auto toDuration(double Count) -> duration {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Count));
}

/// \return the time limit of a shutdown.
auto shutdownLimit(const settings &Settings) -> duration {
  const auto Grace = toDuration(Settings.Gateway.GraceSeconds);
  if (Grace > KillMargin)
    return Grace - KillMargin;
  return Settings.ShutdownDeadline;
}

/// \return the limit of the memory for answers that are held back. A VM with
/// little memory runs control beside the gateway.
auto answerMemory(const settings &Settings) -> std::size_t {
  constexpr std::size_t Mebibyte = 1024ULL * 1024;
  constexpr std::size_t Share = 5;
  constexpr std::size_t Least = 4 * Mebibyte;
  if (Settings.Gateway.AnswerMemoryMb != 0)
    return Settings.Gateway.AnswerMemoryMb * Mebibyte;
  const auto Total = processMemory(Settings.Node);
  if (Total == 0)
    return DefaultAnswerMemory;
  return std::clamp(Total / Share, Least, DefaultAnswerMemory);
}

/// \return what all connections of callers may use.
auto callerBounds(const settings &Settings) -> caller_bounds {
  // The rest is for the program itself and for what the budget does not count.
  constexpr std::size_t MemoryShare = 2;
  // Each request may need a connection to a backend server as well.
  constexpr std::size_t DescriptorShare = 2;
  caller_bounds Bounds;
  if (const auto Total = processMemory(Settings.Node); Total != 0)
    Bounds.Memory = std::make_shared<memory_budget>(Total / MemoryShare);
  Bounds.Connections = processDescriptors(Settings.Node) / DescriptorShare;
  return Bounds;
}

/// State of a gateway process.
class gateway_process {
public:
  gateway_process(event_loop &TheLoop, const settings &Settings,
                  std::shared_ptr<memory_budget> Memory)
      : Loop(TheLoop),
        Control(TheLoop, controlAddresses(Settings), rpcOptions(Settings)),
        Link(TheLoop, Control, View,
             {node_id(Settings.Node.Id), "gateway", Settings.Node.Zone, ""}),
        Directory(TheLoop, node_id(Settings.Node.Id),
                  zone_id(Settings.Node.Zone), std::random_device{}()),
        ExtraAttemptBudget(Settings.Gateway.RetryShare, MaxSavedAttempts),
        Poller(TheLoop, Settings.Gateway.Backends,
               Settings.Gateway.BackendInterval,
               [this](std::vector<backend_record> Listed) {
                 ListReadAt = steady_clock::now();
                 Directory.applyList(std::move(Listed));
                 Directory.recordListRead(ListReadAt);
                 releaseHeld();
               }),
        Rollouts(TheLoop, Control, Settings.Node.Id,
                 toDuration(Settings.Gateway.SessionSeconds),
                 maxCandidateShare(Settings.Gateway.ExposureShare)),
        ReportClient(TheLoop),
        Reporter(TheLoop, Link, Work, Crashes, Directory, Settings.Node.Id),
        Context{TheLoop,
                View,
                Directory,
                ExtraAttemptBudget,
                Rollouts,
                ReportClient,
                Work,
                Crashes,
                model_cascade(),
                std::move(Memory)},
        Startup(TheLoop, Settings.Gateway.StartupHold,
                [this](const std::shared_ptr<caller_connection> &Caller,
                       caller_request &&Request) {
                  handle(Caller, std::move(Request));
                }),
        Ticker(TheLoop.repeating([this] { Directory.tick(); })),
        ShutdownLimit(shutdownLimit(Settings)),
        DrainPeriod(
            std::min(MaxDrainPeriod, ShutdownLimit / DrainPeriodDivisor)),
        DrainTimer(TheLoop.oneShot([this] { Server->closeIdle(); })),
        EndTimer(TheLoop.oneShot([this] { endTasks(); })) {
    ColdOverage = Settings.Gateway.ColdOverage;
    ColdSlack = Settings.Gateway.ColdSlack;
    Context.Memory.setLimit(answerMemory(Settings));
    Link.FollowMembers = true;
    Link.onChange([this] { applyView(); });
    Link.OnBackends = [this](duration Age,
                             const std::vector<backend_record> *Listed) {
      ListReadAt = steady_clock::now() - Age;
      if (Listed != nullptr)
        Directory.applyList(*Listed);
      Directory.recordListRead(ListReadAt);
      releaseHeld();
    };
  }

  auto start(caller_server &TheServer) -> void {
    Server = &TheServer;
    Link.start();
    Poller.start([this] { return isListOutdated(); });
    Reporter.start();
    Ticker->start(TickInterval);
  }

  auto handle(const std::shared_ptr<caller_connection> &Caller,
              caller_request &&Request) -> void {
    if (waitsForStart())
      return Startup.add(Caller, std::move(Request));
    if (!Table || draining())
      return refuse(Caller, Request.Id);
    auto Task = std::make_shared<forward_task>(Context, Table, Caller,
                                               std::move(Request));
    Tasks.insert(Task);
    Task->onDone([this, Weak = std::weak_ptr(Task)] {
      if (const auto Ended = Weak.lock())
        Tasks.erase(Ended);
    });
    Task->start();
  }

  auto stop() -> void {
    Stopping = true;
    Context.Stopping = true;
    StoppingAt = steady_clock::now();
    Startup.refuseAll("this gateway stops", GatewayRefusalRetryAfter);
    Server->closeAfterAnswers();
    Server->closeIdle();
    DrainTimer->start(DrainPeriod);
    EndTimer->start(
        std::max(ShutdownLimit - FinalAnswerTime, ShutdownLimit / 2));
  }

  [[nodiscard]] auto idle() const -> bool {
    return draining() && Tasks.empty() && Server->busyCount() == 0;
  }

  [[nodiscard]] auto ready() const -> result<void> {
    if (auto Node = nodeReady(View, Stopping); !Node)
      return Node;
    if (!Table)
      return failure::of(errc::not_ready, "no routing document is known");
    if (!Directory.hasList())
      return failure::of(errc::not_ready, "no backend server is known");
    return {};
  }

  [[nodiscard]] auto query(std::string_view What, const json &Arguments)
      -> result<json> {
    if (What == "log_level")
      return queryLogLevel(Arguments);
    if (What != "status" && What != "dump")
      return failure::of(errc::bad_request,
                         "unknown query " + std::string(What));
    const auto &Counters = Context.Counters;
    json Answer = {
        {"role", "gateway"},
        {"revision", static_cast<std::uint64_t>(View.currentRevision())},
        {"epoch", static_cast<std::uint64_t>(View.currentEpoch())},
        {"routing", Table ? Table->Number : 0},
        {"ready", ready().ok()},
        {"fresh", View.fresh(steady_clock::now())},
        {"open", Tasks.size()},
        {"held_requests", Startup.heldCount()},
        {"callers", Server->connectionCount()},
        {"requests", Counters.Requests},
        {"answered", Counters.Answered},
        {"refused", Counters.Refused},
        {"failed", Counters.Failed},
        {"caller_left", Counters.CallerLeft},
        {"retries", Counters.Retries},
        {"resumed", Counters.Resumed},
        {"escalations", Counters.Escalations},
        {"inquiries", ReportClient.calls()},
        {"held_answer_bytes", Context.Memory.used()},
        {"held_answer_bytes_largest", Context.Memory.largest()},
        {"held_answer_bytes_limit", Context.Memory.limit()},
        {"memory_used", Context.ProcessMemory->used()},
        {"memory_largest", Context.ProcessMemory->largest()},
        {"memory_limit", Context.ProcessMemory->limit()}};
    if (What == "dump")
      Answer["backends"] = dumpBackends(Directory);
    return Answer;
  }

  /// Registers the histograms of request durations.
  auto registerMetrics(metrics_registry &Metrics) -> void {
    const auto Histogram = [&](route_kind Kind) {
      return &Metrics.histogram(
          metric::request_seconds,
          {{"class", std::string(RouteKindNames.name(Kind))}});
    };
    Context.RequestTimes = {Histogram(route_kind::idempotent),
                            Histogram(route_kind::non_idempotent),
                            Histogram(route_kind::streaming)};
  }

  auto updateMetrics(metrics_registry &Metrics) -> void {
    const auto &Counters = Context.Counters;
    const auto SetCounter = [](prometheus::Counter &Counter,
                               std::uint64_t Value) {
      Counter.Increment(static_cast<double>(Value) - Counter.Value());
    };
    const auto RequestCounter = [&](const char *Outcome,
                                    verdict Verdict) -> prometheus::Counter & {
      return Metrics.counter(
          metric::requests,
          {{"outcome", Outcome},
           {"verdict", std::string(VerdictNames.name(Verdict))}});
    };
    SetCounter(RequestCounter("ok", verdict::ran), Counters.Answered);
    SetCounter(RequestCounter("refused", verdict::not_run), Counters.Refused);
    SetCounter(RequestCounter("failed", verdict::may_have_run),
               Counters.Failed);
    SetCounter(RequestCounter("cancelled", verdict::may_have_run),
               Counters.CallerLeft);
    SetCounter(Metrics.counter(metric::retries, {{"outcome", "all"}}),
               Counters.Retries);
    Metrics.gauge(metric::in_flight).Set(static_cast<double>(Tasks.size()));
    Metrics.gauge(metric::epoch)
        .Set(static_cast<double>(
            static_cast<std::uint64_t>(View.currentEpoch())));
    Metrics.gauge(metric::catalogue_revision)
        .Set(static_cast<double>(
            static_cast<std::uint64_t>(View.currentRevision())));
    Metrics.gauge(metric::ejected_backends)
        .Set(static_cast<double>(Directory.suspendedCount()));
    Metrics.gauge(metric::held_answer_bytes)
        .Set(static_cast<double>(Context.Memory.used()));
    Metrics.gauge(metric::memory_used)
        .Set(static_cast<double>(Context.ProcessMemory->used()));
    for (const auto &Row : DropReasonNames.Rows)
      SetCounter(Metrics.counter(
                     metric::dropped_connections,
                     {{"port", "callers"}, {"reason", std::string(Row.Name)}}),
                 Server->dropped(Row.Value));
    Metrics.gauge(metric::evacuated_zones)
        .Set(static_cast<double>(Directory.evacuatedCount()));
    Metrics.gauge(metric::cold_backends)
        .Set(static_cast<double>(Directory.coldCount()));
    SetCounter(Metrics.counter(metric::cold_exclusions),
               Counters.ColdExclusions);
    Metrics.gauge(metric::startup_held)
        .Set(static_cast<double>(Startup.heldCount()));
    SetCounter(Metrics.counter(metric::startup_held_total),
               Startup.heldTotal());
    SetCounter(Metrics.counter(metric::startup_refused),
               Startup.refusedTotal());
    const auto Counts = Directory.intakeCounts({});
    const auto SetIntake = [&](intake_state State, std::size_t Count) {
      Metrics
          .gauge(metric::backend_intake,
                 {{"state", std::string(IntakeStateNames.name(State))}})
          .Set(static_cast<double>(Count));
    };
    SetIntake(intake_state::leaving, Counts.Leaving);
    SetIntake(intake_state::paused, Counts.Paused);
    SetIntake(intake_state::resuming, Counts.Resuming);
    for (const auto &Row : SubscriptionEndNames.Rows)
      SetCounter(Metrics.counter(metric::subscription_ends,
                                 {{"reason", std::string(Row.Name)}}),
                 Link.endCount(Row.Value));
    if (const auto Confirmed = View.lastConfirmation())
      Metrics.gauge(metric::confirmation_age_seconds)
          .Set(std::chrono::duration<double>(steady_clock::now() - *Confirmed)
                   .count());
  }

private:
  auto endTasks() -> void {
    if (Tasks.empty())
      return;
    logWarning(log_category::entry,
               "the shutdown ends requests without a complete answer",
               {{"requests", Tasks.size()}});
    // A task removes itself from the set when it ends.
    const std::vector Remaining(Tasks.begin(), Tasks.end());
    for (const auto &Task : Remaining)
      Task->endNow();
  }

  // Control polls the list for all gateways. A gateway polls it itself while
  // control sends no updates.
  [[nodiscard]] auto isListOutdated() const -> bool {
    return steady_clock::now() - ListReadAt > MaxListAge;
  }

  /// \return whether a request that arrives now is held, or refused by the same
  /// rules. Without a list of backend servers this ends with the time for
  /// holding, because the list may lack all servers for long.
  [[nodiscard]] auto waitsForStart() const -> bool {
    return !Stopping && Startup.enabled() && !ready() &&
           (!Table || Startup.open());
  }

  auto releaseHeld() -> void {
    if (ready())
      Startup.release();
  }

  // After a restart of all processes the other gateways wait for control as
  // well, so an immediate retry would be refused again.
  auto refuse(const std::shared_ptr<caller_connection> &Caller,
              const std::string &RequestId) -> void {
    const auto After = Table ? GatewayRefusalRetryAfter : StartupRetryAfter;
    Caller->reply(Unavailable, platform::gatewayHeaders(RequestId, After), "");
    logInfo(log_category::entry, "request refused",
            {{"request", RequestId},
             {"status", Unavailable},
             {"reason",
              Table ? "this gateway stops" : "no routing document is known"},
             {"retry_after_ms", After / std::chrono::milliseconds(1)}});
  }

  [[nodiscard]] auto draining() const -> bool {
    return Stopping && steady_clock::now() - StoppingAt >= DrainPeriod;
  }

  auto applyView() -> void {
    Directory.applyCatalogue(View);
    Rollouts.applyView(View);
    decodeRouting();
  }

  /// Decodes the newest routing document, unless it was decoded before or
  /// another one is being decoded.
  auto decodeRouting() -> void {
    const auto *Document = View.routing();
    if (Decoder || Document == nullptr || Document->Number <= DecodedNumber)
      return;
    DecodedNumber = Document->Number;
    DecodingSince = steady_clock::now();
    auto Text =
        decompress(Document->Text.Bytes, platform::MaxConfigurationBytes);
    if (!Text)
      return reportUndecodable(Text.error());
    Decoder.emplace(std::move(*Text), Table);
    runStepped(
        Loop, Alive,
        [this] { return Decoder->step(platform::DecodingStepBytes); },
        [this] { applyDecoded(); });
  }

  auto reportUndecodable(const failure &Failure) -> void {
    logError(log_category::catalogue, "cannot decode the routing document",
             {{"number", DecodedNumber}, {"error", Failure.text()}});
  }

  auto applyDecoded() -> void {
    auto Decoded = Decoder->takeTable();
    Decoder.reset();
    if (Decoded) {
      Table = std::make_shared<const routing_table>(std::move(*Decoded));
      Server->setLimits(Table->Limits);
      Directory.setColdLimits(*Table, ColdOverage, ColdSlack);
      releaseHeld();
      logInfo(log_category::catalogue, "applied a routing document",
              {{"number", Table->Number},
               {"routes", Table->routeCount()},
               {"revision", static_cast<std::uint64_t>(View.currentRevision())},
               {"decoding_ms", (steady_clock::now() - DecodingSince) /
                                   std::chrono::milliseconds(1)}});
    } else {
      reportUndecodable(Decoded.error());
    }
    decodeRouting();
  }

  event_loop &Loop;
  catalogue_view View;
  leader_client Control;
  node_link Link;
  backend_directory Directory;
  traffic_budget ExtraAttemptBudget;
  platform::instance_poller Poller;
  rollout_recorder Rollouts;
  backend_report_client ReportClient;
  work_board Work;
  crash_watch Crashes;
  work_reporter Reporter;
  gateway_context Context;
  std::unordered_set<std::shared_ptr<forward_task>> Tasks;
  std::shared_ptr<const routing_table> Table;
  std::optional<platform::configuration_decoder> Decoder; ///< In progress.
  std::uint64_t DecodedNumber = 0; ///< Last document that was decoded.
  time_point DecodingSince{};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  caller_server *Server = nullptr;
  startup_queue Startup;
  std::unique_ptr<loop_timer> Ticker;
  duration ShutdownLimit; ///< Time from SIGTERM to the end of the process.
  duration DrainPeriod;
  std::unique_ptr<loop_timer> DrainTimer;
  std::unique_ptr<loop_timer> EndTimer;
  time_point ListReadAt{}; ///< Last poll of the list, here or by control.
  double ColdOverage = 1;  ///< See gateway.cold_overage.
  double ColdSlack = 0;
  bool Stopping = false;
  time_point StoppingAt{};
};

} // namespace

auto runGateway(const settings &Settings) -> result<void> {
  auto Loop = event_loop::create();
  if (!Loop)
    return Loop.error();
  const auto Bounds = callerBounds(Settings);
  gateway_process Process(**Loop, Settings, Bounds.Memory);
  auto Callers = caller_server::create(
      **Loop, Settings.Http.Listen,
      [&](const std::shared_ptr<caller_connection> &Caller,
          caller_request &&Request) {
        Process.handle(Caller, std::move(Request));
      },
      Bounds);
  if (!Callers)
    return Callers.error();
  const auto Ready = http_server::create(
      **Loop, Settings.Gateway.ReadyListen,
      readinessServerOptions(Settings.Node),
      [&](const std::shared_ptr<http_exchange> &Exchange) {
        Exchange->reply(Process.ready() ? Success : Unavailable, {}, "");
      });
  if (!Ready)
    return Ready.error();
  admin_callbacks Callbacks;
  Callbacks.Ready = [&] { return Process.ready(); };
  Callbacks.Query = [&](std::string_view What, const json &Arguments) {
    return Process.query(What, Arguments);
  };
  Callbacks.UpdateMetrics = [&](metrics_registry &Metrics) {
    Process.updateMetrics(Metrics);
  };
  const auto Admin = admin_server::create(**Loop, Settings.Node, Settings.Admin,
                                          rpcOptions(Settings), Callbacks);
  if (!Admin)
    return Admin.error();
  (*Admin)->countDropped(**Ready, "readiness");
  Process.registerMetrics((*Admin)->metrics());
  const graceful_shutdown Shutdown(
      **Loop, shutdownLimit(Settings), [&] { Process.stop(); },
      [&] { return Process.idle(); });
  const loop_monitor Monitor(**Loop);
  Process.start(**Callers);
  (*Loop)->run();
  return {};
}

} // namespace acacianotch
