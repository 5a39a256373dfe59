/// \file Pools of an entry: the controllers of each version and each service.
#pragma once

#include "board/account_board.h"
#include "board/backend_board.h"
#include "catalogue/catalogue_view.h"
#include "controller/admission.h"
#include "controller/hedging.h"
#include "controller/outlier.h"
#include "controller/placement.h"
#include "controller/traffic_budget.h"
#include "core/address_type.h"
#include "core/random_type.h"
#include "entry/dispatch_request.h"

#include <map>
#include <memory>
#include <string>

namespace acacianotch {

/// Settings of all pools of one entry.
struct pool_settings {
  placement_settings Placement;
  admission_settings Admission;
  hedging_settings Hedging;
  outlier_settings Outlier;
  double RetryShare = 0.1; ///< Maximum retries per first attempt.
};

/// Controllers of the backend servers that serve one version or one service.
struct pool {
  pool(const steady_clock &Clock, seeded_random &Random,
       backend_board &Backends, account_board &Accounts, const node_id &Entry,
       const zone_id &Zone, const pool_settings &Settings)
      : Placement(Clock, Random, Backends, Entry, Zone, Settings.Placement),
        Admission(Random, Accounts, Settings.Admission),
        Hedging(Settings.Hedging), Outlier(Clock, Backends, Settings.Outlier),
        Retries(Settings.RetryShare) {}

  placement<steady_clock, seeded_random> Placement;
  admission<seeded_random> Admission;
  hedging Hedging;
  outlier_detector<steady_clock> Outlier;
  traffic_budget Retries;
  std::vector<backend_handle> Members;
  /// Request that is copied to probe ejected backend servers; set only while
  /// the pool has any.
  std::optional<dispatch_request> ProbeRequest;
};

/// Maintains the boards and one pool per version and service according to the
/// catalogue.
class pool_set {
public:
  pool_set(node_id Entry, zone_id Zone, std::uint64_t Seed,
           pool_settings Settings);

  /// Updates the boards and pools to the state of \p View.
  auto applyCatalogue(const catalogue_view &View) -> void;

  /// \return the pool, or nullptr if no backend server has served it.
  [[nodiscard]] auto find(const version_ref &Version) -> pool *;
  [[nodiscard]] auto find(const std::string &Service) -> pool *;

  /// Runs the periodic tasks of the controllers.
  auto tick() -> void;

  /// \return the agent address of a backend server, or nullptr.
  [[nodiscard]] auto agentAddress(backend_handle Handle) const
      -> const address *;

  [[nodiscard]] auto backends() -> backend_board & { return Backends; }
  [[nodiscard]] auto accounts() -> account_board & { return Accounts; }
  [[nodiscard]] auto random() -> seeded_random & { return Random; }

  /// \return all pools by name, for dumps.
  [[nodiscard]] auto pools() const
      -> const std::map<std::string, std::unique_ptr<pool>> & {
    return Pools;
  }

private:
  using member_lists = std::map<std::string, std::vector<backend_handle>>;

  auto updateBackends(const catalogue_view &View) -> member_lists;
  auto updateAccounts(const catalogue_view &View) -> void;
  auto updatePools(member_lists Lists) -> void;

  node_id Entry;
  zone_id Zone;
  pool_settings Settings;
  steady_clock Clock;
  seeded_random Random;
  backend_board Backends;
  account_board Accounts;
  std::map<std::string, std::unique_ptr<pool>> Pools;
  std::map<backend_id, backend_handle> KnownBackends;
  std::map<backend_handle, address> Addresses;
  std::map<std::string, account_id> KnownAccounts;
};

} // namespace acacianotch
