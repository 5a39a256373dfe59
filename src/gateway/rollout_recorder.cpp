/// \file Evidence of one gateway on rollouts, and the versions of its sessions.
#include "gateway/rollout_recorder.h"

#include "controller/version_test.h"
#include "core/log_func.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace acacianotch {

namespace {

/// A bad version must be stopped within seconds.
constexpr duration ReportInterval = std::chrono::milliseconds(400);
constexpr duration ReportTimeout = std::chrono::seconds(2);
/// All sessions are cleared above this number.
constexpr std::size_t MaxSessions = 20'000;
/// Names of measured times, after the name of the route.
constexpr auto ResponseMeasure = "/response";
constexpr auto PaceMeasure = "/pace";
/// Multiple of the predecessor's typical response time after which an attempt
/// counts as slow before it is answered.
constexpr double OverdueFactor = 3;
/// Answers of the predecessor from which its typical time is known.
constexpr std::uint64_t MinTypicalResponses = 5;

/// \return the row of \p Attempt and \p Measure, which is empty for counts of
/// requests.
auto rowOf(std::vector<arm_counts> &Rows, const measured_attempt &Attempt,
           const char *Measure) -> arm_counts & {
  const auto Route = Attempt.Route + Measure;
  const auto Found =
      std::find_if(Rows.begin(), Rows.end(), [&](const arm_counts &Row) {
        return Row.Arm == Attempt.Arm && Row.Route == Route;
      });
  if (Found != Rows.end())
    return *Found;
  arm_counts Row;
  Row.Arm = Attempt.Arm;
  Row.Route = Route;
  return Rows.emplace_back(std::move(Row));
}

auto addTime(arm_counts &Row, duration Time) -> void {
  const auto Log =
      std::log(static_cast<double>(std::max<std::int64_t>(Time.count(), 1)));
  ++Row.Timed;
  Row.LogTime += Log;
  Row.LogTimeSquares += Log * Log;
}

auto sessionHash(const std::string &Session) -> std::uint64_t {
  return XXH3_64bits(Session.data(), Session.size());
}

/// \return whether a session began before the rollout. Requires a sorted list.
auto beganBefore(const service_rollout &Rollout, const std::string &Session)
    -> bool {
  return !Session.empty() &&
         std::binary_search(Rollout.Held.begin(), Rollout.Held.end(),
                            sessionHash(Session));
}

} // namespace

rollout_recorder::rollout_recorder(event_loop &Loop, leader_client &TheControl,
                                   std::string Node, duration TheSessionTime,
                                   double TheMaxShare)
    : Control(TheControl),
      Source(std::move(Node) + "/" + std::to_string(std::random_device{}())),
      SessionTime(TheSessionTime), MaxShare(TheMaxShare),
      Timer(Loop.repeating([this] { tick(); })) {
  Timer->start(ReportInterval);
}

auto rollout_recorder::recordEnd(const service_rollout &Rollout,
                                 const measured_attempt &Attempt, bool Failed)
    -> void {
  auto &Row = rowOf(batchOf(Rollout).Next, Attempt, "");
  ++Row.Requests;
  Row.Errors += Failed ? 1U : 0U;
}

auto rollout_recorder::recordPace(const service_rollout &Rollout,
                                  const measured_attempt &Attempt,
                                  duration Pace) -> void {
  addTime(rowOf(batchOf(Rollout).Next, Attempt, PaceMeasure), Pace);
}

auto rollout_recorder::startWaiting(const service_rollout &Rollout,
                                    measured_attempt Attempt) -> std::uint64_t {
  WaitingAttempts[++LastWaitingId] = {Rollout.Service, Rollout.To,
                                      std::move(Attempt)};
  return LastWaitingId;
}

auto rollout_recorder::recordResponse(std::uint64_t WaitingId) -> void {
  if (const auto Waiting = WaitingAttempts.extract(WaitingId))
    recordTime(Waiting.mapped(), true);
}

auto rollout_recorder::stopWaiting(std::uint64_t WaitingId) -> void {
  if (const auto Waiting = WaitingAttempts.extract(WaitingId))
    recordTime(Waiting.mapped(), false);
}

// A slow answer arrives late, or its caller gives up first. If only answers
// were measured, a slow version would be judged by its fastest ones.
auto rollout_recorder::recordTime(const waiting_attempt &Waiting, bool Answered)
    -> bool {
  const auto Found = Batches.find(Waiting.Service);
  if (Found == Batches.end() || Found->second.To != Waiting.To)
    return false;
  auto &Batch = Found->second;
  const auto &Attempt = Waiting.Attempt;
  auto &Serving = Batch.ServingResponses[Attempt.Route];
  const auto Time = steady_clock::now() - Attempt.SentAt;
  if (!Answered) {
    if (Serving.Timed < MinTypicalResponses)
      return false;
    const auto Typical =
        std::exp(Serving.LogTime / static_cast<double>(Serving.Timed));
    if (static_cast<double>(Time.count()) < OverdueFactor * Typical)
      return false;
  }
  addTime(rowOf(Batch.Next, Attempt, ResponseMeasure), Time);
  if (Attempt.Arm == version_arm::serving)
    addTime(Serving, Time);
  return true;
}

auto rollout_recorder::unreported(const std::string &Service) const
    -> std::vector<arm_counts> {
  const auto Found = Batches.find(Service);
  return Found == Batches.end() ? std::vector<arm_counts>()
                                : Found->second.Next;
}

auto rollout_recorder::failures(const std::string &Service) const
    -> std::uint64_t {
  std::uint64_t Count = 0;
  if (const auto Found = Batches.find(Service); Found != Batches.end())
    for (const auto *Rows : {&Found->second.Next, &Found->second.Sending})
      for (const auto &Row : *Rows)
        Count += Row.Errors;
  return Count;
}

