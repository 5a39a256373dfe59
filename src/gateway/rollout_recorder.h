/// \file Evidence of one gateway on rollouts, and the versions of its sessions.
#pragma once

#include "catalogue/catalogue_view.h"
#include "catalogue/routing_type.h"
#include "core/clock_type.h"
#include "net/event_loop.h"
#include "node/leader_client.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace acacianotch {

/// Attempt that is measured during a rollout.
struct measured_attempt {
  version_arm Arm = version_arm::invalid;
  std::string Route;
  time_point SentAt{};
};

/// Counts outcomes during the rollout of a service and reports them to control.
class rollout_recorder {
public:
  /// A rollout gives at most \p MaxShare of new sessions to its candidate
  /// before the shift.
  rollout_recorder(event_loop &Loop, leader_client &Control, std::string Node,
                   duration SessionTime, double MaxShare);

  /// Reports the active sessions that a rollout in \p View would move.
  auto applyView(const catalogue_view &View) -> void;

  /// Records the end of an attempt during \p Rollout, which is running.
  auto recordEnd(const service_rollout &Rollout,
                 const measured_attempt &Attempt, bool Failed) -> void;

  /// Records the mean time between two events of a stream.
  auto recordPace(const service_rollout &Rollout,
                  const measured_attempt &Attempt, duration Pace) -> void;

  /// Measures the time until an attempt of \p Rollout is answered. One that
  /// waits much longer than the predecessor takes is recorded while it waits.
  /// \return an id for recordResponse() and stopWaiting().
  [[nodiscard]] auto startWaiting(const service_rollout &Rollout,
                                  measured_attempt Attempt) -> std::uint64_t;

  /// Records that an attempt is answered; without effect if it is not measured.
  auto recordResponse(std::uint64_t WaitingId) -> void;

  /// Ends the measurement of an attempt that is not answered.
  auto stopWaiting(std::uint64_t WaitingId) -> void;

  /// \return the counts of a service's rollout that no report contains yet.
  [[nodiscard]] auto unreported(const std::string &Service) const
      -> std::vector<arm_counts>;

  /// \return the arm of a request: that of its active session, or one derived
  /// from a hash of its session or its id.
  /// \p CandidateListed is whether servers of the candidate are listed.
  [[nodiscard]] auto chooseArm(const service_rollout *Rollout,
                               const std::string &Session,
                               const std::string &RequestId,
                               bool CandidateListed = true) -> version_arm;

  /// Records that a request of a session has ended on \p Arm of the rollout to
  /// \p To, which is empty without one. The session time is counted from the
  /// end of its last request.
  auto recordSessionRequest(const std::string &Session, version_arm Arm,
                            const std::string &To) -> void;

  /// \return the number of failed attempts of a service that are not reported
  /// yet.
  [[nodiscard]] auto failures(const std::string &Service) const
      -> std::uint64_t;

private:
  struct batch {
    std::string To;
    std::uint64_t Sequence = 0;
    std::vector<arm_counts> Sending; ///< Sent again unchanged until confirmed.
    std::vector<arm_counts> Next;
    /// Response times of the predecessor by route, since the rollout began.
    std::map<std::string, arm_counts> ServingResponses;
    std::vector<std::uint64_t> SendingSessions;
    std::vector<std::uint64_t> NextSessions;
    std::set<std::uint64_t> Reported; ///< Sessions in any report so far.
    bool CandidateListed = false;     ///< Servers of the candidate are listed.
    bool ListedUnreported = false;    ///< Not confirmed by control.
    bool SendInProgress = false;
  };
  struct session_state {
    version_arm Arm = version_arm::serving;
    time_point LastAt{};
    std::string To; ///< New version of the rollout that Arm belongs to.
  };

  struct waiting_attempt {
    std::string Service;
    std::string To;
    measured_attempt Attempt;
  };

  auto tick() -> void;
  /// Records the response time of an attempt that is answered, or that would
  /// be slow if it were answered now. \return whether it was recorded.
  auto recordTime(const waiting_attempt &Waiting, bool Answered) -> bool;
  auto reportSession(const service_rollout &Rollout, const std::string &Session)
      -> void;
  auto recordListed(const service_rollout &Rollout) -> void;
  auto batchOf(const service_rollout &Rollout) -> batch &;
  auto send(const std::string &Service, batch &Batch) -> void;

  leader_client &Control;
  std::string Source;
  duration SessionTime;
  double MaxShare;
  std::map<std::string, batch> Batches; ///< By service.
  std::map<std::uint64_t, waiting_attempt> WaitingAttempts;
  std::uint64_t LastWaitingId = 0;
  std::unordered_map<std::string, session_state> Sessions;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  std::unique_ptr<loop_timer> Timer;
};

} // namespace acacianotch
