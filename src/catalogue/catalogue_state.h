/// \file The deterministic state machine that the replicated log drives.
#pragma once

#include "catalogue/command_func.h"
#include "catalogue/delta_history.h"
#include "catalogue/update_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace acacianotch {

/// Catalogue, rollouts, claims, usage, quarantine and change ids. Equal
/// commands in equal order give equal states on all replicas.
class catalogue_state {
public:
  /// Payload bytes after which a snapshot for nodes begins a new chunk.
  static constexpr std::size_t ChunkBytes = 32768;

  /// Applies a committed command, as read by decodeCommand, which has checked
  /// the ranges. \p Index must be larger than index().
  /// \return the command's result, or internal for a wrong index.
  auto apply(const command &Command, std::uint64_t Index) -> command_result;

  /// Checks a command at the leader before it enters the log, with the code
  /// that applies it; changes nothing. The result of a later apply may differ
  /// because other commands come before it.
  [[nodiscard]] auto test(const command &Command) -> command_result;

  /// Notes a log record that is not a command of the catalogue.
  auto skip(std::uint64_t Index) -> void;

  /// \return the index of the last applied log record.
  [[nodiscard]] auto index() const -> std::uint64_t { return Data.Index; }

  /// \return the catalogue revision.
  [[nodiscard]] auto currentRevision() const -> revision {
    return Data.Revision;
  }

  /// \return the replicated data, for queries.
  [[nodiscard]] auto data() const -> const catalogue_data & { return Data; }

  /// \return the whole state as CBOR.
  [[nodiscard]] auto encodeSnapshot() const -> std::string;

  /// \return the state in a snapshot, or corrupt_data.
  [[nodiscard]] static auto decodeSnapshot(std::string_view Bytes)
      -> result<catalogue_state>;

  /// \return the updates that bring a node from \p Base to the current
  /// revision: a confirmation, a delta, or a snapshot in chunks if the history
  /// does not reach back. Empty if the node is ahead of this replica. The
  /// caller sets the epoch and the confirmation flag. A chunk of a snapshot
  /// ends with the value that reaches \p Bytes.
  [[nodiscard]] auto updatesSince(revision Base,
                                  std::size_t Bytes = ChunkBytes) const
      -> std::vector<node_update>;

  /// \return the current value of a shared key, or nothing.
  [[nodiscard]] auto sharedValue(std::string_view Key) const
      -> std::optional<shared_value>;

  /// \return all shared values in key order.
  [[nodiscard]] auto sharedContent() const -> std::vector<shared_change>;

private:
  auto run(command_context &Context) -> command_result;
  [[nodiscard]] auto snapshotUpdates(std::size_t Limit) const
      -> std::vector<node_update>;

  catalogue_data Data;
  delta_history Deltas;
};

} // namespace acacianotch