auto rollout_recorder::batchOf(const service_rollout &Rollout) -> batch & {
  auto &Batch = Batches[Rollout.Service];
  if (Batch.To != Rollout.To) {
    Batch = {};
    Batch.To = Rollout.To;
  }
  return Batch;
}

auto rollout_recorder::applyView(const catalogue_view &View) -> void {
  const auto Now = steady_clock::now();
  for (const auto &[Service, Rollout] : View.serviceRollouts())
    if (Rollout.State == rollout_state::running && Rollout.Collecting)
      for (const auto &[Session, Row] : Sessions)
        if (Now - Row.LastAt <= SessionTime)
          reportSession(Rollout, Session);
}

// Requests of a session reach several gateways. The other gateways that would
// move it to the candidate have to know that it began before the rollout.
auto rollout_recorder::reportSession(const service_rollout &Rollout,
                                     const std::string &Session) -> void {
  if (!selectsCanary(Rollout.To, Session, MaxShare))
    return;
  auto &Batch = batchOf(Rollout);
  const auto Hash = sessionHash(Session);
  if (Batch.Reported.insert(Hash).second)
    Batch.NextSessions.push_back(Hash);
}

auto rollout_recorder::recordListed(const service_rollout &Rollout) -> void {
  auto &Batch = batchOf(Rollout);
  Batch.ListedUnreported = Batch.ListedUnreported || !Batch.CandidateListed;
  Batch.CandidateListed = true;
}

// An active session keeps its version until the rollout shifts all work. What
// was the new version of another rollout serves now, or was rolled back.
auto rollout_recorder::chooseArm(const service_rollout *Rollout,
                                 const std::string &Session,
                                 const std::string &RequestId,
                                 bool CandidateListed) -> version_arm {
  const auto Now = steady_clock::now();
  auto Arm = version_arm::serving;
  const auto Known = Session.empty() ? Sessions.end() : Sessions.find(Session);
  const auto SessionActive =
      Known != Sessions.end() && Now - Known->second.LastAt <= SessionTime;
  if (Rollout != nullptr) {
    const auto &Key = Session.empty() ? RequestId : Session;
    if (Rollout->Collecting && !Session.empty())
      reportSession(*Rollout, Session);
    if (Rollout->Collecting && CandidateListed)
      recordListed(*Rollout);
    if (!CandidateListed)
      Arm = version_arm::serving;
    else if (SessionActive && !Rollout->Shifted)
      Arm = Known->second.To == Rollout->To ? Known->second.Arm
                                            : version_arm::serving;
    else if (Rollout->Shifted ||
             (!Rollout->Collecting && !beganBefore(*Rollout, Session) &&
              selectsCanary(Rollout->To, Key, Rollout->Load.Share)))
      Arm = version_arm::candidate;
  }
  if (!Session.empty())
    Sessions[Session] = {Arm, Now, Rollout == nullptr ? "" : Rollout->To};
  return Arm;
}

auto rollout_recorder::recordSessionRequest(const std::string &Session,
                                            version_arm Arm,
                                            const std::string &To) -> void {
  if (!Session.empty())
    Sessions[Session] = {Arm, steady_clock::now(), To};
}

auto rollout_recorder::tick() -> void {
  const auto Now = steady_clock::now();
  std::erase_if(Sessions, [&](const auto &Row) {
    return Now - Row.second.LastAt > SessionTime;
  });
  if (Sessions.size() > MaxSessions) {
    logWarning(log_category::version,
               "too many sessions; cleared the versions of all of them",
               {{"sessions", Sessions.size()}});
    Sessions.clear();
  }
  std::erase_if(WaitingAttempts,
                [&](const auto &Row) { return recordTime(Row.second, false); });
  for (auto &[Service, Batch] : Batches) {
    if (Batch.SendInProgress)
      continue;
    if (Batch.Sending.empty() && Batch.SendingSessions.empty()) {
      Batch.Sending = std::exchange(Batch.Next, {});
      Batch.SendingSessions = std::exchange(Batch.NextSessions, {});
      ++Batch.Sequence;
    }
    if (!Batch.Sending.empty() || !Batch.SendingSessions.empty() ||
        Batch.ListedUnreported)
      send(Service, Batch);
  }
}

auto rollout_recorder::send(const std::string &Service, batch &Batch) -> void {
  Batch.SendInProgress = true;
  command Command;
  Command.Issuer = Source;
  Command.Body = report_service_evidence{Service,
                                         Batch.To,
                                         Source,
                                         Batch.Sequence,
                                         Batch.Sending,
                                         Batch.SendingSessions,
                                         Batch.CandidateListed};
  Control.execute(Command, ReportTimeout)
      .then([this, Service,
             Guard = std::weak_ptr<bool>(Alive)](const command_result &Result) {
        if (!Guard.lock())
          return;
        auto &SentBatch = Batches[Service];
        SentBatch.SendInProgress = false;
        // A rollout that has ended accepts no evidence.
        if (Result.ok() || Result.Code == errc::unknown_entry) {
          SentBatch.Sending.clear();
          SentBatch.SendingSessions.clear();
          SentBatch.ListedUnreported = false;
        }
      })
      .detach([this, Service,
               Guard = std::weak_ptr<bool>(Alive)](kj::Exception &&Exception) {
        logWarning(log_category::version, "reporting rollout evidence failed",
                   {{"error", Exception.getDescription().cStr()}});
        if (Guard.lock())
          Batches[Service].SendInProgress = false;
      });
}

} // namespace acacianotch
