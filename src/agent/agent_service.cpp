/// \file RPC service of the agent: checks, queues and runs requests.
#include "agent/agent_service.h"

#include "core/log_func.h"
#include "net/kj_func.h"

namespace acacianotch {

namespace {

auto eligibilityRequest(wire::WorkRequest::Reader Request)
    -> eligibility_request {
  eligibility_request Result;
  Result.Account = account_id(toString(Request.getAccount()));
  Result.Version = {toString(Request.getModel()),
                    toString(Request.getVersion())};
  Result.Service = toString(Request.getService());
  Result.Fingerprint = fingerprint{Request.getFingerprint()};
  Result.Isolated = Request.getIsolated();
  return Result;
}

auto workItem(wire::WorkRequest::Reader Request, time_point Now) -> work_item {
  work_item Item;
  Item.Account = account_id(toString(Request.getAccount()));
  if (Request.getAccountWeight() > 0)
    Item.Weight = Request.getAccountWeight();
  Item.Priority = Request.getPriority();
  Item.Long = Request.getLongWork();
  Item.Isolated = Request.getIsolated();
  if (Request.getDeadlineMs() > 0)
    Item.Deadline = Now + std::chrono::milliseconds(Request.getDeadlineMs());
  return Item;
}

// A crash of the backend server closes the connections of all running requests
// at about the same time, so connections lost within this time count as one
// crash. A connection that is lost alone does not make the other requests
// suspect.
constexpr duration CrashWindow = std::chrono::milliseconds(100);

} // namespace

struct agent_service::work {
  work_ticket Ticket = work_ticket::none;
  std::unique_ptr<attempt> Attempt;
  kj::Own<kj::PromiseFulfiller<void>> Completion;
  fingerprint Fingerprint = fingerprint::none;
  bool Isolated = false;
  bool Started = false;
};

class agent_service::server final : public wire::Agent::Server {
public:
  explicit server(agent_service &TheService) : Service(TheService) {}

  auto run(RunContext Context) -> kj::Promise<void> override {
    Context.allowCancellation();
    return Service.run(kj::mv(Context));
  }

