/// \file Updates that control sends to nodes, as in the message NodeUpdate.
#pragma once

#include "catalogue/entry_type.h"
#include "catalogue/evacuation_type.h"
#include "catalogue/quarantine_type.h"
#include "catalogue/rollout_type.h"
#include "catalogue/routing_type.h"

#include <string>
#include <variant>
#include <vector>

namespace acacianotch {

/// What nodes hold: entries, the last rollout of each model and service, the
/// last evacuation of each availability zone, the routing document, and
/// fingerprints that are suspect or quarantined.
using shared_value =
    std::variant<model_entry, rollout, suspicion, routing_document,
                 service_rollout, zone_evacuation>;

/// A shared value that changed, or that was removed.
struct shared_change {
  std::string Key;                   ///< See the functions below.
  std::optional<shared_value> Value; ///< Nothing if removed.

  auto operator==(const shared_change &) const -> bool = default;
};

/// A delta, a chunk of a snapshot, or only a confirmation.
struct node_update {
  epoch Epoch = epoch::none;
  /// Delta: revision it starts from. Chunk: number of values before it, which
  /// tells chunks of snapshots apart that were cut at other places.
  revision Base = revision::none;
  revision Revision = revision::none; ///< Revision after this update.
  std::uint32_t Chunk = 0;            ///< Position within a snapshot.
  std::uint32_t Chunks = 0;           ///< Chunks of the snapshot; 0 in a delta.
  bool Confirmed = false; ///< The leader held its lease at this revision.
  std::string Payload;    ///< CBOR by encodeChanges; empty for no change.
};

/// \return `kind/name`.
[[nodiscard]] auto sharedKey(const entry_key &Key) -> std::string;

/// \return `rollout/model`.
[[nodiscard]] auto rolloutKey(std::string_view Model) -> std::string;

/// \return `quarantine/` and 16 hex digits.
[[nodiscard]] auto quarantineKey(fingerprint Fingerprint) -> std::string;

/// \return the fingerprint of a key by quarantineKey, if it is one.
[[nodiscard]] auto fingerprintOfKey(std::string_view Key)
    -> std::optional<fingerprint>;

/// \return \p Changes as CBOR.
[[nodiscard]] auto encodeChanges(const std::vector<shared_change> &Changes)
    -> std::string;

/// Reads what encodeChanges wrote. \return corrupt_data or bad_request.
[[nodiscard]] auto decodeChanges(std::string_view Bytes)
    -> result<std::vector<shared_change>>;

} // namespace acacianotch
