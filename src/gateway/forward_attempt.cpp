/// \file Attempts of a forwarded request: choice of the backend server, start
/// and failure.
#include "gateway/forward_task.h"

#include "core/log_func.h"
#include "platform/request_codec.h"

#include <xxhash.h>

#include <algorithm>

namespace acacianotch {

namespace {

/// Shared prompt tokens from which a cached prefix is copied between servers: a
/// transfer has a set-up time of some milliseconds.
constexpr std::uint32_t MinFetchTokens = 512;
/// Work units added for each 1,000 shared tokens at a server other than the
/// prompt's home server: the cached prefix is copied there or computed again.
constexpr double RemotePrefixUnits = 0.5;
/// Prompts of more tokens count as long work.
constexpr std::uint32_t LongPromptTokens = 4096;

} // namespace

// The last part of a prompt is specific to the request; the parts before it
// form the prefix that other requests share.
auto forward_task::affinityKey() const -> std::optional<std::uint64_t> {
  const auto &Prompt = Request.Prompt;
  if (Prompt.empty())
    return std::nullopt;
  const auto LastShared = Prompt.size() > 1 ? Prompt.size() - 2 : 0;
  const auto Id = Prompt[LastShared].Id;
  return XXH3_64bits(&Id, sizeof(Id));
}

auto forward_task::timeLeft() const -> std::optional<duration> {
  if (!Request.TimeLeft)
    return std::nullopt;
  return *Request.TimeLeft - (steady_clock::now() - Request.ReceivedAt);
}

auto forward_task::chooseArm() -> void {
  const auto Listed =
      Context.Directory.pool(Service, version_arm::candidate) != nullptr;
  const auto *Rollout = Context.Directory.runningRollout(Service);
  if (Rollout != nullptr)
    NewVersion = Rollout->To;
  Arm =
      Context.Rollouts.chooseArm(Rollout, Request.Session, Request.Id, Listed);
}

auto forward_task::measuredAttempt() const -> measured_attempt {
  return {Attempt->Arm, Route->Name + "/" + std::to_string(CascadeStage),
          Attempt->SentAt};
}

auto forward_task::recordOutcome(bool Failed) -> void {
  const auto *Rollout = Context.Directory.runningRollout(Service);
  if (Rollout != nullptr && Attempt != nullptr)
    Context.Rollouts.recordEnd(*Rollout, measuredAttempt(), Failed);
}

auto forward_task::recordPace() -> void {
  const auto *Rollout = Context.Directory.runningRollout(Service);
  const auto EventCount = Events.count() - Attempt->EventsBefore;
  const auto Measured = std::exchange(Attempt->PaceRecorded, true);
  if (Rollout == nullptr || !Attempt->StreamsBody || EventCount < 2 || Measured)
    return;
  Context.Rollouts.recordPace(*Rollout, measuredAttempt(),
                              (steady_clock::now() - Attempt->AnsweredAt) /
                                  static_cast<std::int64_t>(EventCount - 1));
}

// If no server of the candidate can take the request, the predecessor does.
auto forward_task::chooseBackend() -> result<backend_handle> {
  if (Arm == version_arm::candidate)
    if (auto Chosen = chooseFromPool(version_arm::candidate))
      return Chosen;
  return chooseFromPool(version_arm::serving);
}

auto forward_task::chooseFromPool(version_arm PoolArm)
    -> result<backend_handle> {
  auto *Pool = Context.Directory.pool(Service, PoolArm);
  if (Pool == nullptr)
    return failure::of(errc::no_backend);
  auto Excluded = Context.Directory.membersWithoutModel(*Pool, Model);
  Excluded.insert(Excluded.end(), TriedBackends.begin(), TriedBackends.end());
  const auto Cold = Context.Directory.membersAtColdLimit(*Pool);
  Context.Counters.ColdExclusions += Cold.size();
  Excluded.insert(Excluded.end(), Cold.begin(), Cold.end());
  if (!Request.Prompt.empty())
    if (const auto Chosen = choosePromptServer(*Pool, Excluded))
      return *Chosen;
  place_request Place;
  Place.AffinityKey = affinityKey();
  Place.Exclude = Excluded;
  return Pool->Placement.pick(Place);
}

auto forward_task::serviceFacts() const -> const gateway_service * {
  const auto Found = Table->Services.find(Service);
  return Found == Table->Services.end() ? nullptr : &Found->second;
}

/// \return the work of a model for each token, relative to the largest model of
/// the service, as estimated from the prices of the models.
auto forward_task::modelWeight(const std::string &Name) const -> double {
  const auto *Facts = serviceFacts();
  if (Facts == nullptr)
    return 1;
  double Own = 0;
  double Largest = 0;
  for (const auto &Price : Facts->Models) {
    Largest = std::max(Largest, Price.Cost);
    if (Price.Model == Name)
      Own = Price.Cost;
  }
  return Own > 0 ? Own / Largest : 1;
}

auto forward_task::promptWork() const -> prompt_work {
  constexpr double TokensPerUnit = 1000;
  const double Shared = Request.sharedTokens();
  const auto Weight = modelWeight(Model) / TokensPerUnit;
  const auto Total = std::max<double>(Request.PromptTokens, Shared);
  return {Total * Weight, Shared * Weight,
          RemotePrefixUnits * Shared / TokensPerUnit};
}

auto forward_task::choosePromptServer(
    backend_pool &Pool, const std::vector<backend_handle> &Excluded)
    -> std::optional<backend_handle> {
  const auto Now = steady_clock::now();
  auto &Directory = Context.Directory;
  if (!Context.Work.fresh(Now))
    return std::nullopt;
  std::optional<backend_handle> Home;
  if (const auto Key = affinityKey())
    Home = Pool.Placement.home(*Key);
  const auto OutstandingUnits = [&](backend_handle Handle) {
    const auto *Backend = Directory.find(Handle);
    return Backend == nullptr ? 0 : Context.Work.units(Backend->Key, Now);
  };
  const auto Usable = [&](backend_handle Handle) {
    return Directory.board().eligible(Handle) &&
           std::find(Excluded.begin(), Excluded.end(), Handle) ==
               Excluded.end();
  };
  return placePrompt(Directory.random(), Pool.Placement.subset().members(),
                     Home, promptWork(), {}, OutstandingUnits, Usable);
}

auto forward_task::setWork(double Units) -> void {
  const auto Change = Units - std::exchange(Attempt->WorkUnits, Units);
  Context.Work.add(Attempt->Key, Change);
}

/// \return the address from which a server other than the prompt's home server
/// can copy the cached prefix, which takes far less time than computing it.
auto forward_task::prefixCacheSource(const known_backend &Chosen)
    -> std::optional<address> {
  const auto Key = affinityKey();
  if (!Key || Request.sharedTokens() < MinFetchTokens)
    return std::nullopt;
  auto *Pool = Context.Directory.pool(Service, Context.Directory.armOf(Chosen));
  if (Pool == nullptr)
    return std::nullopt;
  const auto Home = Pool->Placement.home(*Key);
  if (!Home || *Home == Chosen.Handle)
    return std::nullopt;
  const auto *Source = Context.Directory.find(*Home);
  if (Source == nullptr)
    return std::nullopt;
  return Source->Record.Address;
}

auto forward_task::send(backend_handle Chosen) -> bool {
  auto *Backend = Context.Directory.find(Chosen);
  if (Backend == nullptr)
    return false;
  auto Channel = Context.Directory.acquireChannel(*Backend);
  if (!Channel) {
    Context.Directory.suspend(Chosen);
    return false;
  }
  Attempt = std::make_unique<attempt>(Context.Memory);
  Attempt->Backend = Chosen;
  Attempt->BackendId = Backend->Record.Id;
  Attempt->Key = Backend->Key;
  Attempt->Channel = *Channel;
  Attempt->SentAt = steady_clock::now();
  Attempt->LastDataAt = Attempt->SentAt;
  Attempt->EventsBefore = Events.count();
  Attempt->Arm = Context.Directory.armOf(*Backend);
  if (const auto *Rollout = Context.Directory.runningRollout(Service))
    Attempt->WaitingId =
        Context.Rollouts.startWaiting(*Rollout, measuredAttempt());
  Attempt->LongWork = Request.PromptTokens > LongPromptTokens;
  Context.Directory.board().started(Chosen, Attempt->LongWork);
  Context.Directory.recordSent(Chosen);
  if (!Request.Prompt.empty())
    setWork(promptWork().Total);
  attempt_options AttemptOptions;
  AttemptOptions.Account = Account == nullptr ? "" : Account->Name;
  AttemptOptions.Instance = Backend->Record.Id;
  AttemptOptions.Model = Model;
  AttemptOptions.LastEventId =
      Events.lastId().empty() ? Request.LastEventId : Events.lastId();
  AttemptOptions.TimeLeft = timeLeft();
  AttemptOptions.FetchFrom = prefixCacheSource(*Backend);
  channel_call Call;
  Call.RequestId = Request.Id;
  Call.Method = Request.Method;
  Call.Target = Request.Target;
  Call.Headers = platform::attemptHeaders(Request, AttemptOptions);
  Call.Body = Request.Body;
  channel_events Callbacks;
  Callbacks.OnHead = [this](const answer_facts &Facts, http_head &&Head) {
    const auto Self = shared_from_this();
    handleHead(Facts, std::move(Head));
  };
  Callbacks.OnBody = [this](std::string_view Data) {
    const auto Self = shared_from_this();
    handleBody(Data);
  };
  Callbacks.OnEnd = [this](const result<void> &Result) {
    const auto Self = shared_from_this();
    handleEnd(Result);
  };
  Attempt->Channel->start(Call, std::move(Callbacks));
  startStallTimer();
  return true;
}

/// \return whether a failed attempt counts against the version of its backend
/// server. A server that crashes or stalls breaks all its connections at once;
/// counted one by one, they would look like many failures of the version.
auto forward_task::countsAgainstVersion(const failure &Failure) const -> bool {
  if (Failure.Code == errc::backend_unreachable ||
      Failure.Code == errc::incomplete_answer)
    return false;
  return Failure.Code != errc::deadline_exceeded ||
         !Context.Directory.stalled(Attempt->Backend, Attempt->LastDataAt);
}

auto forward_task::logFailedAttempt(const failure &Failure) const -> void {
  logInfo(log_category::entry, "attempt failed",
          {{"request", Request.Id},
           {"backend", Attempt->BackendId},
           {"arm", VersionArmNames.name(Attempt->Arm)},
           {"error", errcRow(Failure.Code).Name},
           {"detail", Failure.Detail},
           {"not_run", Failure.Verdict == verdict::not_run},
           {"answer_age_ms", Attempt->AnsweredAt == time_point{}
                                 ? -1
                                 : (steady_clock::now() - Attempt->AnsweredAt) /
                                       std::chrono::milliseconds(1)},
           {"streaming", StreamStarted}});
}

auto forward_task::logDroppedAnswer() const -> void {
  const auto &Facts = Attempt->Facts;
  logFailedAttempt({errc::backend_failed,
                    "status " + std::to_string(Facts.Status),
                    Facts.NotRun ? verdict::not_run : verdict::ran});
}

auto forward_task::abandonAttempt(const failure &Failure) -> void {
  logFailedAttempt(Failure);
  if (countsAgainstVersion(Failure))
    recordOutcome(true);
  releaseAttempt(false);
  Events.dropRest();
  revertToServing();
}

// A request that failed on the candidate is not sent to it again before all
// work has shifted to it.
auto forward_task::revertToServing() -> void {
  const auto *Rollout = Context.Directory.runningRollout(Service);
  if (Rollout != nullptr && !Rollout->Shifted)
    Arm = version_arm::serving;
}

auto forward_task::releaseAttempt(bool Clean) -> void {
  if (Attempt == nullptr)
    return;
  setWork(0);
  Context.Rollouts.stopWaiting(Attempt->WaitingId);
  recordPace();
  std::optional<load_report> Report;
  if (const auto &Load = Attempt->Facts.Load)
    Report = {Load->Running, Load->Waiting, 0, Load->Slots, false};
  Context.Directory.board().finished(Attempt->Backend, Attempt->LongWork,
                                     Report, steady_clock::now());
  if (Clean)
    Context.Directory.releaseChannel(Attempt->Backend,
                                     std::move(Attempt->Channel));
  else
    Attempt->Channel->cancel();
  Attempt.reset();
  StallTimer->stop();
  Paused = false;
}

} // namespace acacianotch
