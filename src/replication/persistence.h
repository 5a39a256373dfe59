/// \file Writes to the log and snapshot files, and recovery from them.
#pragma once

#include "core/result.h"
#include "replication/codec.h"

#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acacianotch {

/// Changes to the durable state of a replica. Batches must be written one at a
/// time and in order.
struct write_batch {
  std::uint64_t Sequence = 0;      ///< For synced(); 0 if the batch is empty.
  std::optional<term_state> State; ///< New term and vote.
  std::optional<snapshot> BaseSnapshot; ///< New snapshot; the log file is
                                        ///< replaced by State and Records.
  std::vector<log_record> Records; ///< Each record replaces the stored records
                                   ///< with the same or a greater index.
};

/// Log file that stores frames.
template <typename type>
concept frame_log = requires(type &Log, std::string_view Frame,
                             const std::vector<std::string> &Frames) {
  { Log.append(Frame) } -> std::same_as<result<void>>;
  { Log.replace(Frames) } -> std::same_as<result<void>>;
};

/// Writes \p Batch. \p WriteSnapshot must store its argument durably and
/// atomically. The log is replaced after the snapshot is stored; recover()
/// handles a crash between the two. Appended frames are durable only after the
/// log file is synced.
template <frame_log log_type, typename snapshot_writer>
[[nodiscard]] auto persist(const write_batch &Batch, log_type &Log,
                           snapshot_writer WriteSnapshot) -> result<void> {
  std::vector<std::string> Frames;
  if (Batch.State)
    Frames.push_back(encodeFrame(*Batch.State));
  for (const auto &Record : Batch.Records)
    Frames.push_back(encodeFrame(Record));
  if (Batch.BaseSnapshot) {
    if (auto Outcome = WriteSnapshot(encodeSnapshot(*Batch.BaseSnapshot));
        !Outcome)
      return Outcome;
    return Log.replace(Frames);
  }
  for (const auto &Frame : Frames)
    if (auto Outcome = Log.append(Frame); !Outcome)
      return Outcome;
  return {};
}

/// \return the state stored in \p Snapshot (none if never written) and in the
/// \p Frames of the log file; `corrupt_data` if they are inconsistent.
[[nodiscard]] auto recover(const std::optional<std::string> &Snapshot,
                           const std::vector<std::string> &Frames)
    -> result<durable_state>;

} // namespace acacianotch
