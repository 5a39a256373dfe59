/// \file In-memory part of the replicated log.
#pragma once

#include "core/result.h"
#include "replication/record_type.h"

#include <deque>
#include <optional>
#include <vector>

namespace acacianotch {

/// Latest snapshot, the records that follow it, some of the records that it
/// covers, and the current membership.
class log_view {
public:
  /// \return a view of \p BaseSnapshot and \p Records; `corrupt_data` if the
  /// records do not continue the snapshot or contain an invalid membership.
  [[nodiscard]] static auto create(snapshot BaseSnapshot,
                                   std::vector<log_record> Records)
      -> result<log_view>;

  /// \return the position of the last record, or of the snapshot if no record
  /// follows it.
  [[nodiscard]] auto last() const -> log_position;

  /// \return the index of the first record in memory; without records, the
  /// index of the next one.
  [[nodiscard]] auto firstIndex() const -> log_index { return Start.Index + 1; }

  /// \return the term of the record at \p Index; none if it is not in memory.
  [[nodiscard]] auto termAt(log_index Index) const -> std::optional<log_term>;

  /// \return the record at \p Index, which must be in memory.
  [[nodiscard]] auto at(log_index Index) const -> const log_record &;

  /// Appends \p Record; its index must follow the last one.
  auto append(log_record Record) -> result<void>;

  /// Removes all records with index \p From or greater.
  auto truncate(log_index From) -> void;

  /// Replaces the snapshot by \p Data, the state after the record at \p Index,
  /// which must be in memory. Keeps the last \p TrailingRecords records that
  /// the snapshot covers, for replicas that are slightly behind, as far as
  /// their payloads fit into \p TrailingBytes.
  auto compact(log_index Index, std::shared_ptr<const std::string> Data,
               log_index TrailingRecords, std::size_t TrailingBytes) -> void;

  /// Replaces the snapshot by one received from the leader. Keeps the records
  /// that follow it if the log contains its last record; otherwise removes all
  /// records.
  auto install(snapshot Snapshot) -> void;

  [[nodiscard]] auto baseSnapshot() const -> const snapshot & {
    return BaseSnapshot;
  }

  /// \return the latest membership, which may be uncommitted.
  [[nodiscard]] auto members() const -> const membership & {
    return Memberships.back().Members;
  }

  /// \return the index of the record that set members().
  [[nodiscard]] auto membersIndex() const -> log_index {
    return Memberships.back().Index;
  }

  /// \return copies of the records in [From, To]; only the first ones if their
  /// payloads exceed \p MaxBytes, but at least one.
  [[nodiscard]] auto slice(log_index From, log_index To,
                           std::size_t MaxBytes) const
      -> std::vector<log_record>;

private:
  struct membership_change {
    log_index Index;
    membership Members;
  };

  explicit log_view(snapshot BaseSnapshot);

  [[nodiscard]] auto membersAt(log_index Index) const -> const membership &;

  snapshot BaseSnapshot;
  log_position Start; ///< Position before the first record in memory.
  std::deque<log_record> Records;
  std::vector<membership_change> Memberships; ///< Never empty.
};

} // namespace acacianotch
