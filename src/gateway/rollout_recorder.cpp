/// \file Evidence of one gateway on rollouts, and sessions' versions.
#include "gateway/rollout_recorder.h"

#include "controller/version_test.h"
#include "core/log_func.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace acacianotch {

namespace {

/// A bad version must be stopped within seconds, so reports come often.
constexpr duration ReportInterval = std::chrono::milliseconds(400);
constexpr duration ReportLimit = std::chrono::seconds(2);
/// Sessions remembered at most; the oldest ones go first.
constexpr std::size_t MaxSessions = 20'000;

auto addCounts(std::vector<arm_counts> &Rows, const arm_outcome &Outcome)
    -> void {
  auto Place =
      std::find_if(Rows.begin(), Rows.end(), [&](const arm_counts &Row) {
        return Row.Arm == Outcome.Arm && Row.Route == Outcome.Route;
      });
  if (Place == Rows.end()) {
    arm_counts Row;
    Row.Arm = Outcome.Arm;
    Row.Route = Outcome.Route;
    Place = Rows.insert(Rows.end(), std::move(Row));
  }
  ++Place->Requests;
  Place->Errors += Outcome.Failed ? 1U : 0U;
  if (!Outcome.Time || Outcome.Time->count() <= 0)
    return;
  ++Place->Timed;
  Place->LogTime += std::log(static_cast<double>(Outcome.Time->count()));
}

auto sessionHash(const std::string &Session) -> std::uint64_t {
  return XXH3_64bits(Session.data(), Session.size());
}

/// \return whether a session began before the rollout. The list is sorted.
auto held(const service_rollout &Rollout, const std::string &Session) -> bool {
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
  std::uint64_t Sum = 0;
  if (const auto Place = Batches.find(Service); Place != Batches.end())
    for (const auto *Rows : {&Place->second.Next, &Place->second.Sending})
      for (const auto &Row : *Rows)
        Sum += Row.Errors;
  return Sum;
}

auto rollout_recorder::batchOf(const service_rollout &Rollout) -> batch & {
  auto &Batch = Batches[Rollout.Service];
  if (Batch.To != Rollout.To) {
    Batch = {};
    Batch.To = Rollout.To;
  }
  return Batch;
}

auto rollout_recorder::follow(const catalogue_view &View) -> void {
  const auto Now = steady_clock::now();
  for (const auto &[Service, Rollout] : View.serviceRollouts())
    if (Rollout.State == rollout_state::running && Rollout.Collecting)
      for (const auto &[Session, Row] : Sessions)
        if (Now - Row.LastAt <= SessionTime)
          report(Rollout, Session);
}

// Requests of a session reach several gateways, so those that would move it to
// the new version must know that it began before.
auto rollout_recorder::report(const service_rollout &Rollout,
                              const std::string &Session) -> void {
  if (!selectsCanary(Rollout.To, Session, Share))
    return;
  auto &Batch = batchOf(Rollout);
  const auto Hash = sessionHash(Session);
  if (Batch.Reported.insert(Hash).second)
    Batch.NextSessions.push_back(Hash);
}

auto rollout_recorder::noteListed(const service_rollout &Rollout) -> void {
  auto &Batch = batchOf(Rollout);
  Batch.ListedDue = Batch.ListedDue || !Batch.Listed;
  Batch.Listed = true;
}

// A session that is under way keeps its version until all work shifts.
auto rollout_recorder::arm(const service_rollout *Rollout,
                           const std::string &Session,
                           const std::string &RequestId, bool Listed)
    -> version_arm {
  const auto Now = steady_clock::now();
  auto Arm = version_arm::serving;
  const auto Known = Session.empty() ? Sessions.end() : Sessions.find(Session);
  const auto UnderWay =
      Known != Sessions.end() && Now - Known->second.LastAt <= SessionTime;
  if (Rollout != nullptr) {
    const auto &Key = Session.empty() ? RequestId : Session;
    if (Rollout->Collecting && !Session.empty())
      report(*Rollout, Session);
    if (Rollout->Collecting && Listed)
      noteListed(*Rollout);
    if (!Listed)
      Arm = version_arm::serving;
    else if (UnderWay && !Rollout->Shifted)
      Arm = Known->second.Arm;
    else if (Rollout->Shifted ||
             (!Rollout->Collecting && !held(*Rollout, Session) &&
              selectsCanary(Rollout->To, Key, Share)))
      Arm = version_arm::candidate;
  }
  if (!Session.empty())
    Sessions[Session] = {Arm, Now};
  return Arm;
}

auto rollout_recorder::ended(const std::string &Session, version_arm Arm)
    -> void {
  if (!Session.empty())
    Sessions[Session] = {Arm, steady_clock::now()};
}

auto rollout_recorder::tick() -> void {
  const auto Now = steady_clock::now();
  std::erase_if(Sessions, [&](const auto &Row) {
    return Now - Row.second.LastAt > SessionTime;
  });
  if (Sessions.size() > MaxSessions) {
    logWarning(log_category::version, "forgot the versions of all sessions",
               {{"sessions", Sessions.size()}});
    Sessions.clear();
  }
  for (auto &[Service, Batch] : Batches) {
    if (Batch.Busy)
      continue;
    if (Batch.Sending.empty() && Batch.SendingSessions.empty()) {
      Batch.Sending = std::exchange(Batch.Next, {});
      Batch.SendingSessions = std::exchange(Batch.NextSessions, {});
      ++Batch.Sequence;
    }
    if (!Batch.Sending.empty() || !Batch.SendingSessions.empty() ||
        Batch.ListedDue)
      send(Service, Batch);
  }
}

auto rollout_recorder::send(const std::string &Service, batch &Batch) -> void {
  Batch.Busy = true;
  command Command;
  Command.Issuer = Source;
  Command.Body = report_service_evidence{Service,       Batch.To,
                                         Source,        Batch.Sequence,
                                         Batch.Sending, Batch.SendingSessions,
                                         Batch.Listed};
  Control.execute(Command, ReportLimit)
      .then([this, Service,
             Guard = std::weak_ptr<bool>(Alive)](const command_result &Result) {
        if (!Guard.lock())
          return;
        auto &Sent = Batches[Service];
        Sent.Busy = false;
        // A rollout that has ended takes no evidence any more.
        if (Result.ok() || Result.Code == errc::unknown_entry) {
          Sent.Sending.clear();
          Sent.SendingSessions.clear();
          Sent.ListedDue = false;
        }
      })
      .detach([this, Service,
               Guard = std::weak_ptr<bool>(Alive)](kj::Exception &&Exception) {
        logWarning(log_category::version, "a report of evidence failed",
                   {{"error", Exception.getDescription().cStr()}});
        if (Guard.lock())
          Batches[Service].Busy = false;
      });
}

} // namespace acacianotch
