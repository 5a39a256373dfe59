/// \file Evidence of one gateway on rollouts, and sessions' versions.
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

/// What a gateway saw of one request on one arm.
struct arm_outcome {
  version_arm Arm = version_arm::invalid;
  std::string Route;
  bool Failed = false;
  std::optional<duration> Time; ///< Of an answer, or of each of its events.
};

/// Counts outcomes while a service's rollout runs and reports them to control.
class rollout_recorder {
public:
  /// \p Share of new sessions goes to a new version before the shift.
  rollout_recorder(event_loop &Loop, leader_client &Control, std::string Node,
                   duration SessionTime, double Share);

  /// Reports the sessions under way that a rollout in \p View would move.
  auto follow(const catalogue_view &View) -> void;

  /// Counts an outcome of the service's running rollout.
  auto record(const service_rollout &Rollout, const arm_outcome &Outcome)
      -> void;

  /// \return the arm that a request uses: its session's, or a stable choice;
  /// \p Listed tells whether servers of the new version are known.
  [[nodiscard]] auto arm(const service_rollout *Rollout,
                         const std::string &Session,
                         const std::string &RequestId, bool Listed = true)
      -> version_arm;

  /// Notes that a request of the session has ended on \p Arm; the session lasts
  /// from here.
  auto ended(const std::string &Session, version_arm Arm) -> void;

  /// \return failed attempts of a service that wait to be reported.
  [[nodiscard]] auto failures(const std::string &Service) const
      -> std::uint64_t;

private:
  struct batch {
    std::string To;
    std::uint64_t Sequence = 0;
    std::vector<arm_counts> Sending; ///< Not confirmed; sent again unchanged.
    std::vector<arm_counts> Next;
    std::vector<std::uint64_t> SendingSessions;
    std::vector<std::uint64_t> NextSessions;
    std::set<std::uint64_t> Reported; ///< Sessions reported or about to be.
    bool Listed = false;    ///< Servers of the new version are known here.
    bool ListedDue = false; ///< Control does not know that yet.
    bool Busy = false;
  };
  struct seen_session {
    version_arm Arm = version_arm::serving;
    time_point LastAt{};
  };

  auto tick() -> void;
  auto report(const service_rollout &Rollout, const std::string &Session)
      -> void;
  auto noteListed(const service_rollout &Rollout) -> void;
  auto batchOf(const service_rollout &Rollout) -> batch &;
  auto send(const std::string &Service, batch &Batch) -> void;

  leader_client &Control;
  std::string Source;
  duration SessionTime;
  double Share;
  std::map<std::string, batch> Batches; ///< By service.
  std::unordered_map<std::string, seen_session> Sessions;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  std::unique_ptr<loop_timer> Timer;
};

} // namespace acacianotch
