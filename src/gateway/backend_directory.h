/// \file The backend servers known to a gateway, in pools by service and arm.
#pragma once

#include "board/backend_board.h"
#include "board/work_board.h"
#include "catalogue/catalogue_view.h"
#include "controller/cold_limiter.h"
#include "controller/model_evidence.h"
#include "controller/placement.h"
#include "controller/server_intake.h"
#include "core/random_type.h"
#include "gateway/backend_channel.h"
#include "routing/backend_type.h"
#include "routing/routing_type.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace acacianotch {

/// The backend servers of one service and version arm, with their placement.
struct backend_pool {
  backend_pool(const steady_clock &Clock, seeded_random &Random,
               backend_board &Board, const node_id &Node, const zone_id &Zone,
               const placement_settings &Settings)
      : Placement(Clock, Random, Board, Node, Zone, Settings) {}

  placement<steady_clock, seeded_random> Placement;
  std::vector<backend_handle> Members;
};

/// One listed backend server, its connections and failures.
struct known_backend {
  [[nodiscard]] auto instance() const -> server_instance {
    return {Record.Id, Record.StartedMs};
  }

  backend_record Record;
  backend_handle Handle;
  server_key Key = 0;
  std::vector<std::shared_ptr<backend_channel>> IdleChannels;
  /// Recently opened connections, which may still be connecting.
  std::vector<std::weak_ptr<backend_channel>> NewChannels;
  time_point SuspendedUntil{}; ///< End of the last suspension.
  bool Suspended = false;
  bool IntakeClosed = false; ///< Ejected on its own statement.
  bool Displaced = false;    ///< Suspended because it seems to be replaced.
  bool Cold = false;         ///< As last logged.
  model_evidence Models;
  time_point LastByteAt{};       ///< When the last answer data arrived.
  std::uint32_t Failures = 0;    ///< Consecutive.
  std::uint32_t Suspensions = 0; ///< Consecutive.
};

/// Numbers of the listed backend servers of one service by their intake.
struct intake_counts {
  std::size_t Open = 0;
  std::size_t Leaving = 0;
  std::size_t Paused = 0;
  std::size_t Resuming = 0;
};

/// A backend server as needed by the work exchange between gateways.
struct used_server {
  server_key Key = 0;
  bool Suspended = false;
};

/// Applies the platform's list and the rollouts, with one pool for each service
/// and arm. Owns idle connections.
class backend_directory {
public:
  backend_directory(event_loop &Loop, node_id Node, zone_id Zone,
                    std::uint64_t Seed);

  /// Applies a new list; backend servers missing from it are removed.
  auto applyList(std::vector<backend_record> Listed) -> void;

  /// Applies the rollouts and evacuations in \p View. Before the shift a
  /// candidate's pool has the planned number of servers. Backend servers in an
  /// evacuated zone are in no pool.
  auto applyCatalogue(const catalogue_view &View) -> void;

  /// \return whether backend servers of \p Service are listed, and all of
  /// those that do not leave are in evacuated zones.
  [[nodiscard]] auto evacuatedWholly(const std::string &Service) const -> bool;

  /// \return whether the backend servers of \p Zone get no new work.
  [[nodiscard]] auto evacuated(const std::string &Zone) const -> bool {
    return EvacuatedZones.contains(Zone);
  }

  /// \return the number of evacuated availability zones.
  [[nodiscard]] auto evacuatedCount() const -> std::size_t {
    return EvacuatedZones.size();
  }

  /// \return whether a list has been applied.
  [[nodiscard]] auto hasList() const -> bool { return HasList; }

  /// \return the pool of \p Service for \p Arm; null without members.
  [[nodiscard]] auto pool(const std::string &Service, version_arm Arm)
      -> backend_pool *;

  /// \return the running rollout of a service, or null.
  [[nodiscard]] auto runningRollout(const std::string &Service) const
      -> const service_rollout *;

  /// \return the arm that a backend server belongs to.
  [[nodiscard]] auto armOf(const known_backend &Backend) const -> version_arm;

  [[nodiscard]] auto find(backend_handle Handle) -> known_backend *;

  /// \return an idle or a new connection; `backend_unreachable` on failure.
  [[nodiscard]] auto acquireChannel(known_backend &Backend)
      -> result<std::shared_ptr<backend_channel>>;

  /// Returns a connection for reuse, or closes it.
  auto releaseChannel(backend_handle Handle,
                      std::shared_ptr<backend_channel> Channel) -> void;

  /// Records what the head of an answer states about new work.
  auto recordStatements(backend_handle Handle, const answer_facts &Facts)
      -> void;

  /// Records that a backend server leaves: it gets no new work until it starts
  /// again, whatever the list says.
  auto recordLeaving(backend_handle Handle) -> void;

  /// Records that a request was sent to a backend server.
  auto recordSent(backend_handle Handle) -> void;

  /// \return the time until the first backend server of a service takes work
  /// again, if all of them have asked for a pause.
  [[nodiscard]] auto pauseLeft(const std::string &Service) const
      -> std::optional<duration>;

  /// \return the number of backend servers in each state of intake, of one
  /// service or, if it is empty, of all.
  [[nodiscard]] auto intakeCounts(std::string_view Service) const
      -> intake_counts;

  [[nodiscard]] auto intake() const -> const server_intake & { return Intake; }

  /// Sends no new work to a backend server for a time that grows exponentially
  /// with consecutive suspensions.
  auto suspend(backend_handle Handle) -> void;

  /// Records that a backend server rejected a request for \p Model as
  /// misdirected. \p MayLackModel: see model_evidence. \return what it shows.
  auto recordMisdirected(backend_handle Handle, const std::string &Model,
                         bool MayLackModel) -> misdirection;

