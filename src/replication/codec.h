/// \file Binary form of messages, log records and snapshots.
#pragma once

#include "core/result.h"
#include "replication/message_type.h"

#include <string>
#include <string_view>
#include <variant>

namespace acacianotch {

/// \return the bytes of \p Envelope.
[[nodiscard]] auto encodeEnvelope(const envelope &Envelope) -> std::string;

/// \return the message in \p Encoded; `corrupt_data` for anything else.
[[nodiscard]] auto decodeEnvelope(std::string_view Encoded) -> result<envelope>;

/// \return the bytes of \p Members, the payload of a membership record.
[[nodiscard]] auto encodeMembership(const membership &Members) -> std::string;

/// \return the membership in \p Encoded; `corrupt_data` for anything else.
[[nodiscard]] auto decodeMembership(std::string_view Encoded)
    -> result<membership>;

/// \return the bytes of \p Snapshot.
[[nodiscard]] auto encodeSnapshot(const snapshot &Snapshot) -> std::string;

/// \return the snapshot in \p Encoded; `corrupt_data` for anything else.
[[nodiscard]] auto decodeSnapshot(std::string_view Encoded) -> result<snapshot>;

/// One entry of the log file.
using log_frame = std::variant<term_state, log_record>;

/// \return the bytes of a term_state in the log file.
[[nodiscard]] auto encodeFrame(const term_state &State) -> std::string;

/// \return the bytes of a log_record in the log file.
[[nodiscard]] auto encodeFrame(const log_record &Record) -> std::string;

/// \return the entry in \p Encoded; `corrupt_data` for anything else.
[[nodiscard]] auto decodeFrame(std::string_view Encoded) -> result<log_frame>;

} // namespace acacianotch