  auto probe(ProbeContext Context) -> kj::Promise<void> override {
    auto Results = Context.getResults();
    Service.fillLoad(Results.initLoad());
    Results.setRevision(
        static_cast<std::uint64_t>(Service.View.currentRevision()));
    Results.setEpoch(static_cast<std::uint64_t>(Service.View.currentEpoch()));
    Results.setReady(Service.View.ready() && !Service.State.ShuttingDown);
    return kj::READY_NOW;
  }

private:
  agent_service &Service;
};

agent_service::agent_service(event_loop &TheLoop, const catalogue_view &TheView,
                             agent_state &TheState, const address &TheBackend,
                             const agent_queue_settings &QueueSettings,
                             const stream_limits &TheLimits)
    : Loop(TheLoop), View(TheView), State(TheState),
      Backend(TheLoop, TheBackend), Limits(TheLimits),
      Queue(Clock, QueueSettings),
      QueueTimer(TheLoop.oneShot([this] { dispatchQueue(); })),
      CrashTimer(TheLoop.oneShot([this] { reportCrash(); })),
      Slots(QueueSettings.Slots) {}

agent_service::~agent_service() = default;

auto agent_service::client() -> wire::Agent::Client {
  return kj::heap<server>(*this);
}

auto agent_service::configure(std::uint32_t NewSlots, double LongShare)
    -> void {
  Slots = NewSlots;
  Queue.configure(NewSlots, LongShare);
  dispatchQueue();
}

auto agent_service::fillLoad(wire::LoadReport::Builder Load) const -> void {
  const auto Report = Queue.report();
  Load.setRunning(Report.Running);
  Load.setQueued(Report.Queued);
  Load.setLong(Report.Long);
  Load.setSlots(Report.Slots);
  Load.setFirstTokenUs(static_cast<std::uint32_t>(FirstToken.count()));
  Load.setLeaving(State.Leaving || State.ShuttingDown);
}

auto agent_service::run(attempt::context Context) -> kj::Promise<void> {
  const auto Request = Context.getParams().getRequest();
  const auto Now = Clock.now();
  const auto Eligibility =
      checkEligibility(View, State, eligibilityRequest(Request), Now);
  if (!Eligibility) {
    reject(Context, Eligibility.error(), duration::zero());
    return kj::READY_NOW;
  }
  const auto Admission = Queue.offer(workItem(Request, Now));
  if (!Admission.ok()) {
    reject(Context, Admission.error(), Admission.RetryAfter);
    return kj::READY_NOW;
  }
  const auto Ticket = Queue.lastTicket();
  auto Work = std::make_unique<work>();
  Work->Ticket = Ticket;
  Work->Fingerprint = fingerprint{Request.getFingerprint()};
  Work->Isolated = Request.getIsolated();
  Work->Attempt =
      std::make_unique<attempt>(Loop, Backend, kj::mv(Context), Limits);
  auto Pair = kj::newPromiseAndFulfiller<void>();
  Work->Completion = kj::mv(Pair.fulfiller);
  OpenWork.emplace(Ticket, std::move(Work));
  dispatchQueue();
  return Pair.promise.attach(
      kj::defer([this, Ticket] { handleCancellation(Ticket); }));
}

auto agent_service::reject(attempt::context &Context, const failure &Failure,
                           duration RetryAfter) -> void {
  ++Counters.Rejected;
  auto Outcome = Context.getResults().initOutcome();
  Outcome.setRequestId(Context.getParams().getRequest().getRequestId());
  Outcome.setVerdict(static_cast<std::uint8_t>(verdict::not_run));
  Outcome.setError(static_cast<std::uint16_t>(Failure.Code));
  Outcome.setDetail(Failure.Detail.c_str());
  Outcome.setRetryAfterMs(
      static_cast<std::uint32_t>(RetryAfter / std::chrono::milliseconds(1)));
  fillLoad(Outcome.initLoad());
}

auto agent_service::dispatchQueue() -> void {
  while (const auto Ticket = Queue.next()) {
    const auto Found = OpenWork.find(*Ticket);
    if (Found == OpenWork.end())
      Queue.cancel(*Ticket);
    else
      startWork(*Found->second);
  }
  for (const auto &Dropped : Queue.takeDropped())
    dropWork(Dropped);
  if (const auto Timeout = Queue.nextTimeout())
    QueueTimer->start(std::max(*Timeout - Clock.now(), duration(1000)));
}

// Repeats the eligibility check, because a version can be withdrawn while its
// requests are queued.
auto agent_service::startWork(work &Work) -> void {
  const auto Ticket = Work.Ticket;
  const auto Eligibility = checkEligibility(
      View, State, eligibilityRequest(Work.Attempt->request()), Clock.now());
  // An agent that shuts down still runs the requests in its queue.
  const auto ShuttingDown =
      !Eligibility && Eligibility.error().Code == errc::shutting_down;
  if (!Eligibility && !ShuttingDown) {
    const auto &Error = Eligibility.error();
    Loop.defer([this, Ticket,
                End = attempt_end{Error.Code, Error.Detail, verdict::not_run}] {
      endWork(Ticket, End);
    });
    return;
  }
  Work.Started = true;
  Work.Attempt->start(
      [this, Ticket](const attempt_end &End) { endWork(Ticket, End); });
}

auto agent_service::endWork(work_ticket Ticket, const attempt_end &End)
    -> void {
  const auto Found = OpenWork.find(Ticket);
  if (Found == OpenWork.end())
    return;
  auto Work = std::move(Found->second);
  OpenWork.erase(Found);
  recordEnd(*Work, End);
  Queue.finished(Ticket, End.Code == errc::ok);
  Work->Attempt->fillOutcome(End);
  fillLoad(Work->Attempt->outcomeLoad());
  Work->Completion->fulfill();
  retire(std::move(Work));
  dispatchQueue();
}

auto agent_service::recordEnd(const work &Work, const attempt_end &End)
    -> void {
  if (End.Code == errc::ok) {
    ++Counters.Completed;
    if (Work.Isolated && OnCleared)
      OnCleared(Work.Fingerprint);
    return;
  }
  if (End.Verdict == verdict::not_run) {
    ++Counters.Rejected;
    return;
  }
  ++Counters.Failed;
  logWarning(log_category::agent, "an attempt failed",
             {{"error", errcRow(End.Code).Name}, {"detail", End.Detail}});
  if (End.ConnectionLost)
    recordLostConnection(Work);
}

auto agent_service::recordLostConnection(const work &Work) -> void {
  if (LostFingerprints.empty())
    CrashTimer->start(CrashWindow);
  LostFingerprints.push_back(Work.Fingerprint);
  LostIsolated = LostIsolated || Work.Isolated;
}

auto agent_service::reportCrash() -> void {
  auto Fingerprints = std::exchange(LostFingerprints, {});
  const auto Isolated = std::exchange(LostIsolated, false);
  if (OnCrash)
    OnCrash(std::move(Fingerprints), Isolated);
}

auto agent_service::dropWork(const dropped_work &Dropped) -> void {
  const auto Found = OpenWork.find(Dropped.Ticket);
  if (Found == OpenWork.end())
    return;
  auto Work = std::move(Found->second);
  OpenWork.erase(Found);
  ++Counters.Rejected;
  Work->Attempt->fillOutcome(
      {Dropped.Reason.Code, "dropped from the queue", verdict::not_run});
  fillLoad(Work->Attempt->outcomeLoad());
  Work->Completion->fulfill();
  retire(std::move(Work));
}

// The RPC context ends with the call, so no callback may reach the attempt
// after that. A method of the attempt can be on the call stack, so it is
// destroyed from the event loop.
auto agent_service::retire(std::unique_ptr<work> Work) -> void {
  Work->Attempt->abandon();
  Loop.defer([Ended = std::shared_ptr<work>(std::move(Work))] {});
}

auto agent_service::handleCancellation(work_ticket Ticket) -> void {
  const auto Found = OpenWork.find(Ticket);
  if (Found == OpenWork.end())
    return;
  ++Counters.Cancelled;
  auto Work = std::move(Found->second);
  OpenWork.erase(Found);
  Queue.cancel(Ticket);
  retire(std::move(Work));
  Loop.defer([this] { dispatchQueue(); });
}

} // namespace acacianotch
