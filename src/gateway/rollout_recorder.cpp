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

auto addCounts(std::vector<arm_counts> &Rows, const arm_outcome &Outcome)
    -> void {
  auto Found =
      std::find_if(Rows.begin(), Rows.end(), [&](const arm_counts &Row) {
        return Row.Arm == Outcome.Arm && Row.Route == Outcome.Route;
      });
  if (Found == Rows.end()) {
    arm_counts Row;
    Row.Arm = Outcome.Arm;
    Row.Route = Outcome.Route;
    Found = Rows.insert(Rows.end(), std::move(Row));
  }
  ++Found->Requests;
  Found->Errors += Outcome.Failed ? 1U : 0U;
  if (!Outcome.Time || Outcome.Time->count() <= 0)
    return;
  ++Found->Timed;
  Found->LogTime += std::log(static_cast<double>(Outcome.Time->count()));
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
                                   double TheShare)
    : Control(TheControl),
      Source(std::move(Node) + "/" + std::to_string(std::random_device{}())),
      SessionTime(TheSessionTime), Share(TheShare),
      Timer(Loop.repeating([this] { tick(); })) {
  Timer->start(ReportInterval);
}

auto rollout_recorder::record(const service_rollout &Rollout,
                              const arm_outcome &Outcome) -> void {
  addCounts(batchOf(Rollout).Next, Outcome);
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
  if (!selectsCanary(Rollout.To, Session, Share))
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

// An active session keeps its version until the rollout shifts all work.
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
      Arm = Known->second.Arm;
    else if (Rollout->Shifted ||
             (!Rollout->Collecting && !beganBefore(*Rollout, Session) &&
              selectsCanary(Rollout->To, Key, Share)))
      Arm = version_arm::candidate;
  }
  if (!Session.empty())
    Sessions[Session] = {Arm, Now};
  return Arm;
}

auto rollout_recorder::recordSessionRequest(const std::string &Session,
                                            version_arm Arm) -> void {
  if (!Session.empty())
    Sessions[Session] = {Arm, steady_clock::now()};
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
