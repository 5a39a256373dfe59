/// \file The backend servers that a gateway knows, in pools by service.
#pragma once

#include "board/backend_board.h"
#include "board/work_board.h"
#include "catalogue/catalogue_view.h"
#include "controller/placement.h"
#include "core/random_type.h"
#include "gateway/backend_channel.h"
#include "routing/backend_type.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace acacianotch {

/// Controllers of the backend servers that share one kind of work.
struct backend_pool {
  backend_pool(const steady_clock &Clock, seeded_random &Random,
               backend_board &Board, const node_id &Node, const zone_id &Zone,
               const placement_settings &Settings)
      : Placement(Clock, Random, Board, Node, Zone, Settings) {}

  placement<steady_clock, seeded_random> Placement;
  std::vector<backend_handle> Members;
};

/// One backend server and its connections.
struct known_backend {
  backend_record Record;
  backend_handle Handle;
  server_key Key = 0;
  std::vector<std::shared_ptr<backend_channel>> Idle;
  time_point SuspendedUntil{}; ///< After a failed connection.
  bool Suspended = false;
  time_point LastByteAt{};       ///< When anything came from it.
  std::uint32_t Failures = 0;    ///< In a row.
  std::uint32_t Suspensions = 0; ///< In a row.
};

/// What the exchange of work needs of a backend server.
struct used_server {
  server_key Key = 0;
  bool Suspended = false;
};

/// Follows the platform's list and the rollouts with one pool for each service
/// and arm, and keeps idle connections.
class backend_directory {
public:
  backend_directory(event_loop &Loop, node_id Node, zone_id Zone,
                    std::uint64_t Seed);

  /// Takes a new list; backend servers that it lacks get no new work.
  auto follow(std::vector<backend_record> Listed) -> void;

  /// Takes the rollouts in \p View.
  auto followRollouts(const catalogue_view &View) -> void;

  /// \return whether a list has been taken.
  [[nodiscard]] auto known() const -> bool { return Known; }

  /// \return the pool of \p Service for \p Arm; null without members.
  [[nodiscard]] auto pool(const std::string &Service, version_arm Arm)
      -> backend_pool *;

  /// \return the rollout of a service that is running, or null.
  [[nodiscard]] auto runningRollout(const std::string &Service) const
      -> const service_rollout *;

  /// \return the arm that a backend server belongs to.
  [[nodiscard]] auto armOf(const known_backend &Backend) const -> version_arm;

  [[nodiscard]] auto find(backend_handle Handle) -> known_backend *;

  /// \return an idle or a new connection; `backend_unreachable` if refused.
  [[nodiscard]] auto channel(known_backend &Backend)
      -> result<std::shared_ptr<backend_channel>>;

  /// Keeps a connection for the next request.
  auto keep(backend_handle Handle, std::shared_ptr<backend_channel> Channel)
      -> void;

  /// Sends no new work to a backend server for a moment, which grows with each
  /// time in a row.
  auto suspend(backend_handle Handle) -> void;

  /// Sends no new work to a backend server that another one has replaced at its
  /// address; the list will say so later.
  auto noteGone(backend_handle Handle) -> void;

  /// Notes that a part of an answer came.
  auto noteProgress(backend_handle Handle) -> void;

  /// \return whether nothing has come from a backend server for too long to be
  /// at work; \p Since is when the attempt that asks was sent.
  [[nodiscard]] auto dark(backend_handle Handle, time_point Since) -> bool;

  /// Counts an attempt that got no whole answer; several in a row suspend.
  auto noteFailure(backend_handle Handle) -> void;

  /// Ends a row of failures.
  auto noteSuccess(backend_handle Handle) -> void;

  /// Ends suspensions that are over and drops connections idle for too long.
  auto tick() -> void;

  /// \return the backend servers of a service that are listed.
  [[nodiscard]] auto servers(const std::string &Service) const -> double;

  /// \return the backend servers of all pools that this gateway sends work to.
  [[nodiscard]] auto usedServers() const -> std::vector<used_server>;

  /// \return backend servers that get no new work after failures.
  [[nodiscard]] auto suspended() const -> std::size_t;

  [[nodiscard]] auto board() -> backend_board & { return Board; }
  [[nodiscard]] auto random() -> seeded_random & { return Random; }
  [[nodiscard]] auto backends() const
      -> const std::map<std::string, std::unique_ptr<known_backend>> & {
    return Backends;
  }

private:
  auto remove(known_backend &Backend) -> void;
  auto rebuildPools() -> void;
  [[nodiscard]] auto poolKey(const backend_record &Record) const -> std::string;

  event_loop &Loop;
  node_id Node;
  zone_id Zone;
  steady_clock Clock;
  seeded_random Random;
  backend_board Board;
  std::map<std::string, std::unique_ptr<known_backend>> Backends; ///< By id.
  std::map<backend_handle, known_backend *> ByHandle;
  std::map<std::string, std::unique_ptr<backend_pool>> Pools;
  std::map<std::string, service_rollout> Rollouts;
  bool Known = false;
};

} // namespace acacianotch
