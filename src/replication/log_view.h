/// \file The part of the log that a replica holds in memory.
#pragma once

#include "core/result.h"
#include "replication/record_type.h"

#include <deque>
#include <optional>
#include <vector>

namespace acacianotch {

/// Latest snapshot, the records after it and some records before its end, and
/// the membership in effect.
class log_view {
public:
  /// \return a view of \p Base and \p Records; `corrupt_data` if the records
  /// do not continue the snapshot or hold an invalid membership.
  [[nodiscard]] static auto create(snapshot Base,
                                   std::vector<log_record> Records)
      -> result<log_view>;

  /// \return the last position; that of the snapshot if no record follows.
  [[nodiscard]] auto last() const -> log_position;

  /// \return the first index held as a record, or one past the last index.
  [[nodiscard]] auto firstIndex() const -> log_index { return Start.Index + 1; }

  /// \return the term at \p Index; none if the view does not hold it.
  [[nodiscard]] auto termAt(log_index Index) const -> std::optional<log_term>;

  /// \return the record at \p Index, which must be held.
  [[nodiscard]] auto at(log_index Index) const -> const log_record &;

  /// Adds \p Record, which must follow the last one.
  auto append(log_record Record) -> result<void>;

  /// Drops all records from \p From on.
  auto truncate(log_index From) -> void;

  /// Takes \p Data as the state at \p Index, which must be held, and keeps
  /// \p Trailing records before it for replicas that are slightly behind.
  auto compact(log_index Index, std::shared_ptr<const std::string> Data,
               log_index Trailing) -> void;

  /// Replaces the snapshot by a received one. Records after it stay if the
  /// view holds its last position; otherwise all are dropped.
  auto install(snapshot Snapshot) -> void;

  [[nodiscard]] auto base() const -> const snapshot & { return Base; }

  /// \return the latest membership, committed or not.
  [[nodiscard]] auto members() const -> const membership & {
    return Memberships.back().Members;
  }

  /// \return the index of the record that set members().
  [[nodiscard]] auto membersIndex() const -> log_index {
    return Memberships.back().Index;
  }

  /// \return copies of the records in [From, To], fewer if their payloads
  /// exceed \p MaxBytes, but at least one.
  [[nodiscard]] auto slice(log_index From, log_index To,
                           std::size_t MaxBytes) const
      -> std::vector<log_record>;

private:
  struct membership_change {
    log_index Index;
    membership Members;
  };

  explicit log_view(snapshot Base);

  [[nodiscard]] auto membersAt(log_index Index) const -> const membership &;

  snapshot Base;
  log_position Start; ///< Position before the first record held.
  std::deque<log_record> Records;
  std::vector<membership_change> Memberships; ///< Never empty.
};

} // namespace acacianotch
