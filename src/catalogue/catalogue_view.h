/// \file A node's copy of the catalogue.
#pragma once

#include "catalogue/update_type.h"
#include "core/clock_type.h"

#include <array>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace acacianotch {

/// A node rejects new work when its last confirmation is older than this.
inline constexpr duration CatalogueLease = std::chrono::seconds(2);

/// What a node did with an update.
enum class update_outcome : std::uint8_t {
  applied,     ///< The view is at the update's revision.
  unchanged,   ///< Nothing new, or the next part of a snapshot.
  stale_epoch, ///< From a deposed leader; ignored.
  missing,     ///< Something before it was lost; send a snapshot or a delta
               ///< from the acknowledged revision.
};

/// Share of a model's requests that one version receives.
struct version_share {
  version_ref Version;
  double Share = 0;
};

/// Entries, rollouts and quarantine of one node. References that it returns
/// are valid until the next call of apply.
class catalogue_view {
public:
  using entry_map = std::map<std::string, model_entry, std::less<>>;
  using entry_list = std::span<const model_entry *const>;

  /// Applies one update. \p SentAt is when this node sent the acknowledgement
  /// that the update answers: the leader confirmed after that time, however
  /// long the message was delayed or this process was stopped.
  /// \return the outcome, or the failure of a payload that cannot be read; the
  /// view is unchanged then.
  auto apply(const node_update &Update, time_point SentAt)
      -> result<update_outcome>;

  [[nodiscard]] auto currentRevision() const -> revision { return Revision; }
  [[nodiscard]] auto currentEpoch() const -> epoch { return Epoch; }
  [[nodiscard]] auto lastConfirmation() const -> std::optional<time_point> {
    return Confirmation;
  }

  /// \return the milliseconds from the last confirmation until \p At; -1 if
  /// there was none.
  [[nodiscard]] auto confirmedMsBefore(time_point At) const -> std::int64_t {
    return Confirmation ? (At - *Confirmation) / std::chrono::milliseconds(1)
                        : -1;
  }

  /// \return whether an epoch and a complete catalogue have been confirmed
  /// since the start.
  [[nodiscard]] auto ready() const -> bool { return Confirmation.has_value(); }

  /// \return whether the catalogue lease holds at \p Now.
  [[nodiscard]] auto fresh(time_point Now) const -> bool;

  /// \return whether the catalogue lease, extended by the disconnected grace of
  /// \p Version, holds at \p Now.
  [[nodiscard]] auto fresh(time_point Now, const version_ref &Version) const
      -> bool;

  /// \return all entries of a kind by name.
  [[nodiscard]] auto entries(entry_kind Kind) const -> const entry_map &;

  /// \return the entry, or nullptr.
  [[nodiscard]] auto find(entry_kind Kind, std::string_view Name) const
      -> const model_entry *;

  /// \return the account entry whose bearer key has this SHA-256 digest in
  /// lower-case hex, or nullptr.
  [[nodiscard]] auto accountByKey(std::string_view KeySha256) const
      -> const model_entry *;

  [[nodiscard]] auto account(std::string_view Name) const
      -> const account_body *;
  [[nodiscard]] auto route(std::string_view Model) const -> const route_body *;
  [[nodiscard]] auto version(const version_ref &Version) const
      -> const version_body *;
  [[nodiscard]] auto requestClass(std::string_view Name) const
      -> const class_body *;
  [[nodiscard]] auto service(std::string_view Name) const
      -> const service_body *;

  /// \return whether the version exists and is not withdrawn.
  [[nodiscard]] auto active(const version_ref &Version) const -> bool;

  /// \return the versions of a model, also withdrawn ones.
  [[nodiscard]] auto versions(std::string_view Model) const -> entry_list;

  /// \return the versions of a model that receive new work and their shares,
  /// the larger first; empty if there is none.
  [[nodiscard]] auto shares(std::string_view Model) const
      -> std::vector<version_share>;

  /// \return the backend servers that serve a version, also leaving ones.
  [[nodiscard]] auto backends(const version_ref &Version) const -> entry_list;

  /// \return the backend servers that serve a plain service.
  [[nodiscard]] auto backends(std::string_view Service) const -> entry_list;

  /// \return the last rollout of a model, or nullptr.
  [[nodiscard]] auto rolloutOf(std::string_view Model) const -> const rollout *;

  /// \return the routing document, or nullptr before the first.
  [[nodiscard]] auto routing() const -> const routing_document * {
    return Routing ? &*Routing : nullptr;
  }

  /// \return the last rollout of each service.
  [[nodiscard]] auto serviceRollouts() const
      -> const std::map<std::string, service_rollout, std::less<>> & {
    return ServiceRollouts;
  }

  /// \return the last evacuation of each availability zone.
  [[nodiscard]] auto evacuations() const
      -> const std::map<std::string, zone_evacuation, std::less<>> & {
    return Evacuations;
  }

  /// \return whether the backend servers of \p Zone get no new work.
  [[nodiscard]] auto evacuated(std::string_view Zone) const -> bool {
    const auto Found = Evacuations.find(Zone);
    return Found != Evacuations.end() && Found->second.Active;
  }

  /// \return suspect or quarantined, or invalid if neither.
  [[nodiscard]] auto suspicionOf(fingerprint Fingerprint) const -> suspicion;
  [[nodiscard]] auto quarantined(fingerprint Fingerprint) const -> bool {
    return suspicionOf(Fingerprint) == suspicion::quarantined;
  }

  /// \return everything the view holds, in key order.
  [[nodiscard]] auto content() const -> std::vector<shared_change>;

private:
  using index =
      std::map<std::string, std::vector<const model_entry *>, std::less<>>;

  auto applyDelta(const node_update &Update) -> result<update_outcome>;
  auto applyChunk(const node_update &Update) -> result<update_outcome>;
  auto confirm(const node_update &Update, time_point SentAt) -> void;
  auto restart() -> void;
  auto clear() -> void;
  auto set(shared_change &&Change) -> void;
  auto setEntry(model_entry &&Entry) -> void;
  auto remove(std::string_view Key) -> void;
  auto removeEntry(std::string_view Key) -> void;
  auto addToIndexes(const model_entry &Entry) -> void;
  auto removeFromIndexes(const model_entry &Entry) -> void;
  [[nodiscard]] auto oldestActive(std::string_view Model,
                                  std::string_view Except) const
      -> const model_entry *;

  epoch Epoch = epoch::none;
  revision Revision = revision::none;
  std::optional<time_point> Confirmation;
  bool Complete = false; ///< Holds a whole catalogue.

  std::array<entry_map, EntryKinds> Entries;
  std::map<std::string, rollout, std::less<>> Rollouts;
  std::map<std::string, service_rollout, std::less<>> ServiceRollouts;
  std::map<std::string, zone_evacuation, std::less<>> Evacuations;
  std::optional<routing_document> Routing;
  std::unordered_map<std::uint64_t, suspicion> Suspicions;
  std::map<std::string, const model_entry *, std::less<>> Accounts;
  index VersionsOfModel;
  index BackendsOfVersion;
  index BackendsOfService;

  std::vector<shared_change> Parts; ///< Snapshot being received.
  node_update PartsOf;              ///< Head of its last chunk.
};

/// \return whether the account may use the version.
[[nodiscard]] auto allowed(const account_body &Account,
                           const version_ref &Version) -> bool;

} // namespace acacianotch