  /// Records that a backend server runs a request for \p Model.
  auto recordAccepted(backend_handle Handle, const std::string &Model) -> void;

  /// \return the members of a pool that do not run \p Model at present.
  [[nodiscard]] auto membersWithoutModel(const backend_pool &Pool,
                                         const std::string &Model) const
      -> std::vector<backend_handle>;

  /// \return whether some backend server of \p Service may run \p Model.
  [[nodiscard]] auto mayRunModel(const std::string &Service,
                                 const std::string &Model) const -> bool;

  /// \return whether a backend server of \p Service has run \p Model.
  [[nodiscard]] auto hasRunModel(const std::string &Service,
                                 const std::string &Model) const -> bool;

  /// Records that a part of an answer arrived.
  auto recordProgress(backend_handle Handle) -> void;

  /// \return whether a backend server has sent nothing for longer than a
  /// working one does, counted from \p Since at the earliest.
  [[nodiscard]] auto stalled(backend_handle Handle, time_point Since) -> bool;

  /// Records an attempt without a complete answer. Several consecutive ones
  /// suspend the backend server.
  auto recordFailure(backend_handle Handle) -> void;

  /// Records an answer without end, which suspends the backend server.
  auto recordExcessiveAnswer(backend_handle Handle) -> void;

  /// Records a complete answer; resets the counts of failures and suspensions.
  auto recordSuccess(backend_handle Handle) -> void;

  /// Ends elapsed suspensions and closes connections idle for too long.
  auto tick() -> void;

  /// \return the number of listed backend servers of a service.
  [[nodiscard]] auto serverCount(const std::string &Service) const -> double;

  /// \return the backend servers in the subsets of all pools, to which this
  /// gateway sends work.
  [[nodiscard]] auto usedServers() const -> std::vector<used_server>;

  /// \return the number of suspended backend servers.
  [[nodiscard]] auto suspendedCount() const -> std::size_t;

  /// Sets what cold servers of each service take. \p Overage and \p Slack:
  /// see the settings gateway.cold_overage and gateway.cold_slack.
  auto setColdLimits(const routing_table &Table, double Overage, double Slack)
      -> void;

  /// Records that the list was read at \p ReadAt.
  auto recordListRead(time_point ReadAt) -> void;

  /// Records that a request for \p Service is to be placed.
  auto recordDemand(const std::string &Service) -> void;

  /// Records that a backend server may have started anew at \p From.
  auto recordPossibleStart(const known_backend &Backend, time_point From)
      -> void;

  /// \return the members of a pool that are cold and get no request now.
  [[nodiscard]] auto membersAtColdLimit(const backend_pool &Pool) const
      -> std::vector<backend_handle>;

  /// \return the number of listed backend servers that are cold.
  [[nodiscard]] auto coldCount() const -> std::size_t;

  [[nodiscard]] auto coldLimiter() -> cold_limiter & { return Cold; }
  [[nodiscard]] auto coldLimiter() const -> const cold_limiter & {
    return Cold;
  }

  [[nodiscard]] auto board() -> backend_board & { return Board; }
  [[nodiscard]] auto board() const -> const backend_board & { return Board; }
  [[nodiscard]] auto random() -> seeded_random & { return Random; }
  [[nodiscard]] auto backends() const
      -> const std::map<std::string, std::unique_ptr<known_backend>> & {
    return Backends;
  }

private:
  /// What a cold server of one service takes.
  struct cold_rule {
    std::uint32_t Limit =
        0;            ///< Requests a second over all gateways, 1 at least.
    duration Start{}; ///< For which it is cold after its start.
  };

  auto applyEvacuations(const catalogue_view &View) -> void;
  auto closeUnusedChannels(const std::string &Zone) -> void;
  auto markZoneCold(const std::string &Zone) -> void;
  auto applyColdRule(const known_backend &Backend) -> void;
  auto logCold(known_backend &Backend, time_point Now) -> void;
  auto remove(known_backend &Backend) -> void;
  auto markLeaving(known_backend &Backend) -> void;
  auto suspendDisplaced(known_backend &Backend) -> void;
  auto endSuspension(known_backend &Backend) -> void;
  [[nodiscard]] auto membersOf(const std::string &Service) const
      -> std::vector<const known_backend *>;
  auto updateIntake(known_backend &Backend) -> void;
  auto closeUnusedChannels(known_backend &Backend) -> void;
  auto rebuildPools() -> void;
  auto limitCandidates(std::vector<backend_handle> &Members,
                       std::size_t Limit) const -> void;
  [[nodiscard]] static auto armKey(const std::string &Service, version_arm Arm)
      -> std::string;
  /// \return the services with servers that stay and run the version which
  /// serves by their rollouts.
  [[nodiscard]] auto servicesRunningFrom() const -> std::set<std::string>;
  [[nodiscard]] auto poolKey(const backend_record &Record, bool FromRuns) const
      -> std::string;

  event_loop &Loop;
  node_id Node;
  zone_id Zone;
  steady_clock Clock;
  seeded_random Random;
  backend_board Board;
  server_intake Intake;
  std::map<std::string, std::unique_ptr<known_backend>> Backends; ///< By id.
  std::map<backend_handle, known_backend *> ByHandle;
  std::map<std::string, std::unique_ptr<backend_pool>> Pools;
  std::map<std::string, service_rollout> Rollouts;
  std::set<std::string> EvacuatedZones;
  std::map<std::string, zone_evacuation> Evacuations; ///< By zone; also ended.
  cold_limiter Cold;
  std::map<std::string, cold_rule> ColdRules; ///< By service; limited ones.
  bool HasList = false;
  time_point ModelsMissingUntil{}; ///< Nothing is missing after this time.
};

} // namespace acacianotch
