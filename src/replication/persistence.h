/// \file Order of writes to the log and snapshot files, and its inverse.
#pragma once

#include "core/result.h"
#include "replication/codec.h"

#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acacianotch {

/// What a replica must write; one batch at a time, in order.
struct write_batch {
  std::uint64_t Sequence = 0;      ///< For synced(); 0 if there is nothing.
  std::optional<term_state> State; ///< New term and vote.
  std::optional<snapshot> Base;    ///< New snapshot: the log file is replaced
                                   ///< by State and Records.
  std::vector<log_record> Records; ///< A record replaces those stored at its
                                   ///< index and after it.
};

/// A log file.
template <typename type>
concept frame_log = requires(type &Log, std::string_view Frame,
                             const std::vector<std::string> &Frames) {
  { Log.append(Frame) } -> std::same_as<result<void>>;
  { Log.replace(Frames) } -> std::same_as<result<void>>;
};

/// Writes \p Batch. \p WriteSnapshot stores bytes durably and atomically; the
/// log is replaced after it, and recover() accepts a crash between the two.
/// Appended frames are durable only after the log's own sync.
template <frame_log log_type, typename snapshot_writer>
[[nodiscard]] auto persist(const write_batch &Batch, log_type &Log,
                           snapshot_writer WriteSnapshot) -> result<void> {
  std::vector<std::string> Frames;
  if (Batch.State)
    Frames.push_back(encodeFrame(*Batch.State));
  for (const auto &Record : Batch.Records)
    Frames.push_back(encodeFrame(Record));
  if (Batch.Base) {
    if (auto Outcome = WriteSnapshot(encodeSnapshot(*Batch.Base)); !Outcome)
      return Outcome;
    return Log.replace(Frames);
  }
  for (const auto &Frame : Frames)
    if (auto Outcome = Log.append(Frame); !Outcome)
      return Outcome;
  return {};
}

/// \return the state stored as \p Snapshot (none if never written) and the log
/// file's \p Frames; `corrupt_data` if they do not fit together.
[[nodiscard]] auto recover(const std::optional<std::string> &Snapshot,
                           const std::vector<std::string> &Frames)
    -> result<durable_state>;

} // namespace acacianotch
